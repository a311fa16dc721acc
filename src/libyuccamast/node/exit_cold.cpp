#include <algorithm>

#include "log/log.h"
#include "node/exit_call.h"
#include "node/exit_calls.h"

/// \file exit_cold.cpp
/// What `ExitCalls` does about an upstream that is cold or takes load again:
/// readings of its cold time, the rate of starts, and what entries are told.

namespace yuccamast {

namespace {

/// Least time from a health reply that tells nothing about the cold time to the
/// next probe for that purpose.
constexpr Duration kUnprovenProbeInterval = std::chrono::milliseconds(50);

}  // namespace

void ExitCalls::ApplyStartRate(std::string_view source) {
  const ColdStartLimiter& cold = m_admission.cold_starts();
  RateLimit rate = m_named_limit;
  const auto limit_to = [&rate](double other) {
    rate = rate ? std::min(*rate, other) : other;
  };
  if (cold.is_cold() && cold.limit() > 0) {
    limit_to(cold.limit());
  } else if (m_return_ramp.rate()) {
    limit_to(*m_return_ramp.rate());
  }
  const double before = m_admission.rate_limit();
  const bool is_ramp_step = before > 0 && rate && m_return_ramp.rate();
  if (rate.value_or(0) == before) {
    return;
  }
  m_admission.SetRateLimit(rate, Clock::now());
  if (before != m_admission.rate_limit() && !is_ramp_step) {
    Log(LogLevel::kInfo, LogEvent::kUpstreamRateLimit,
        {{"per_second", m_admission.rate_limit()},
         {"before", before},
         {"source", source}});
  }
}

void ExitCalls::OnColdTime(const Result<ColdTime, ColdTimeError>& cold,
                           TimePoint asked_at) {
  if (cold.has_error() || !cold.value()) {
    m_unproven_reply_at = Clock::now();
  }
  if (cold.has_error()) {
    m_metrics.Add(Counter::kUpstreamFieldsRefused);
    if (m_refused_cold_time != cold.error().text) {
      m_refused_cold_time = cold.error().text;
      Log(LogLevel::kWarning, LogEvent::kUpstreamFieldRefused,
          {{"what", "cold_time"},
           {"fault", NameOf(cold.error().fault)},
           {"value", cold.error().text}});
    }
    return;
  }
  if (!cold.value()) {
    return;
  }
  const TimePoint now = Clock::now();
  if (*cold.value() > std::chrono::milliseconds::zero()) {
    OnCold(*cold.value(), now);
  } else {
    OnWarm(asked_at, now);
  }
}

void ExitCalls::OnCold(Duration remaining, TimePoint now) {
  const bool is_news = !m_admission.cold_starts().is_cold();
  m_admission.cold_starts().OnCold(now + remaining);
  if (is_news) {
    m_metrics.Add(Counter::kColdPeriods);
    Log(LogLevel::kInfo, LogEvent::kUpstreamCold,
        {{"remaining_ms", ToMicroseconds(remaining) / 1000},
         {"per_second", m_admission.cold_starts().limit()},
         {"source", "health"}});
  }
  ApplyStartRate("cold");
}

void ExitCalls::OnWarm(TimePoint asked_at, TimePoint now) {
  const bool is_news = m_admission.cold_starts().is_cold();
  m_admission.cold_starts().OnWarm(asked_at, now);
  if (is_news) {
    Log(LogLevel::kInfo, LogEvent::kUpstreamWarm, {{"source", "health"}});
    m_return_ramp.Begin(now);
    ApplyStartRate("return");
  }
  if (m_admission.queued() > 0) {
    StartQueued();
  }
}

void ExitCalls::UpdateColdStarts(TimePoint now) {
  if (m_return_ramp.rate()) {
    const Duration service = m_service_times.OverallMean();
    const double full_rate =
        service > Duration::zero()
            ? m_admission.limits().slots /
                  std::chrono::duration<double>(service).count()
            : 0.0;
    m_return_ramp.Advance(now, EstimateSlowdown(now), full_rate);
    ApplyStartRate("return");
  }
  if (m_health_checker != nullptr && !m_closed &&
      now - m_unproven_reply_at >= kUnprovenProbeInterval &&
      m_admission.cold_starts().NeedsProof(now)) {
    m_health_checker->ProbeNow();
  }
}

void ExitCalls::ReportColdStarts(LoadReport& report, TimePoint now) const {
  const ColdStartLimiter& cold = m_admission.cold_starts();
  const bool limits_starts = cold.is_cold() && cold.limit() > 0;
  if (!limits_starts && !m_return_ramp.rate()) {
    return;
  }
  constexpr double kPerThousandSeconds = 1000;
  report.cold_left_us = static_cast<std::uint32_t>(
      ToMicroseconds(limits_starts ? cold.ColdRemaining(now) : Duration()));
  report.starts_per_ks = static_cast<std::uint32_t>(
      std::min(m_admission.rate_limit() * kPerThousandSeconds, 1e9));
  report.starts_left = static_cast<std::uint32_t>(
      std::min<std::size_t>(m_admission.StartsLeft(now), 1'000'000));
}

}  // namespace yuccamast
