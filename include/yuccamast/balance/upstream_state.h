#pragma once

#include <atomic>
#include <cstdint>

#include "yuccamast/balance/load_report.h"
#include "yuccamast/clock.h"

/// \file upstream_state.h
/// What one node knows of the load and health of one upstream.
///
/// It combines the last report with what this node did since: reports are
/// always old, the own calls in flight are exact. A report loses weight with
/// its age in favour of a prior, the mean of what others have in flight over
/// the service; ignorance is never taken for idleness. A run of this node that
/// makes no progress counts from its age, not only from its completion.

namespace yuccamast {

/// Parameters of the estimate. All have units in their names.
struct EstimateOptions {
  Duration report_half_life = std::chrono::milliseconds(50);
  Duration default_service = std::chrono::milliseconds(5);
  Duration failure_penalty = std::chrono::milliseconds(500);
  Duration failure_half_life = std::chrono::seconds(2);
  Duration cold_start = std::chrono::seconds(3);
  /// A report younger than this is taken at its word.
  Duration fresh_report_age = std::chrono::milliseconds(20);
  /// What an exit that did not answer a question costs more.
  Duration silence_penalty = std::chrono::milliseconds(400);
  /// Usual service time of the call, if known; zero: the upstream's average.
  Duration work{};
};

/// How an attempt ended, for the balance state.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   ///< A reply that is not a server error.
  kFailed,     ///< A server error, a lost connection or an unknown outcome.
  kRefused,    ///< A refusal by the exit with proof of no run.
  kAbandoned,  ///< Cancelled by this node; says nothing of the upstream.
};

/// Balance state of one upstream. All methods are thread-safe, without locks.
class UpstreamState {
 public:
  explicit UpstreamState(TimePoint first_seen, bool cold)
      : m_first_seen(first_seen), m_cold(cold) {}

  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end,
             Duration took,
             TimePoint now,
             const EstimateOptions& options);
  void OnReport(const LoadReport& report, TimePoint now);

  /// A question was sent to the exit; a report that follows answers it.
  void OnLoadQuerySent() { m_unanswered.fetch_add(1, kRelaxed); }

  /// Whether several questions in a row had no answer.
  bool unresponsive() const {
    return m_unanswered.load(kRelaxed) > kSilentAfter;
  }

  /// The time a new call would take here, waiting and running, as estimated.
  /// `prior_others_in_flight` is the mean number of calls of other nodes in
  /// flight at an upstream of the service.
  Duration EstimateCost(TimePoint now,
                        double prior_others_in_flight,
                        const EstimateOptions& options) const;

  /// Whether a fresh report says that a call would start at once at full
  /// speed, with a slot to spare for calls that are on their way.
  bool HasSpareSlot(TimePoint now, const EstimateOptions& options) const;

  /// Calls of other nodes in flight by the last report, at least zero.
  double ReportedOthers() const;

  std::uint32_t own_in_flight() const { return m_own.load(kRelaxed); }
  std::uint32_t reported_in_flight() const { return m_reported.load(kRelaxed); }
  /// Whether it is leaving, by the word of membership or VM list, or by its
  /// own word in a recent report. A report counts for `kReportedLeaving` only:
  /// an upstream that gets no calls sends no report that says otherwise.
  bool IsLeaving(TimePoint now) const;
  void SetLeaving(bool leaving) { m_leaving.store(leaving, kRelaxed); }

  static constexpr Duration kReportedLeaving = std::chrono::seconds(2);

  /// Decayed number of recent failures.
  double RecentFailures(TimePoint now, const EstimateOptions& options) const;

  /// Age of the last report, or the maximum if there was none.
  Duration ReportAge(TimePoint now) const;
  std::uint32_t service_us() const { return m_service_us.load(kRelaxed); }

 private:
  static constexpr auto kRelaxed = std::memory_order_relaxed;
  /// Questions without an answer after which an exit counts as unresponsive; a
  /// few may be on their way.
  static constexpr std::uint32_t kSilentAfter = 4;

  Duration FreshCost(const EstimateOptions& options) const;
  Duration WorkTime(const EstimateOptions& options) const;

  Duration ServiceTime(TimePoint now, const EstimateOptions& options) const;
  double InFlight(TimePoint now,
                  double prior_others_in_flight,
                  const EstimateOptions& options) const;
  double ColdFactor(TimePoint now, const EstimateOptions& options) const;

  const TimePoint m_first_seen;
  const bool m_cold;
  std::atomic<std::uint32_t> m_own{0};
  std::atomic<std::uint32_t> m_own_at_report{0};
  std::atomic<std::uint32_t> m_reported{0};
  std::atomic<std::uint32_t> m_limit{0};
  std::atomic<std::uint32_t> m_service_us{0};
  std::atomic<std::uint32_t> m_oldest_short_us{0};
  std::atomic<std::int64_t> m_reported_at{0};  ///< Clock ticks; 0 is never.
  std::atomic<std::int64_t> m_progress_at{0};  ///< Last answer or first send.
  std::atomic<double> m_failures{0};
  std::atomic<std::int64_t> m_failed_at{0};
  std::atomic<std::uint32_t> m_wait_us{0};
  std::atomic<std::uint32_t> m_slowness{100};
  std::atomic<std::uint32_t> m_slow_left_us{0};
  std::atomic<std::uint32_t> m_sent_since_report{0};
  std::atomic<std::uint32_t> m_unanswered{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<std::int64_t> m_reported_leaving_at{0};  ///< 0 is never.
};

}  // namespace yuccamast
