#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

/// \file load_report.h
/// Load of an upstream as reported by the exit beside it, with every answer and
/// in reply to a load query.
///
/// The counts are exact when the report is sent. They are older by one network
/// delay on arrival and older still when they are used; `UpstreamState`
/// accounts for that.

namespace yuccamast {

/// Number of ranks of calls whose wait a report names besides `wait_us`.
inline constexpr std::size_t kWaitRanks = 3;

/// Rank by which the wait of a call is reported: 0 for nested calls, 1 and 2
/// for the urgencies 0 and 1; `kWaitRanks` for others, which go by `wait_us`.
inline std::size_t WaitRankOf(bool nested, std::uint32_t urgency) {
  return nested ? 0 : std::min<std::size_t>(urgency + 1U, kWaitRanks);
}

/// Message format: an array in the order of `MSGPACK_DEFINE`. New members are
/// appended: an older node sends fewer, which leaves the others at their
/// defaults, and ignores those that it doesn't know.
struct LoadReport {
  std::uint64_t boot_id = 0;  ///< Identifies the exit's process.
  std::uint32_t running = 0;  ///< Calls that hold a slot.
  std::uint32_t queued = 0;   ///< Calls admitted and waiting.
  std::uint32_t limit = 0;    ///< Current number of slots.
  /// Mean service time over all rules at the VM's normal speed, scaled by the
  /// slowdown that `slowness` doesn't explain; 0: unknown.
  std::uint32_t service_us = 0;
  /// Time since the start of the oldest running short call; 0: none runs.
  std::uint32_t oldest_short_us = 0;
  bool leaving = false;  ///< New offers are refused.
  /// Expected time in the queue of a new call; 0 if a slot is free and the
  /// queue is empty.
  std::uint32_t wait_us = 0;
  /// Time that work takes now in percent of the normal time, as reported by
  /// the upstream; 100 is normal.
  std::uint32_t slowness = 100;
  std::uint32_t slow_remaining_us = 0;  ///< Expected; 0: no slow period.
  /// Time for which the upstream is expected to stay cold; 0: it is warm.
  std::uint32_t cold_left_us = 0;
  /// Starts per 1000 s to which the exit limits itself, since the upstream is
  /// cold or takes load again; 0: no such limit.
  std::uint32_t starts_per_ks = 0;
  std::uint32_t starts_left = 0;  ///< Starts possible now; only with a limit.
  /// Expected time in the queue of a new call that goes before less urgent
  /// ones, by `WaitRankOf`; empty: only `wait_us` is known.
  std::vector<std::uint32_t> rank_wait_us;
  bool takes_late = true;  ///< A call that can only be late would be queued.

  MSGPACK_DEFINE(boot_id,
                 running,
                 queued,
                 limit,
                 service_us,
                 oldest_short_us,
                 leaving,
                 wait_us,
                 slowness,
                 slow_remaining_us,
                 cold_left_us,
                 starts_per_ks,
                 starts_left,
                 rank_wait_us,
                 takes_late)
};

}  // namespace yuccamast
