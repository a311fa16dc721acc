#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

/// \file call_state_machine.h
/// State machine of one call.
///
/// Entry and exit each hold one `CallStateMachine` for a call. The states are
/// the values of `CallStep`; an entry begins with `kReceived`, an exit with
/// `kAdmitted`. The table of allowed transitions is in call_state_machine.cpp:
///   entry: received -> matched -> chosen -> offered -> answered | refused,
///          back from offered to chosen for another attempt,
///          refused from each of them;
///   exit:  admitted -> started -> answered | refused,
///          admitted -> cancelled | refused;
///   end:   answered | refused -> relayed -> finished,
///          answered | refused | cancelled -> finished.
/// A call is known not to have run until the transition from `kAdmitted` to
/// `kStarted`, and after it only if a reply of the upstream says so, see
/// refusal.h. Start and cancellation compete for the same atomic variable by
/// compare-and-swap, so exactly one of them succeeds.

namespace yuccamast {

/// Step (state) of a call.
enum class CallStep : std::uint8_t {
  kReceived,   ///< Entry: the whole request has been read.
  kMatched,    ///< Entry: a rule was found; it stays until the call ends.
  kChosen,     ///< Entry: an upstream was chosen.
  kOffered,    ///< Entry: the offer is passed to the connection to the exit.
  kAdmitted,   ///< Exit: accepted, possibly queued, not started.
  kStarted,    ///< Exit: bytes may be written to the upstream.
  kAnswered,   ///< The complete answer of the upstream was received.
  kRefused,    ///< The call was refused.
  kCancelled,  ///< Exit: cancelled before it started; it did not run.
  /// Entry: the answer is about to be passed to the caller's connection. Nodes
  /// only report this step to a `StepHook`; the state goes from `kAnswered` to
  /// `kFinished`.
  kRelayed,
  kFinished,  ///< All resources of the call are released.
};

/// Number of enumerators of `CallStep`.
inline constexpr std::size_t kCallStepCount = 11;

/// Name of a step in dumps and logs, for example `received`.
std::string_view NameOf(CallStep step);

/// Whether the table has a transition from `from` to `to`.
bool IsTransitionAllowed(CallStep from, CallStep to);

/// The current step of one call. All methods are thread-safe and lock-free; at
/// most one of several concurrent transitions out of one step succeeds.
class CallStateMachine {
 public:
  explicit CallStateMachine(CallStep initial = CallStep::kReceived)
      : m_step(initial) {}

  /// The current step.
  CallStep step() const { return m_step.load(std::memory_order_acquire); }

  /// Changes the step from `from` to `to`. Returns false, and changes nothing,
  /// if the call is not in `from` or the table doesn't allow the transition.
  bool TryTransition(CallStep from, CallStep to);

  /// Changes the current step to `to`. Returns false if the table doesn't allow
  /// it or the step was changed concurrently.
  bool TransitionTo(CallStep to);

  /// Starts the run. Returns true if the request may now be written to the
  /// upstream; no cancellation can succeed after that. Returns false if the
  /// call is not in `kAdmitted`, for example because it was cancelled.
  bool TryStart() {
    return TryTransition(CallStep::kAdmitted, CallStep::kStarted);
  }

  /// Cancels the call. Returns true if it was not started; it will not run.
  bool TryCancel() {
    return TryTransition(CallStep::kAdmitted, CallStep::kCancelled);
  }

 private:
  std::atomic<CallStep> m_step;
};

}  // namespace yuccamast
