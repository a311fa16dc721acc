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

// A retry must get the time of the caller's first attempt, and a record must
// not match a second attempt.
Test(caller_retry_tracker, retry_is_matched_once) {
  CallerRetryTracker tracker;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  cr_expect_not(tracker.TakeFirstAttempt(key, milliseconds(1200), At(0)));
  tracker.RecordFailure(key, At(0), milliseconds(1190), At(10));
  const auto first = tracker.TakeFirstAttempt(key, milliseconds(900), At(300));
  cr_assert(first.has_value());
  cr_expect(*first == At(0));
  cr_expect_not(tracker.TakeFirstAttempt(key, milliseconds(900), At(301)));
  cr_expect_eq(tracker.size(), 0U);
}

// Guards against matching another caller that sends the same request while the
// failed one waits: its remaining time has not shrunk.
Test(caller_retry_tracker, other_caller_of_same_target_is_not_matched) {
  CallerRetryTracker tracker;
  const RequestKey key = KeyOfRequest("r", "GET", "/popular");
  tracker.RecordFailure(key, At(0), milliseconds(1190), At(10));
  cr_expect_not(tracker.TakeFirstAttempt(key, milliseconds(1180), At(250)));
  cr_expect(
      tracker.TakeFirstAttempt(key, milliseconds(950), At(260)).has_value());
}

// The time of the first attempt must be carried over a chain of retries.
Test(caller_retry_tracker, third_attempt_counts_from_the_first) {
  CallerRetryTracker tracker;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  tracker.RecordFailure(key, At(0), milliseconds(1200), At(0));
  const auto second = tracker.TakeFirstAttempt(key, milliseconds(900), At(300));
  tracker.RecordFailure(key, *second, milliseconds(890), At(310));
  cr_expect(*tracker.TakeFirstAttempt(key, milliseconds(600), At(600)) ==
            At(0));
}

// Guards against unbounded growth when many attempts fail: records expire after
// 3 seconds and at most 5000 are kept.
Test(caller_retry_tracker, records_expire_and_are_bounded) {
  CallerRetryTracker tracker;
  const RequestKey key = KeyOfRequest("r", "GET", "/a/1");
  tracker.RecordFailure(key, At(0), milliseconds(9000), At(0));
  cr_expect_not(tracker.TakeFirstAttempt(key, milliseconds(100), At(3001)));
  for (std::size_t i = 0; i < 20000; ++i) {
    tracker.RecordFailure(i, At(4000), milliseconds(100), At(4000));
  }
  cr_expect_eq(tracker.size(), 5000U);
  tracker.RecordFailure(key, At(9000), milliseconds(100), At(9000));
  cr_expect_eq(tracker.size(), 1U);
}
