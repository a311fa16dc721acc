#include "node/caller_retry_tracker.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TimePoint At(int ms) {
  return kStart + milliseconds(ms);
}

}  // namespace

Test(returning_callers, one_that_comes_back_is_known_once) {
  CallerRetryTracker callers;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  cr_expect_not(callers.FirstAsked(key, milliseconds(1200), At(0)));
  callers.OnTurnedAway(key, At(0), milliseconds(1190), At(10));
  const auto first = callers.FirstAsked(key, milliseconds(900), At(300));
  cr_assert(first.has_value());
  cr_expect(*first == At(0));
  cr_expect_not(callers.FirstAsked(key, milliseconds(900), At(301)));
  cr_expect_eq(callers.size(), 0U);
}

Test(returning_callers, another_caller_of_the_same_target_is_not_taken_for_it) {
  CallerRetryTracker callers;
  const RequestKey key = KeyOfRequest("r", "GET", "/popular");
  callers.OnTurnedAway(key, At(0), milliseconds(1190), At(10));
  cr_expect_not(callers.FirstAsked(key, milliseconds(1180), At(250)));
  cr_expect(callers.FirstAsked(key, milliseconds(950), At(260)).has_value());
}

Test(returning_callers, a_third_attempt_counts_from_the_first) {
  CallerRetryTracker callers;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  callers.OnTurnedAway(key, At(0), milliseconds(1200), At(0));
  const auto second = callers.FirstAsked(key, milliseconds(900), At(300));
  callers.OnTurnedAway(key, *second, milliseconds(890), At(310));
  cr_expect(*callers.FirstAsked(key, milliseconds(600), At(600)) == At(0));
}

Test(returning_callers, forgets_and_stays_bounded) {
  CallerRetryTracker callers;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  callers.OnTurnedAway(key, At(0), milliseconds(9000), At(0));
  cr_expect_not(callers.FirstAsked(key, milliseconds(100), At(3001)));
  for (std::size_t i = 0; i < 20000; ++i) {
    callers.OnTurnedAway(i, At(4000), milliseconds(100), At(4000));
  }
  cr_expect_eq(callers.size(), 5000U);
  callers.OnTurnedAway(key, At(9000), milliseconds(100), At(9000));
  cr_expect_eq(callers.size(), 1U);
}
