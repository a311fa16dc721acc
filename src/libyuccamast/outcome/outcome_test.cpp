#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "yuccamast/outcome/call_state_machine.h"
#include "yuccamast/outcome/refusal.h"
#include "yuccamast/outcome/sequence_window.h"

using namespace yuccamast;  // NOLINT

Test(refusal, table_is_indexed_by_reason_and_names_are_unique) {
  for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
    cr_expect_eq(static_cast<std::size_t>(kRefusalTable.at(i).reason), i);
    const auto same = std::ranges::count(
        kRefusalTable, kRefusalTable.at(i).name, &RefusalInfo::name);
    cr_expect_eq(same, 1);
  }
  cr_expect_not(RefusalFromValue(kRefusalReasonCount).has_value());
}

Test(refusal, only_calls_known_not_run_are_movable) {
  // A call that may have run would run twice if it were moved.
  const bool consistent =
      std::ranges::all_of(kRefusalTable, [](const auto& info) {
        return !info.movable || info.run_outcome == RunOutcome::kNotRun;
      });
  cr_expect(consistent);
}

Test(call_state_machine, start_and_cancel_exclude_each_other) {
  CallStateMachine started(CallStep::kAdmitted);
  cr_expect(started.TryStart());
  cr_expect_not(started.TryCancel());
  CallStateMachine cancelled(CallStep::kAdmitted);
  cr_expect(cancelled.TryCancel());
  cr_expect_not(cancelled.TryStart());
}

Test(call_state_machine, only_one_of_start_and_cancel_wins_a_race) {
  // If both succeeded, a call reported as not run would run.
  for (int i = 0; i < 2000; ++i) {
    CallStateMachine call(CallStep::kAdmitted);
    std::atomic<int> wins{0};
    std::thread other([&] { wins += call.TryCancel() ? 1 : 0; });
    wins += call.TryStart() ? 1 : 0;
    other.join();
    cr_assert_eq(wins.load(), 1);
  }
}

Test(call_state_machine, has_no_transition_back_before_the_start) {
  // Otherwise a call that may have run could be reported as not run.
  for (std::size_t to = 0; to < kCallStepCount; ++to) {
    const auto step = static_cast<CallStep>(to);
    const bool forward =
        step == CallStep::kAnswered || step == CallStep::kRefused;
    cr_expect_eq(IsTransitionAllowed(CallStep::kStarted, step), forward);
    cr_expect_not(IsTransitionAllowed(CallStep::kFinished, step));
  }
}

Test(sequence_window, accepts_each_number_once_in_any_order) {
  // An offer that is accepted twice would run its call twice.
  SequenceWindow window;
  for (const std::uint64_t number : {5U, 1U, 3U, 2U, 4U}) {
    cr_expect(window.Accept(number));
    cr_expect_not(window.Accept(number));
  }
}

Test(sequence_window, rejects_numbers_older_than_the_window) {
  SequenceWindow window;
  cr_expect(window.Accept(1));
  cr_expect(window.Accept(SequenceWindow::kSize + 10));
  cr_expect_not(window.Accept(1));
  cr_expect_not(window.Accept(10));
  cr_expect(window.Accept(11));
  cr_expect_not(window.Accept(0));
  cr_expect(window.Accept(100 * SequenceWindow::kSize));
  cr_expect(window.Accept(100 * SequenceWindow::kSize - 1));
}
