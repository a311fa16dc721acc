#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

/// \file call_state_machine.h
/// The life of one call as an explicit state machine.
///
/// Entry and exit each hold one `CallStateMachine` for a call. The table of
/// allowed transitions is in call_state_machine.cpp. Exactly one transition,
/// `kAdmitted` to `kStarted`, makes "not run" false for ever. Cancellation and
/// start compete for the same atomic word, so one of them wins and the other is
/// told so.

namespace yuccamast {

/// Where a call stands.
enum class CallStep : std::uint8_t {
  kReceived,   ///< Entry: head and body are read whole.
  kMatched,    ///< Entry: a rule governs it to its end.
  kChosen,     ///< Entry: an upstream is chosen.
  kOffered,    ///< Entry: the offer is handed to the inner connection.
  kAdmitted,   ///< Exit: accepted, maybe queued, not started.
  kStarted,    ///< Exit: the first byte may be written to the upstream.
  kAnswered,   ///< A whole answer of the upstream is at hand.
  kRefused,    ///< A refusal is at hand.
  kCancelled,  ///< Exit: given up before it started.
  kRelayed,    ///< Entry: the whole reply was handed to the caller's socket.
  kFinished,   ///< Nothing of the call is held any more.
};

inline constexpr std::size_t kCallStepCount = 11;

/// Name of a step in dumps and logs.
std::string_view NameOf(CallStep step);

/// Whether the state machine allows `from` to `to`.
bool IsAllowed(CallStep from, CallStep to);

/// The current step of one call. All methods are thread-safe; at most one of
/// several competing transitions out of one step succeeds.
class CallStateMachine {
 public:
  explicit CallStateMachine(CallStep first = CallStep::kReceived)
      : m_step(first) {}

  CallStep step() const { return m_step.load(std::memory_order_acquire); }

  /// Moves `from` to `to`. Returns false, and changes nothing, if the call is
  /// not in `from` any more or the table does not allow the transition.
  bool Move(CallStep from, CallStep to);

  /// Moves from the current step to `to`, if the table allows it.
  bool TransitionTo(CallStep to);

  /// The start of the run. Precondition: the call was admitted. True means
  /// that the caller of this method may write to the upstream, and that no
  /// cancellation can succeed any more.
  bool TryStart() { return Move(CallStep::kAdmitted, CallStep::kStarted); }

  /// Cancellation. True is proof that the call was not and will not be run.
  bool TryCancel() { return Move(CallStep::kAdmitted, CallStep::kCancelled); }

 private:
  std::atomic<CallStep> m_step;
};

}  // namespace yuccamast
