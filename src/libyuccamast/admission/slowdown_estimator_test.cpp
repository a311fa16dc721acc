#include "yuccamast/admission/slowdown_estimator.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kWork = milliseconds(160);

/// A pace that has seen twenty calls a second of `times` the usual work.
SlowdownEstimator After(Duration span, double times, TimePoint from = kStart) {
  SlowdownEstimator pace;
  for (Duration passed{}; passed < span; passed += milliseconds(50)) {
    pace.OnEnded(std::chrono::duration_cast<Duration>(kWork * times), kWork,
                 from + passed);
  }
  return pace;
}

}  // namespace

Test(pace, is_one_at_the_usual_pace_and_without_calls) {
  SlowdownEstimator none;
  cr_expect_eq(none.At({}, kStart), 1.0);
  SlowdownEstimator usual = After(std::chrono::seconds(2), 1.0);
  cr_expect_float_eq(usual.At({}, kStart + milliseconds(2000)), 1.0, 0.01);
}

Test(pace, overdue_calls_tell_before_any_has_ended) {
  SlowdownEstimator pace = After(std::chrono::seconds(2), 1.0);
  const TimePoint now = kStart + milliseconds(3000);
  SlowdownEstimator::Running running;
  for (int i = 0; i < 6; ++i) {
    running.Add(milliseconds(900), kWork);
  }
  cr_expect_gt(pace.At(running, now), 2.0);
}

Test(pace, one_call_of_the_long_tail_moves_little) {
  SlowdownEstimator pace = After(std::chrono::seconds(2), 1.0);
  SlowdownEstimator::Running running;
  running.Add(7 * kWork, kWork);
  cr_expect_lt(pace.At(running, kStart + milliseconds(2000)), 1.5);
}

Test(pace, an_upstream_that_gets_no_calls_is_soon_tried_again) {
  SlowdownEstimator pace = After(std::chrono::seconds(3), 12.0);
  cr_expect_gt(pace.At({}, kStart + milliseconds(3000)), 8.0);
  cr_expect_lt(pace.At({}, kStart + milliseconds(9000)), 1.5);
}

Test(pace, calls_within_their_time_do_not_count_against_it) {
  SlowdownEstimator pace = After(std::chrono::seconds(1), 1.0);
  SlowdownEstimator::Running running;
  for (int i = 0; i < 7; ++i) {
    running.Add(milliseconds(150), kWork);
  }
  cr_expect_float_eq(pace.At(running, kStart + milliseconds(1000)), 1.0, 0.01);
}
