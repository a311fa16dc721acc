#include <algorithm>

#include "http/fields.h"
#include "log/log.h"
#include "node/exit_call.h"
#include "node/exit_calls.h"

/// \file exit_upstream.cpp
/// State of the upstream beside an exit, as `ExitCalls` keeps it: its name,
/// whether it is leaving, the speed of its VM, the limits in force for it, and
/// the requests that it is sent.

namespace yuccamast {

namespace {

/// Maximum age of a load reading that answers a load query without a probe.
constexpr Duration kFreshReadingAge = std::chrono::milliseconds(20);
/// Maximum wait for a fresh reading: an upstream on the same VM answers within
/// one or two milliseconds, and entries do not wait much longer for the report.
constexpr Duration kReadingTimeout = std::chrono::milliseconds(4);
/// Starts per second until a reply tells whether the upstream limits its rate:
/// the limit may be from before a restart of this node.
constexpr double kUnknownRateLimit = 4;
/// Replies up to this size may use the room that longer ones leave free.
constexpr std::size_t kShortReplyBytes = 64U << 10U;
/// Time without any reply after which the upstream counts as not limited.
constexpr Duration kUnknownRateLimitTime = std::chrono::seconds(1);

}  // namespace

void ExitCalls::OnDraining(bool draining) {
  Log(LogLevel::kInfo, LogEvent::kUpstreamDraining, {{"draining", draining}});
  if (m_on_leaving) {
    m_on_leaving(leaving());
  }
}

void ExitCalls::SetNamedLimit(const RateLimit& limit, std::string_view source) {
  m_named_limit = limit;
  ApplyStartRate(source);
}

void ExitCalls::ResetRateLimit() {
  m_limit_known = false;
  m_limit_unknown_since = Clock::now();
  m_health_names_limit = false;
  SetNamedLimit(kUnknownRateLimit, "unknown");
}

void ExitCalls::ExpireUnknownRateLimit(TimePoint now) {
  if (!m_limit_known && m_health_checker != nullptr) {
    m_health_checker->ProbeNow();
  }
  if (!m_limit_known && now - m_limit_unknown_since >= kUnknownRateLimitTime) {
    m_limit_known = true;
    SetNamedLimit(std::nullopt, "unknown");
  }
}

void ExitCalls::OnRateLimit(const RateLimit& limit,
                            TimePoint sent_at,
                            bool is_health) {
  const std::string_view source = is_health ? "health" : "reply";
  if (limit) {
    m_limit_known = true;
    m_limit_named_at = Clock::now();
    m_health_names_limit = m_health_names_limit || is_health;
    SetNamedLimit(limit, source);
    return;
  }
  // A reply to an earlier request may be older than the one that named the
  // limit.
  const bool is_newer = !m_limit_known || sent_at > m_limit_named_at;
  if (is_newer && (!is_health || m_health_names_limit || !m_limit_known)) {
    m_limit_known = true;
    SetNamedLimit(std::nullopt, source);
  }
}

void ExitCalls::OnHealthStatus(const HealthStatus& health,
                               const std::optional<UpstreamLoad>& load) {
  m_last_health_at = Clock::now();
  if (load) {
    OnLoad(*load, Clock::now());
  }
  if (!health.upstream.empty() && health.upstream != m_reported_upstream) {
    Log(LogLevel::kInfo, LogEvent::kUpstreamNamed,
        {{"upstream", health.upstream}, {"before", m_reported_upstream}});
    if (!m_reported_upstream.empty()) {
      ResetRateLimit();
    }
    m_reported_upstream = health.upstream;
  }
}

void ExitCalls::OnLoad(const UpstreamLoad& load, TimePoint now) {
  m_vm_speed.OnReading(load.slowness, now);
  m_admission.SetVmSpeed(m_vm_speed.At(now));
  SendPendingReports();
}

double ExitCalls::EstimateSlowdown(TimePoint now) const {
  return m_slowdown.At(m_admission.SampleRunning(now), now);
}

void ExitCalls::RequestFreshReport(ReportDone done) {
  const bool can_probe =
      m_health_checker != nullptr && m_settings.asks_load && !m_closed;
  const bool fresh = m_vm_speed.ReadingAge(Clock::now()) <= kFreshReadingAge;
  if (!can_probe || fresh || !m_health_checker->ProbeNow()) {
    done(MakeReport());
    return;
  }
  m_report_waiters.push_back(std::move(done));
  if (m_report_waiters.size() == 1) {
    m_report_timer.expires_after(kReadingTimeout);
    m_report_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        SendPendingReports();
      }
    });
  }
}

void ExitCalls::SendPendingReports() {
  if (m_report_waiters.empty()) {
    return;
  }
  m_report_timer.cancel();
  const auto waiters = std::exchange(m_report_waiters, {});
  const LoadReport report = MakeReport();
  std::ranges::for_each(waiters, [&](const ReportDone& done) { done(report); });
}

bool ExitCalls::IsLocalUpstream(const std::string& upstream) const {
  if (m_upstream == nullptr) {
    return false;
  }
  if (!m_settings.upstreams_listed) {
    return upstream == m_settings.upstream;
  }
  // Until the upstream has reported its name, every name is accepted; the
  // upstream then checks itself whether the request is meant for it.
  return m_reported_upstream.empty() || upstream == m_reported_upstream;
}

UpstreamRequest ExitCalls::BuildRequest(Call& call) const {
  UpstreamRequest request;
  request.method = call.offer.method;
  request.target = call.offer.target;
  request.fields = std::move(call.offer.fields);
  request.body = std::move(call.offer.body);
  request.idempotent = call.offer.idempotent;
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           call.deadline - Clock::now())
                           .count();
  const Dialect& dialect = *m_settings.dialect;
  if (!dialect.request_id_field.empty()) {
    const std::string* id = FindField(request.fields, dialect.request_id_field);
    request.request_id = id == nullptr ? "" : *id;
  }
  SetField(request.fields, dialect.deadline_field,
           std::to_string(std::max<long>(left_ms, 1)));
  if (!dialect.expected_upstream_field.empty()) {
    SetField(request.fields, dialect.expected_upstream_field,
             call.offer.upstream);
  }
  if (dialect.uses_yuccamast_fields) {
    SetField(request.fields, kCallIdField, call.offer.call_id);
    SetField(request.fields, kDepthField, std::to_string(call.offer.depth));
    if (call.offer.retry) {
      SetField(request.fields, kRetryField, "1");
    }
  }
  return request;
}

void ExitCalls::UpdateEvacuated(bool evacuated, TimePoint now) {
  if (evacuated == m_evacuated) {
    return;
  }
  m_evacuated = evacuated;
  if (!evacuated) {
    OnDataCentreReturned(now);
    return;
  }
  const auto queued = m_admission.ClearQueue();
  std::ranges::for_each(queued, [this](CallTicket ticket) {
    const CallPtr call = m_calls.at(ticket);
    RefuseCall(call, RefusalReason::kEvacuated);
  });
  Log(LogLevel::kInfo, LogEvent::kExitEvacuated,
      {{"refused", queued.size()}, {"running", m_admission.running()}});
}

void ExitCalls::OnDataCentreReturned(TimePoint now) {
  Log(LogLevel::kInfo, LogEvent::kExitReturned, {});
  m_return_ramp.Begin(now);
  ApplyStartRate("return");
}

bool ExitCalls::HasRoomForReply(const std::string& rule) const {
  const std::size_t expected = m_reply_sizes.Of(rule);
  return m_budget.HasRoom(expected, expected <= kShortReplyBytes
                                        ? MemoryUse::kReply
                                        : MemoryUse::kOffer);
}

bool ExitCalls::HasRoomForQueued() const {
  return std::ranges::any_of(m_calls, [this](const auto& item) {
    const Call& call = *item.second;
    return !call.has_slot && HasRoomForReply(call.offer.rule);
  });
}

void ExitCalls::RefreshLimits() {
  const auto view = m_view_store.Load();
  if (view == m_limits_view) {
    return;
  }
  UpdateEvacuated(view->evacuated, Clock::now());
  if (view->config == nullptr) {
    return;
  }
  m_limits_view = view;
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
  const double cold_limit =
      m_settings.cold_tolerance.LimitFor(service->second.cold_starts_per_s);
  m_admission.cold_starts().SetLimit(cold_limit, service->second.cold_start);
  m_return_ramp.SetBase(cold_limit);
  ApplyStartRate("configuration");
  if (m_health_checker != nullptr && m_settings.health_path.empty()) {
    m_health_checker->SetHealthPath(service->second.health_path);
  }
}

}  // namespace yuccamast
