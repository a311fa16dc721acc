#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "yuccamast/balance/load_report.h"
#include "yuccamast/clock.h"

/// \file upstream_state.h
/// Load and health of one upstream as known to one node, and the cost estimate
/// for a new call that is derived from them.
///
/// Input: calls sent and ended by this node, load reports from the exit, and
/// load queries sent. Output: the expected time of a new call (waiting plus
/// running, plus penalties for failures and for unanswered load queries).
///
/// - Calls in flight: reports are always old, the node's own count is exact.
///   The weight of a report falls with its age in favour of a prior, the mean
///   number of calls that other nodes have in flight at an upstream of the
///   service; so an upstream without a recent report is never taken for idle.
/// - Service time: normally the reported mean. If there is no fresh report, and
///   the oldest run is older than three times the mean or none of this node's
///   calls has ended for so long, that time is used instead, so a stalled
///   upstream is noticed before its calls end.
/// - Failures: a count with exponential decay.
/// - Slow start: an upstream that was added cold, that is newly started, has a
///   higher cost at first, and so has one that its exit reports as cold.
/// - Limited starts: if the exit limits the starts of calls, since the upstream
///   is cold or takes load again, a call waits until those that this node has
///   sent since the report leave room for it (`StartWait`).

namespace yuccamast {

/// Parameters of the estimate.
struct EstimateOptions {
  /// Age at which a report and the prior have equal weight.
  Duration report_half_life = std::chrono::milliseconds(50);
  /// Service time assumed before an upstream has reported one.
  Duration default_service = std::chrono::milliseconds(5);
  /// Added cost for each recent failure.
  Duration failure_penalty = std::chrono::milliseconds(500);
  /// Age at which a failure counts half.
  Duration failure_half_life = std::chrono::seconds(2);
  /// Time over which the cost of a cold upstream falls to normal.
  Duration cold_start = std::chrono::seconds(3);
  /// Reports up to this age are used as they are, without the prior.
  Duration fresh_report_age = std::chrono::milliseconds(20);
  /// Added cost for an exit that hasn't answered the last load query, unless
  /// its last report is fresh.
  Duration unanswered_penalty = std::chrono::milliseconds(400);
  /// Expected service time of the call; zero: the upstream's reported mean.
  /// Used only with a fresh report.
  Duration expected_service{};
  /// Rank of the call by which its wait is looked up, see `WaitRankOf`.
  std::size_t wait_rank = kWaitRanks;
};

/// Result of an attempt, as far as it affects the estimate.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   ///< A reply that is not a server error.
  kFailed,     ///< A server error, a lost connection or an unknown outcome.
  kRefused,    ///< Refused by the exit; it did not run.
  kAbandoned,  ///< Cancelled by this node; ignored for health.
};

/// Balance state of one upstream. All methods are thread-safe and lock-free;
/// each value is read atomically, not all values together.
class UpstreamState {
 public:
  /// `cold` makes the cost start higher, see `EstimateOptions::cold_start`.
  explicit UpstreamState(TimePoint first_seen, bool cold)
      : m_first_seen(first_seen), m_cold(cold) {}

  /// A call was sent to the upstream. To be followed by one `OnEnd`.
  void OnSent(TimePoint now);
  /// An attempt counted by `OnSent` ended. `took` is not used.
  void OnEnd(AttemptEnd end,
             Duration took,
             TimePoint now,
             const EstimateOptions& options);
  /// A load report was received from the exit.
  void OnReport(const LoadReport& report, TimePoint now);

  /// A load query was sent to the exit; the next report counts as its answer.
  void OnLoadQuerySent() { m_unanswered.fetch_add(1, kRelaxed); }

  /// A load query was answered after `took`, also if nothing waited for it any
  /// more. The exit does not count as unresponsive if that is at most
  /// `kMaxQueryTime`.
  void OnLoadQueryAnswered(Duration took);
  /// Shortest recent time from a load query to its answer; zero before the
  /// first one.
  Duration query_round_trip() const {
    return Duration(m_query_round_trip.load(kRelaxed));
  }

  /// Longest time that a load query is worth waiting for.
  static constexpr Duration kMaxQueryTime = std::chrono::milliseconds(20);

  /// Whether more than `kMaxUnanswered` load queries in a row were not
  /// answered.
  bool unresponsive() const {
    return m_unanswered.load(kRelaxed) > kMaxUnanswered;
  }

  /// Estimated time of a new call, waiting and running, with penalties; at
  /// most 60 s. Used to compare upstreams. `prior_others_in_flight` is the mean
  /// number of calls that other nodes have in flight at an upstream of the
  /// service.
  Duration EstimateCost(TimePoint now,
                        double prior_others_in_flight,
                        const EstimateOptions& options) const;

  /// Whether, by a fresh report, a new call would start at once and at normal
  /// speed. One more slot must be free, for calls that are on their way, and
  /// there must be no recent failures.
  bool HasSpareSlot(TimePoint now, const EstimateOptions& options) const;

  /// Time until the exit is expected to have room for the start of a new call,
  /// if it limits starts; zero without a limit.
  Duration StartWait(TimePoint now) const;
  /// Expected wait of a call of the rank: as last reported, plus the calls that
  /// this node has sent since, each of `service`, if no slot is free.
  Duration WaitWithOwnSends(std::size_t wait_rank, Duration service) const;
  /// Whether, as last reported, a call that can only be late would be queued.
  bool takes_late() const { return m_takes_late.load(kRelaxed); }

  /// Calls of other nodes in flight as of the last report: its total minus the
  /// own calls at that time, at least zero.
  double OthersInFlight() const;

  /// Calls of this node in flight.
  std::uint32_t own_in_flight() const { return m_own_in_flight.load(kRelaxed); }
  /// Calls of all nodes that run or are queued, as of the last report.
  std::uint32_t reported_in_flight() const {
    return m_reported_in_flight.load(kRelaxed);
  }
  /// Whether the upstream is leaving, as set by `SetLeaving` or reported by the
  /// exit within `kReportedLeavingTtl`. A report of leaving is cleared by its
  /// expiry alone, because an upstream that gets no calls sends no later
  /// reports.
  bool IsLeaving(TimePoint now) const;
  /// Sets whether membership or the VM list has the upstream as leaving.
  void SetLeaving(bool leaving) { m_leaving.store(leaving, kRelaxed); }

  /// Whether the operator has emptied the data centre of the upstream.
  bool IsEvacuated() const { return m_evacuated.load(kRelaxed); }
  void SetEvacuated(bool evacuated) { m_evacuated.store(evacuated, kRelaxed); }

  /// Whether calls may be sent: the upstream is neither leaving nor in an
  /// emptied data centre.
  bool IsUsable(TimePoint now) const {
    return !IsLeaving(now) && !IsEvacuated();
  }

  /// Time for which a report of leaving counts.
  static constexpr Duration kReportedLeavingTtl = std::chrono::seconds(2);

  /// Exponentially decayed number of failures, 0..10; 0 once negligible.
  double RecentFailures(TimePoint now, const EstimateOptions& options) const;

  /// Age of the last report; `Duration::max()` if there was none.
  Duration ReportAge(TimePoint now) const;
  /// Mean service time by the last report, in microseconds; 0: unknown.
  std::uint32_t service_us() const { return m_service_us.load(kRelaxed); }

 private:
  static constexpr auto kRelaxed = std::memory_order_relaxed;
  /// An exit with more unanswered load queries counts as unresponsive; a few
  /// answers may still be on their way.
  static constexpr std::uint32_t kMaxUnanswered = 4;

  /// Cost without penalties, from a report that needs no prior.
  Duration CostFromFreshReport(TimePoint now,
                               const EstimateOptions& options) const;
  /// Expected service time of the call at the VM's current speed or, if that is
  /// shorter, the rest of the slow period plus the time at normal speed.
  Duration ExpectedServiceTime(const EstimateOptions& options) const;

  /// Reported mean service time; if stalled, the longer of two times: the age
  /// of the oldest short run, if the report is at most four
  /// `report_half_life` old, and, while calls of this node are in flight, the
  /// time since `m_progress_at`.
  Duration ServiceTime(TimePoint now, const EstimateOptions& options) const;
  /// Estimated calls in flight: own ones, and those of other nodes weighted
  /// between report and prior by the age of the report.
  double InFlight(TimePoint now,
                  double prior_others_in_flight,
                  const EstimateOptions& options) const;
  /// Whether the upstream is cold by the last report.
  bool IsReportedCold(TimePoint now) const;
  /// Factor on the cost of a cold upstream: from 10 down to 1 if it was added
  /// cold; `kReportedColdFactor` if it is reported as cold.
  double ColdFactor(TimePoint now, const EstimateOptions& options) const;

  const TimePoint m_first_seen;
  const bool m_cold;
  std::atomic<std::uint32_t> m_own_in_flight{0};
  /// Own calls in flight at the time of the last report.
  std::atomic<std::uint32_t> m_own_at_report{0};
  std::atomic<std::uint32_t> m_reported_in_flight{0};
  std::atomic<std::uint32_t> m_limit{0};
  std::atomic<std::uint32_t> m_service_us{0};
  std::atomic<std::uint32_t> m_oldest_short_us{0};
  std::atomic<std::int64_t> m_reported_at{0};  ///< Clock ticks; 0: never.
  /// Clock ticks of the last end of a call, or of the send if none was in
  /// flight before it.
  std::atomic<std::int64_t> m_progress_at{0};
  std::atomic<double> m_failures{0};
  std::atomic<std::int64_t> m_failed_at{0};  ///< Clock ticks.
  std::atomic<std::uint32_t> m_wait_us{0};
  std::array<std::atomic<std::uint32_t>, kWaitRanks> m_rank_wait_us{};
  std::atomic<bool> m_takes_late{true};
  std::atomic<std::int64_t> m_query_round_trip{0};  ///< Clock ticks.
  std::atomic<std::uint32_t> m_slowness{100};
  std::atomic<std::uint32_t> m_slow_remaining_us{0};
  std::atomic<std::uint32_t> m_cold_left_us{0};
  std::atomic<std::uint32_t> m_starts_per_ks{0};
  std::atomic<std::uint32_t> m_starts_left{0};
  std::atomic<std::uint32_t> m_sent_since_report{0};
  std::atomic<std::uint32_t> m_unanswered{0};  ///< Load queries in a row.
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_evacuated{false};
  /// Clock ticks; 0: never.
  std::atomic<std::int64_t> m_reported_leaving_at{0};
};

}  // namespace yuccamast
