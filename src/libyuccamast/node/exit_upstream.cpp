#include <algorithm>

#include "log/log.h"
#include "node/exit_calls.h"

/// What an exit knows of the upstream beside it: which one it is, whether it
/// leaves, how busy its machine is, and the limits in force for it.

namespace yuccamast {

namespace {

/// A reading this young answers a question for the load.
constexpr Duration kFreshReading = std::chrono::milliseconds(20);
/// Longest wait for a fresh reading; an upstream on the same machine answers
/// within a millisecond or two, and entries do not wait much longer.
constexpr Duration kReadingLimit = std::chrono::milliseconds(4);

}  // namespace

void ExitCalls::OnDraining(bool draining) {
  Log(LogLevel::kInfo, LogEvent::kUpstreamDraining, {{"draining", draining}});
  if (m_on_leaving) {
    m_on_leaving(leaving());
  }
}

void ExitCalls::OnHealthWord(const HealthStatus& word,
                             const std::optional<UpstreamLoad>& load) {
  if (load) {
    OnLoad(*load, Clock::now());
  }
  if (!word.upstream.empty() && word.upstream != m_named) {
    Log(LogLevel::kInfo, LogEvent::kUpstreamNamed,
        {{"upstream", word.upstream}, {"before", m_named}});
    m_named = word.upstream;
  }
}

void ExitCalls::OnLoad(const UpstreamLoad& load, TimePoint now) {
  m_speed.OnReading(load.slowness, now);
  m_admission.SetVmSpeed(m_speed.At(now));
  TellAskers();
}

double ExitCalls::PaceNow(TimePoint now) const {
  return m_pace.At(m_admission.SampleRunning(now), now);
}

void ExitCalls::ReportFresh(ReportDone done) {
  const bool can_ask = m_watch != nullptr && m_settings.asks_load && !m_closed;
  const bool fresh = m_speed.ReadingAge(Clock::now()) <= kFreshReading;
  if (!can_ask || fresh || !m_watch->ProbeNow()) {
    done(Report());
    return;
  }
  m_askers.push_back(std::move(done));
  if (m_askers.size() == 1) {
    m_ask_timer.expires_after(kReadingLimit);
    m_ask_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        TellAskers();
      }
    });
  }
}

void ExitCalls::TellAskers() {
  if (m_askers.empty()) {
    return;
  }
  m_ask_timer.cancel();
  const auto askers = std::exchange(m_askers, {});
  const LoadReport report = Report();
  std::ranges::for_each(askers, [&](const ReportDone& done) { done(report); });
}

bool ExitCalls::IsMine(const std::string& upstream) const {
  if (m_upstream == nullptr) {
    return false;
  }
  if (!m_settings.upstreams_listed) {
    return upstream == m_settings.upstream;
  }
  // Until the upstream has said its name, it judges by itself whether the
  // request is meant for it.
  return m_named.empty() || upstream == m_named;
}

void ExitCalls::RefreshLimits() {
  const auto view = m_store.Load();
  if (view == m_limits_from || view->config == nullptr) {
    return;
  }
  m_limits_from = view;
  std::string service_name;
  AdmissionLimits limits;
  if (m_settings.upstreams_listed) {
    m_listed_leaving = view->local && view->local->leaving;
    if (!view->local) {
      return;
    }
    service_name = view->local->service;
    limits.slots = view->local->slots;
    limits.short_slots = 0;
  } else {
    const auto upstream = view->config->upstreams.find(m_settings.upstream);
    if (upstream == view->config->upstreams.end()) {
      return;
    }
    service_name = upstream->second.service;
    limits.slots = upstream->second.slots;
    limits.short_slots = upstream->second.short_slots;
  }
  const auto service = view->config->services.find(service_name);
  if (service == view->config->services.end()) {
    return;
  }
  limits.slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(m_settings.slot_share * limits.slots));
  limits.queue_length = service->second.queue_length;
  limits.queue_limit = service->second.queue_limit;
  m_admission.SetLimits(limits);
  if (m_watch != nullptr && m_settings.health_path.empty()) {
    m_watch->SetHealthPath(service->second.health_path);
  }
}

}  // namespace yuccamast
