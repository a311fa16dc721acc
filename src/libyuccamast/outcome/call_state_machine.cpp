#include "yuccamast/outcome/call_state_machine.h"

namespace yuccamast {

namespace {

constexpr std::array<std::string_view, kCallStepCount> kStepNames = {
    "received", "matched", "chosen",    "offered", "admitted", "started",
    "answered", "refused", "cancelled", "relayed", "finished"};

constexpr std::uint16_t Bit(CallStep step) {
  return static_cast<std::uint16_t>(1U << static_cast<unsigned>(step));
}

/// Transition table: the allowed next steps as a bit set, indexed by the step.
constexpr std::array<std::uint16_t, kCallStepCount> kSuccessors = {
    /* received  */ Bit(CallStep::kMatched) | Bit(CallStep::kRefused),
    /* matched   */ Bit(CallStep::kChosen) | Bit(CallStep::kRefused),
    /* chosen    */ Bit(CallStep::kOffered) | Bit(CallStep::kRefused),
    /* offered   */ Bit(CallStep::kAnswered) | Bit(CallStep::kRefused) |
        Bit(CallStep::kChosen),
    /* admitted  */ Bit(CallStep::kStarted) | Bit(CallStep::kCancelled) |
        Bit(CallStep::kRefused),
    /* started   */ Bit(CallStep::kAnswered) | Bit(CallStep::kRefused),
    /* answered  */ Bit(CallStep::kRelayed) | Bit(CallStep::kFinished),
    /* refused   */ Bit(CallStep::kRelayed) | Bit(CallStep::kFinished),
    /* cancelled */ Bit(CallStep::kFinished),
    /* relayed   */ Bit(CallStep::kFinished),
    /* finished  */ 0};

}  // namespace

std::string_view NameOf(CallStep step) {
  return kStepNames.at(static_cast<std::size_t>(step));
}

bool IsTransitionAllowed(CallStep from, CallStep to) {
  return (kSuccessors.at(static_cast<std::size_t>(from)) & Bit(to)) != 0;
}

bool CallStateMachine::TryTransition(CallStep from, CallStep to) {
  if (!IsTransitionAllowed(from, to)) {
    return false;
  }
  return m_step.compare_exchange_strong(from, to, std::memory_order_acq_rel);
}

bool CallStateMachine::TransitionTo(CallStep to) {
  return TryTransition(step(), to);
}

}  // namespace yuccamast
