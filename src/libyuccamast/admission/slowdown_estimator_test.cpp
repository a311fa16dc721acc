#include "yuccamast/admission/slowdown_estimator.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kExpected = milliseconds(160);

/// An estimator after `duration` with twenty calls a second, each of which took
/// `slowdown` times its expected service time.
SlowdownEstimator MakeAfter(Duration duration,
                            double slowdown,
                            TimePoint from = kStart) {
  SlowdownEstimator estimator;
  for (Duration elapsed{}; elapsed < duration; elapsed += milliseconds(50)) {
    estimator.OnEnded(
        std::chrono::duration_cast<Duration>(kExpected * slowdown), kExpected,
        from + elapsed);
  }
  return estimator;
}

}  // namespace

Test(slowdown_estimator, is_one_at_normal_speed_and_without_calls) {
  SlowdownEstimator none;
  cr_expect_eq(none.At({}, kStart), 1.0);
  SlowdownEstimator normal = MakeAfter(std::chrono::seconds(2), 1.0);
  cr_expect_float_eq(normal.At({}, kStart + milliseconds(2000)), 1.0, 0.01);
}

Test(slowdown_estimator, rises_by_overdue_calls_before_any_has_ended) {
  SlowdownEstimator estimator = MakeAfter(std::chrono::seconds(2), 1.0);
  const TimePoint now = kStart + milliseconds(3000);
  SlowdownEstimator::RunningSample running;
  for (int i = 0; i < 6; ++i) {
    running.Add(milliseconds(900), kExpected);
  }
  cr_expect_gt(estimator.At(running, now), 2.0);
}

Test(slowdown_estimator, one_call_of_the_latency_tail_changes_it_little) {
  SlowdownEstimator estimator = MakeAfter(std::chrono::seconds(2), 1.0);
  SlowdownEstimator::RunningSample running;
  running.Add(7 * kExpected, kExpected);
  cr_expect_lt(estimator.At(running, kStart + milliseconds(2000)), 1.5);
}

Test(slowdown_estimator, returns_to_one_without_calls) {
  SlowdownEstimator estimator = MakeAfter(std::chrono::seconds(3), 12.0);
  cr_expect_gt(estimator.At({}, kStart + milliseconds(3000)), 8.0);
  cr_expect_lt(estimator.At({}, kStart + milliseconds(9000)), 1.5);
}

Test(slowdown_estimator, running_calls_that_are_not_overdue_do_not_raise_it) {
  SlowdownEstimator estimator = MakeAfter(std::chrono::seconds(1), 1.0);
  SlowdownEstimator::RunningSample running;
  for (int i = 0; i < 7; ++i) {
    running.Add(milliseconds(150), kExpected);
  }
  cr_expect_float_eq(estimator.At(running, kStart + milliseconds(1000)), 1.0,
                     0.01);
}
