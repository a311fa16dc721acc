#include "node/caller_timeout_estimator.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

Test(patience, a_caller_that_comes_back_is_known_by_what_it_has_left) {
  CallerTimeoutEstimator patience;
  cr_expect(patience.Waited("r", milliseconds(1200), kStart) ==
            Duration::zero());
  cr_expect(patience.Waited("r", milliseconds(1050), kStart) ==
            Duration::zero());
  cr_expect(patience.Waited("r", milliseconds(700), kStart) ==
            milliseconds(300));
  cr_expect(patience.Waited("s", milliseconds(700), kStart) ==
            Duration::zero());
}

Test(patience, a_shorter_patience_is_learned_within_two_periods) {
  CallerTimeoutEstimator patience;
  patience.Waited("r", milliseconds(2400), kStart);
  for (int second = 1; second <= 45; ++second) {
    patience.Waited("r", milliseconds(600),
                    kStart + std::chrono::seconds(second));
  }
  cr_expect(patience.Waited("r", milliseconds(590),
                            kStart + std::chrono::seconds(46)) ==
            Duration::zero());
}
