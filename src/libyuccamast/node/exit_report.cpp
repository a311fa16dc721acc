#include <algorithm>

#include "node/exit_call.h"
#include "node/exit_calls.h"

/// What `ExitCalls` tells entries and operators about itself.

namespace yuccamast {

LoadReport ExitCalls::Report() const {
  LoadReport report;
  report.boot_id = m_boot_id;
  report.running = m_admission.running();
  report.queued = m_admission.queued();
  report.limit = m_admission.limits().slots;
  report.service_us =
      static_cast<std::uint32_t>(Micros(m_admission.short_service()));
  report.oldest_short_us =
      static_cast<std::uint32_t>(Micros(m_admission.OldestShort(Clock::now())));
  report.leaving = leaving();
  report.wait_us =
      static_cast<std::uint32_t>(Micros(m_admission.ExpectedWait()));
  report.slowness = m_slowness;
  return report;
}

std::vector<std::string> ExitCalls::CallIds() const {
  std::vector<std::string> ids;
  std::ranges::transform(
      m_calls, std::back_inserter(ids),
      [](const auto& item) { return item.second->offer.call_id; });
  return ids;
}

JsonValue ExitCalls::ToJson() const {
  const TimePoint now = Clock::now();
  JsonValue::Array calls;
  std::ranges::for_each(m_calls, [&](const auto& item) {
    const Call& call = *item.second;
    calls.push_back(
        JsonValue::Object{{"call", call.offer.call_id},
                          {"rule", call.offer.rule},
                          {"from", call.offer.origin.vm},
                          {"step", NameOf(call.life.step())},
                          {"reply_head", call.head_seen},
                          {"told", call.told},
                          {"age_us", Micros(now - call.received_at)}});
  });
  return JsonValue::Object{
      {"upstream", m_settings.upstream},
      {"leaving", leaving()},
      {"upstream_draining", Draining()},
      {"slots", m_admission.limits().slots},
      {"running", m_admission.running()},
      {"running_long", m_admission.running_long()},
      {"queued", m_admission.queued()},
      {"service_us", Micros(m_admission.short_service())},
      {"upstream_connections",
       std::uint64_t{m_upstream == nullptr ? 0 : m_upstream->connections()}},
      {"upstream_idle",
       std::uint64_t{m_upstream == nullptr ? 0
                                           : m_upstream->idle_connections()}},
      {"calls", std::move(calls)}};
}

}  // namespace yuccamast
