#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "yuccamast/balance/policy.h"
#include "yuccamast/balance/upstream_state.h"
#include "yuccamast/clock.h"

/// \file room.h
/// What room the queried upstreams have for one call, by their reports.
///
/// Input: the candidates that were sent a load query for the call, its times
/// and its rank. Output: the best prospect that any of them offers, the
/// shortest expected wait, and the age of the oldest report.
///
/// An entry refuses a call at once if every report is fresh and none offers a
/// useful end; anything that is not known counts as room, so the exit decides.
/// The estimates are optimistic for the same reason: calls that the node itself
/// has sent since a report are added, but the service time is the shortest one
/// known. A random margin keeps entries that hold the same reports from all
/// refusing at the same moment. Pure functions, thread-safe.

namespace yuccamast {

/// What the queried upstreams offer a call, from best to worst.
enum class Room : std::uint8_t {
  kUnknown,  ///< A report is missing or old, or too few were queried.
  kInTime,   ///< By the objective, or by the deadline without one.
  kLate,     ///< By the deadline only, and a late call would be queued.
  kNone,
};

/// Name as in logs, such as `in_time`.
std::string_view NameOf(Room room);

/// A call that looks for room.
struct RoomRequest {
  TimePoint now;
  TimePoint objective{};  ///< `TimePoint{}`: none.
  TimePoint deadline;
  /// Expected service time known to the entry; 0: unknown.
  Duration expected_service{};
  std::size_t wait_rank = kWaitRanks;  ///< See `WaitRankOf`.
  /// In 0..1: share of the service time that is left as a margin.
  double margin = 0;
};

/// Result of `AssessRoom`.
struct RoomAssessment {
  Room room = Room::kUnknown;
  /// Shortest time until a call of this rank would start at one of the
  /// upstreams, with the network delay; zero if it is not known.
  Duration expected_wait{};
  Duration expected_service{};    ///< As it was assumed at that upstream.
  Duration oldest_report{};       ///< Age; zero if none was fresh.
  std::size_t fresh_reports = 0;  ///< Number of upstreams assessed.
};

/// Assesses the upstreams at the indices `queried`, which must be valid.
/// Leaving ones are skipped. `kNone` needs fresh reports of `kMinReports` of
/// them, or of all candidates if there are fewer.
RoomAssessment AssessRoom(std::span<const Candidate> candidates,
                          std::span<const std::size_t> queried,
                          const RoomRequest& request,
                          const EstimateOptions& options);

/// Reports without which an entry does not refuse on its own.
inline constexpr std::size_t kMinReports = 4;

}  // namespace yuccamast
