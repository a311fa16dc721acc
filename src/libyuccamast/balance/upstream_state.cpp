#include "yuccamast/balance/upstream_state.h"

#include <algorithm>
#include <cmath>

namespace yuccamast {

namespace {

std::int64_t Ticks(TimePoint time) {
  return time.time_since_epoch().count();
}

TimePoint FromTicks(std::int64_t ticks) {
  return TimePoint(Duration(ticks));
}

double Ratio(Duration numerator, Duration denominator) {
  return static_cast<double>(numerator.count()) /
         static_cast<double>(denominator.count());
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

/// An upstream counts as stalled if a short run is older than this many service
/// times, or if calls of this node are in flight and none has ended for as long
/// as that.
constexpr double kStallFactor = 3.0;

/// A decayed failure count below this is treated as zero.
constexpr double kMinFailures = 0.05;

/// Cost of an upstream that is reported as cold, relative to a warm one: calls
/// take longer there, and its starts are better kept for a lack of room.
constexpr double kReportedColdFactor = 2.0;

/// A reported limit of starts counts for this long, or until the reported end
/// of the cold time; calls then try the upstream again.
constexpr Duration kStartLimitTtl = std::chrono::seconds(1);

/// Upper bound of an estimate, so that sums of costs cannot overflow.
constexpr Duration kMaxCost = std::chrono::seconds(60);

}  // namespace

void UpstreamState::OnSent(TimePoint now) {
  m_sent_since_report.fetch_add(1, kRelaxed);
  if (m_own_in_flight.fetch_add(1, kRelaxed) == 0) {
    m_progress_at.store(Ticks(now), kRelaxed);
  }
}

void UpstreamState::OnEnd(AttemptEnd end,
                          Duration /*took*/,
                          TimePoint now,
                          const EstimateOptions& options) {
  m_own_in_flight.fetch_sub(1, kRelaxed);
  if (end == AttemptEnd::kAbandoned) {
    return;
  }
  m_progress_at.store(Ticks(now), kRelaxed);
  if (end == AttemptEnd::kFailed) {
    m_failures.store(std::min(RecentFailures(now, options) + 1.0, 10.0),
                     kRelaxed);
    m_failed_at.store(Ticks(now), kRelaxed);
  }
}

void UpstreamState::OnReport(const LoadReport& report, TimePoint now) {
  m_own_at_report.store(m_own_in_flight.load(kRelaxed), kRelaxed);
  m_reported_in_flight.store(report.running + report.queued, kRelaxed);
  m_limit.store(report.limit, kRelaxed);
  m_service_us.store(report.service_us, kRelaxed);
  m_oldest_short_us.store(report.oldest_short_us, kRelaxed);
  m_wait_us.store(report.wait_us, kRelaxed);
  for (std::size_t rank = 0; rank < kWaitRanks; ++rank) {
    m_rank_wait_us.at(rank).store(rank < report.rank_wait_us.size()
                                      ? report.rank_wait_us[rank]
                                      : report.wait_us,
                                  kRelaxed);
  }
  m_takes_late.store(report.takes_late, kRelaxed);
  m_slowness.store(report.slowness, kRelaxed);
  m_slow_remaining_us.store(report.slow_remaining_us, kRelaxed);
  m_cold_left_us.store(report.cold_left_us, kRelaxed);
  m_starts_per_ks.store(report.starts_per_ks, kRelaxed);
  m_starts_left.store(report.starts_left, kRelaxed);
  m_sent_since_report.store(0, kRelaxed);
  m_unanswered.store(0, kRelaxed);
  m_reported_at.store(Ticks(now), kRelaxed);
  if (report.leaving) {
    m_reported_leaving_at.store(Ticks(now), kRelaxed);
  }
}

void UpstreamState::OnLoadQueryAnswered(Duration took) {
  if (took <= kMaxQueryTime) {
    m_unanswered.store(0, kRelaxed);
  }
  // Follows a shorter time at once and a longer one slowly, since single
  // answers are delayed by load.
  constexpr std::int64_t kRiseWindow = 64;
  const std::int64_t known = m_query_round_trip.load(kRelaxed);
  const std::int64_t sample = took.count();
  m_query_round_trip.store(known == 0 || sample < known
                               ? sample
                               : known + (sample - known) / kRiseWindow,
                           kRelaxed);
}

Duration UpstreamState::WaitWithOwnSends(std::size_t wait_rank,
                                         Duration service) const {
  const double limit = std::max<std::uint32_t>(m_limit.load(kRelaxed), 1);
  const double sent = m_sent_since_report.load(kRelaxed);
  const bool full = m_reported_in_flight.load(kRelaxed) + sent + 1 > limit;
  const std::uint32_t reported_us =
      wait_rank < kWaitRanks ? m_rank_wait_us.at(wait_rank).load(kRelaxed)
                             : m_wait_us.load(kRelaxed);
  return std::chrono::microseconds(reported_us) +
         (full ? Scale(service, sent / limit) : Duration::zero());
}

bool UpstreamState::IsLeaving(TimePoint now) const {
  const std::int64_t at = m_reported_leaving_at.load(kRelaxed);
  const bool reported = at != 0 && now - FromTicks(at) < kReportedLeavingTtl;
  return reported || m_leaving.load(kRelaxed);
}

bool UpstreamState::HasSpareSlot(TimePoint now,
                                 const EstimateOptions& options) const {
  constexpr std::uint32_t kSlowThresholdPercent = 150;  // As in VmSpeedTracker.
  constexpr std::uint32_t kSpareSlots = 1;
  const std::uint32_t taken = m_reported_in_flight.load(kRelaxed) +
                              m_sent_since_report.load(kRelaxed) + kSpareSlots;
  return ReportAge(now) <= options.fresh_report_age && IsUsable(now) &&
         m_slowness.load(kRelaxed) < kSlowThresholdPercent &&
         m_wait_us.load(kRelaxed) == 0 && !IsReportedCold(now) &&
         StartWait(now) == Duration::zero() && taken < m_limit.load(kRelaxed) &&
         RecentFailures(now, options) == 0.0;
}

bool UpstreamState::IsReportedCold(TimePoint now) const {
  const std::uint32_t remaining_us = m_cold_left_us.load(kRelaxed);
  return remaining_us > 0 &&
         ReportAge(now) < std::chrono::microseconds(remaining_us);
}

Duration UpstreamState::StartWait(TimePoint now) const {
  const double rate = m_starts_per_ks.load(kRelaxed) / 1000.0;
  const Duration age = ReportAge(now);
  if (rate <= 0 || (age > kStartLimitTtl && !IsReportedCold(now))) {
    return Duration::zero();
  }
  const auto time_for = [rate](double starts) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(starts / rate));
  };
  const double sent = m_sent_since_report.load(kRelaxed);
  const double left = m_starts_left.load(kRelaxed);
  if (left > 0) {
    return std::max(time_for(sent + 1.0 - left) - age, Duration::zero());
  }
  // Other nodes keep the queue as long as it was: its age doesn't shorten it.
  return std::chrono::microseconds(m_wait_us.load(kRelaxed)) + time_for(sent);
}

double UpstreamState::OthersInFlight() const {
  const double total = m_reported_in_flight.load(kRelaxed);
  const double own = m_own_at_report.load(kRelaxed);
  return std::max(0.0, total - own);
}

double UpstreamState::RecentFailures(TimePoint now,
                                     const EstimateOptions& options) const {
  const double failures = m_failures.load(kRelaxed);
  if (failures == 0.0) {
    return 0.0;
  }
  const Duration age = now - FromTicks(m_failed_at.load(kRelaxed));
  const double decayed =
      failures * std::exp2(-Ratio(age, options.failure_half_life));
  return decayed < kMinFailures ? 0.0 : decayed;
}

Duration UpstreamState::ReportAge(TimePoint now) const {
  const std::int64_t at = m_reported_at.load(kRelaxed);
  return at == 0 ? Duration::max() : now - FromTicks(at);
}

Duration UpstreamState::ServiceTime(TimePoint now,
                                    const EstimateOptions& options) const {
  const std::uint32_t reported_us = m_service_us.load(kRelaxed);
  const Duration mean = reported_us == 0
                            ? options.default_service
                            : Duration(std::chrono::microseconds(reported_us));
  Duration stall = std::chrono::microseconds(m_oldest_short_us.load(kRelaxed));
  if (ReportAge(now) > 4 * options.report_half_life) {
    stall = Duration::zero();
  }
  if (m_own_in_flight.load(kRelaxed) > 0) {
    stall = std::max(stall, now - FromTicks(m_progress_at.load(kRelaxed)));
  }
  const bool stalled = stall > Scale(mean, kStallFactor);
  return stalled ? stall : mean;
}

double UpstreamState::InFlight(TimePoint now,
                               double prior_others_in_flight,
                               const EstimateOptions& options) const {
  const double own = m_own_in_flight.load(kRelaxed);
  if (m_reported_at.load(kRelaxed) == 0) {
    return own + prior_others_in_flight;
  }
  const double weight =
      1.0 / (1.0 + Ratio(ReportAge(now), options.report_half_life));
  return own + weight * OthersInFlight() +
         (1.0 - weight) * prior_others_in_flight;
}

double UpstreamState::ColdFactor(TimePoint now,
                                 const EstimateOptions& options) const {
  const double reported = IsReportedCold(now) ? kReportedColdFactor : 1.0;
  if (!m_cold) {
    return reported;
  }
  const double warmup_fraction = Ratio(now - m_first_seen, options.cold_start);
  return std::max(reported, 1.0 / std::clamp(warmup_fraction, 0.1, 1.0));
}

Duration UpstreamState::ExpectedServiceTime(
    const EstimateOptions& options) const {
  const std::uint32_t reported_us = m_service_us.load(kRelaxed);
  const Duration mean = reported_us == 0
                            ? options.default_service
                            : Duration(std::chrono::microseconds(reported_us));
  const Duration work = options.expected_service > Duration::zero()
                            ? options.expected_service
                            : mean;
  // A run keeps the VM speed of its start to its end. An exit defers the start
  // if the run then ends sooner, see `VmSpeed::ShouldDefer`.
  constexpr double kPercent = 100.0;
  const double factor = std::max(1.0, m_slowness.load(kRelaxed) / kPercent);
  const Duration slow_remaining =
      std::chrono::microseconds(m_slow_remaining_us.load(kRelaxed));
  return factor > 1.0 ? std::min(Scale(work, factor), slow_remaining + work)
                      : work;
}

namespace {

/// Time that other calls add to a new one, in service times, at a utilization
/// of the slots (1: all taken; more: queued calls). Below 1 a call runs at
/// once, but calls that run beside it slow it a little; above 1 it also waits
/// for whole service times.
double ContentionFactor(double utilization) {
  constexpr double kInterference = 0.5;
  constexpr double kQueueing = 2.0;
  return kInterference * utilization +
         kQueueing * std::max(0.0, utilization - 1.0);
}

}  // namespace

Duration UpstreamState::CostFromFreshReport(
    TimePoint now,
    const EstimateOptions& options) const {
  const double limit = std::max<std::uint32_t>(m_limit.load(kRelaxed), 1);
  const double sent_since_report = m_sent_since_report.load(kRelaxed);
  const double utilization =
      (m_reported_in_flight.load(kRelaxed) + sent_since_report + 1.0) / limit;
  const Duration work = ExpectedServiceTime(options);
  const Duration wait =
      std::max(StartWait(now), WaitWithOwnSends(options.wait_rank, work));
  return std::max(wait + work,
                  Scale(work, 1.0 + ContentionFactor(utilization)));
}

Duration UpstreamState::EstimateCost(TimePoint now,
                                     double prior_others_in_flight,
                                     const EstimateOptions& options) const {
  const Duration failures =
      Scale(options.failure_penalty, RecentFailures(now, options));
  if (ReportAge(now) <= options.fresh_report_age) {
    return std::min(
        Scale(CostFromFreshReport(now, options), ColdFactor(now, options)) +
            failures,
        kMaxCost);
  }
  const double limit = std::max<std::uint32_t>(m_limit.load(kRelaxed), 1);
  // An upstream that hasn't reported yet is assumed to have ten slots.
  const double assumed_limit = m_limit.load(kRelaxed) == 0 ? 10.0 : limit;
  const double in_flight = InFlight(now, prior_others_in_flight, options);
  const double contention = ContentionFactor((in_flight + 1.0) / assumed_limit);
  const Duration service = ServiceTime(now, options);
  const Duration cost =
      Scale(service, (1.0 + contention) * ColdFactor(now, options)) +
      StartWait(now) + failures +
      (m_unanswered.load(kRelaxed) > 0 ? options.unanswered_penalty
                                       : Duration::zero());
  return std::min(cost, kMaxCost);
}

}  // namespace yuccamast
