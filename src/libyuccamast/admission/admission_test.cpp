#include "yuccamast/admission/admission.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

AdmissionRequest Call(CallTicket ticket,
                      int deadline_ms = 1000,
                      bool idempotent = true,
                      WeightClass weight = WeightClass::kShort) {
  return {ticket, kStart + milliseconds(deadline_ms), weight, idempotent};
}

/// An exit with `slots` slots, all taken by calls numbered from 1000.
Admission Full(std::uint32_t slots) {
  Admission admission({slots, 0, 4, milliseconds(100)});
  for (CallTicket i = 0; i < slots; ++i) {
    admission.Offer(Call(1000 + i), kStart);
  }
  return admission;
}

}  // namespace

Test(admission, starts_queues_and_refuses_at_the_bounds) {
  Admission admission = Full(2);
  for (CallTicket ticket = 1; ticket <= 4; ++ticket) {
    cr_expect(admission.Offer(Call(ticket), kStart).verdict ==
              AdmissionVerdict::kQueued);
  }
  const auto last = admission.Offer(Call(5), kStart);
  cr_expect(last.verdict == AdmissionVerdict::kRefused);
  cr_expect(last.reason == RefusalReason::kQueueFull);
  cr_expect_eq(admission.running(), 2U);
  cr_expect_eq(admission.queued(), 4U);
}

Test(admission, non_idempotent_first_then_the_nearest_deadline) {
  Admission admission = Full(1);
  admission.Offer(Call(1, 500), kStart);
  admission.Offer(Call(2, 300), kStart);
  admission.Offer(Call(3, 900, false), kStart);
  admission.Release(1000, {});
  cr_expect_eq(*admission.StartNext(kStart), 3U);
  admission.Release(3, {});
  cr_expect_eq(*admission.StartNext(kStart), 2U);
}

Test(admission, every_fourth_start_goes_to_the_oldest) {
  Admission admission({1, 0, 100, std::chrono::seconds(10)});
  admission.Offer(Call(1000), kStart);
  admission.Offer(Call(1, 9000), kStart);
  CallTicket holder = 1000;
  int starts = 0;
  bool started = false;
  while (!started && starts < 10) {
    ++starts;
    admission.Offer(Call(100 + static_cast<CallTicket>(starts), 500, false),
                    kStart + milliseconds(starts));
    admission.Release(holder, {});
    holder = *admission.StartNext(kStart + milliseconds(starts));
    started = holder == 1;
  }
  cr_expect_eq(starts, 4);
}

Test(admission, long_calls_leave_slots_to_short_ones) {
  Admission admission({4, 2, 4, milliseconds(100)});
  const auto offer = [&](CallTicket ticket, WeightClass weight) {
    return admission.Offer(Call(ticket, 1000, true, weight), kStart).verdict;
  };
  cr_expect(offer(1, WeightClass::kLong) == AdmissionVerdict::kStart);
  cr_expect(offer(2, WeightClass::kLong) == AdmissionVerdict::kStart);
  cr_expect(offer(3, WeightClass::kLong) == AdmissionVerdict::kQueued);
  cr_expect(offer(4, WeightClass::kShort) == AdmissionVerdict::kStart);
  cr_expect(offer(5, WeightClass::kShort) == AdmissionVerdict::kStart);
  admission.Release(4, {});
  cr_expect_not(admission.StartNext(kStart).has_value());
  admission.Release(1, {});
  cr_expect_eq(*admission.StartNext(kStart), 3U);
}

Test(admission, expires_by_queue_age_and_by_deadline) {
  Admission admission = Full(1);
  admission.Offer(Call(1, 50), kStart);
  admission.Offer(Call(2, 1000), kStart);
  const auto first = admission.Expire(kStart + milliseconds(60));
  cr_assert_eq(first.size(), 1U);
  cr_expect(first[0].reason == RefusalReason::kDeadlineNotRun);
  const auto second = admission.Expire(kStart + milliseconds(100));
  cr_assert_eq(second.size(), 1U);
  cr_expect(second[0].reason == RefusalReason::kQueueTimeout);
  cr_expect_eq(admission.queued(), 0U);
}

Test(admission, refuses_at_once_what_cannot_meet_its_deadline) {
  Admission admission = Full(1);
  admission.Release(1000, milliseconds(40));
  admission.Offer(Call(1), kStart);
  cr_expect(admission.Offer(Call(2, 20), kStart).verdict ==
            AdmissionVerdict::kRefused);
  cr_expect(admission.Offer(Call(3, 0), kStart).reason ==
            RefusalReason::kDeadlineNotRun);
}

Test(admission, a_removed_call_does_not_start_and_frees_its_place) {
  Admission admission = Full(1);
  admission.Offer(Call(1), kStart);
  cr_expect(admission.Remove(1));
  cr_expect_not(admission.Remove(1));
  admission.Release(1000, {});
  admission.Release(1000, {});
  cr_expect_not(admission.StartNext(kStart).has_value());
  cr_expect_eq(admission.running(), 0U);
}
