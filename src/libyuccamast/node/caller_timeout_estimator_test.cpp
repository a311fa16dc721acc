#include "node/caller_timeout_estimator.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

// Guards against counting a retry's objective from its arrival: its elapsed
// time must be derived from the longest remaining time seen for the same rule,
// less a sixth for the spread of timeouts, and not for other rules.
Test(caller_timeout_estimator, elapsed_time_follows_from_remaining_time) {
  CallerTimeoutEstimator estimator;
  cr_expect(estimator.EstimateElapsed("r", milliseconds(1200), kStart) ==
            Duration::zero());
  cr_expect(estimator.EstimateElapsed("r", milliseconds(1050), kStart) ==
            Duration::zero());
  cr_expect(estimator.EstimateElapsed("r", milliseconds(700), kStart) ==
            milliseconds(300));
  cr_expect(estimator.EstimateElapsed("s", milliseconds(700), kStart) ==
            Duration::zero());
}

// Guards against a stale estimate: after callers have shortened their timeout,
// the old one must not make first attempts look like retries for longer than
// two periods.
Test(caller_timeout_estimator, shorter_timeout_is_learned_within_two_periods) {
  CallerTimeoutEstimator estimator;
  estimator.EstimateElapsed("r", milliseconds(2400), kStart);
  for (int second = 1; second <= 45; ++second) {
    estimator.EstimateElapsed("r", milliseconds(600),
                              kStart + std::chrono::seconds(second));
  }
  cr_expect(estimator.EstimateElapsed("r", milliseconds(590),
                                      kStart + std::chrono::seconds(46)) ==
            Duration::zero());
}
