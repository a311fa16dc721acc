#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file plan.h
/// The test plan of the fault matrix: which fault is injected at which step of
/// a call, and whether the call is idempotent.
///
/// Each combination is a cell. There are 12 steps * 24 faults * 2 kinds of rule
/// = 576 cells with one fault, and random pairs of faults besides. The names of
/// steps and faults are used on the command line, in the report, and in
/// KNOWN-RED.txt. They are stored in the order of the enumerators.

namespace yuccamast::matrix {

/// The step at which the call is held while the fault is injected. At
/// `kRunning`, `kReplyHead` and `kReplyHalf` the upstream only delays it.
enum class Step : std::uint8_t {
  kReceived,   ///< The entry has read the whole request.
  kMatched,    ///< The entry has found the rule.
  kChosen,     ///< The entry has chosen an upstream.
  kOffered,    ///< The exit has received the offer, but not processed it.
  kAdmitted,   ///< The exit has accepted the call, but not started it.
  kStarted,    ///< The exit has started the call; no byte reached the upstream.
  kBodyHalf,   ///< Half of the request body may have reached the upstream.
  kRunning,    ///< The upstream works on the call.
  kReplyHead,  ///< The upstream has sent the head of its reply.
  kReplyHalf,  ///< The upstream has sent half of its reply.
  kReplyWhole,  ///< The exit has received the complete reply.
  /// The entry is about to pass the complete reply to the caller's connection.
  kRelayed,
};

/// The fault that is injected. "Exit" and "upstream" are those of the VM that
/// has the call; see inject.cpp and cell_call.h for the durations.
enum class Fault : std::uint8_t {
  kEntryKilled,  ///< The node ends by SIGKILL.
  kExitKilled,
  kUpstreamKilled,
  kEntryPausedShort,  ///< Stopped by SIGSTOP and resumed before the deadline.
  kEntryPausedLong,   ///< The same, resumed after the deadline.
  kExitPausedShort,
  kExitPausedLong,
  kUpstreamPausedShort,
  kUpstreamPausedLong,
  kEntryLeaving,  ///< Graceful stop of the node by SIGTERM.
  kExitLeaving,
  kUpstreamLeaving,      ///< The upstream announces that it is leaving.
  kCallerReset,          ///< The caller closes its connection by RST.
  kInnerReset,           ///< The connections to the exit are reset.
  kUpstreamReset,        ///< The connections to the upstream are reset.
  kInnerSilent,          ///< Open connections to the exit drop all bytes.
  kInnerHalfSilent,      ///< Bytes to the exit are dropped, replies pass.
  kUpstreamSilent,       ///< Open connections to the upstream drop all bytes.
  kUpstreamSlow,         ///< Service times are 20 times as long.
  kUpstreamFastFailing,  ///< The upstream answers all calls at once with 500.
  kCallerGone,           ///< The caller closes its connection by FIN.
  kDeadlinePassed,       ///< The call is held until its deadline has passed.
  kConfigChanged,  ///< Rules with other idempotence and deadline are published.
  kStaleVmList,    ///< A VM list without the VM that has the call is published.
};

inline constexpr std::array<std::string_view, 12> kStepNames = {
    "received",   "matched",    "chosen",      "offered",
    "admitted",   "started",    "body_half",   "running",
    "reply_head", "reply_half", "reply_whole", "relayed"};

inline constexpr std::array<std::string_view, 24> kFaultNames = {
    "entry_killed",       "exit_killed",           "upstream_killed",
    "entry_paused_short", "entry_paused_long",     "exit_paused_short",
    "exit_paused_long",   "upstream_paused_short", "upstream_paused_long",
    "entry_leaving",      "exit_leaving",          "upstream_leaving",
    "caller_reset",       "inner_reset",           "upstream_reset",
    "inner_silent",       "inner_half_silent",     "upstream_silent",
    "upstream_slow",      "upstream_fast_failing", "caller_gone",
    "deadline_passed",    "config_changed",        "stale_vm_list"};

/// Name of a step, such as `body_half`.
inline std::string_view NameOf(Step step) {
  return kStepNames.at(static_cast<std::size_t>(step));
}
/// Name of a fault, such as `exit_killed`.
inline std::string_view NameOf(Fault fault) {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

/// One cell: one or two faults that are injected in turn at one step of a call.
struct Cell {
  Step step = Step::kReceived;
  std::vector<Fault> faults;
  bool idempotent = false;  ///< Kind of the rule that the call matches.

  /// Such as `running+exit_killed/once`; `/idempotent` if the rule is.
  std::string Name() const {
    std::string name(NameOf(step));
    for (const Fault fault : faults) {
      name += "+";
      name += NameOf(fault);
    }
    return name + (idempotent ? "/idempotent" : "/once");
  }
};

/// Returns the cells with one fault: every fault at every step, for both kinds
/// of rule.
std::vector<Cell> SingleCells();

/// Returns `count` random cells with two different faults each. The same seed
/// gives the same cells; a cell may come twice.
std::vector<Cell> PairCells(std::size_t count, std::uint64_t seed);

}  // namespace yuccamast::matrix
