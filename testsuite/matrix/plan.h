#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file plan.h
/// The rows and columns of the fault matrix.

namespace yuccamast::matrix {

/// Where the call is when the fault is brought about.
enum class Step : std::uint8_t {
  kReceived,
  kMatched,
  kChosen,
  kOffered,
  kAdmitted,
  kStarted,
  kBodyHalf,
  kRunning,
  kReplyHead,
  kReplyHalf,
  kReplyWhole,
  kRelayed,
};

/// What goes wrong.
enum class Fault : std::uint8_t {
  kEntryKilled,
  kExitKilled,
  kUpstreamKilled,
  kEntryPausedShort,
  kEntryPausedLong,
  kExitPausedShort,
  kExitPausedLong,
  kUpstreamPausedShort,
  kUpstreamPausedLong,
  kEntryLeaving,
  kExitLeaving,
  kUpstreamLeaving,
  kCallerReset,
  kInnerReset,
  kUpstreamReset,
  kInnerSilent,
  kInnerHalfSilent,
  kUpstreamSilent,
  kUpstreamSlow,
  kUpstreamFastFailing,
  kCallerGone,
  kDeadlinePassed,
  kConfigChanged,
  kStaleVmList,
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

inline std::string_view NameOf(Step step) {
  return kStepNames.at(static_cast<std::size_t>(step));
}
inline std::string_view NameOf(Fault fault) {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

/// One cell: one or two faults at a step, for one kind of rule.
struct Cell {
  Step step = Step::kReceived;
  std::vector<Fault> faults;
  bool idempotent = false;

  std::string Name() const {
    std::string name(NameOf(step));
    for (const Fault fault : faults) {
      name += "+";
      name += NameOf(fault);
    }
    return name + (idempotent ? "/idempotent" : "/once");
  }
};

/// Every fault at every step, for both kinds of rule.
std::vector<Cell> SingleCells();

/// `count` pairs of faults, drawn by `seed`.
std::vector<Cell> PairCells(std::size_t count, std::uint64_t seed);

}  // namespace yuccamast::matrix
