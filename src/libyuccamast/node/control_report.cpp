#include <algorithm>

#include "node/control_plane.h"

/// \file control_report.cpp
/// What `ControlPlane` publishes: the members' liveness for the view, and JSON
/// for the control dump and the status page.

namespace yuccamast {

namespace {

/// Milliseconds since `then`, or -1 if it is unset (the epoch of the clock).
std::int64_t AgeMs(TimePoint then, TimePoint now) {
  return then == TimePoint{}
             ? -1
             : std::chrono::duration_cast<std::chrono::milliseconds>(now - then)
                   .count();
}

}  // namespace

void ControlPlane::PublishLiveness() {
  auto liveness = std::make_shared<LivenessMap>();
  for (const auto& [vm, member] : m_membership.members()) {
    (*liveness)[vm] = {member.state() == MemberState::kGone,
                       member.record.leaving, member.record.epoch};
  }
  m_view_store.SetLiveness(std::move(liveness));
}

void ControlPlane::ReportEvacuations(const VmList* before) const {
  const VmList& list = *m_vm_list;
  const auto report = [&](const std::string& name, Counter counter,
                          LogEvent event) {
    m_metrics.Add(counter);
    const auto vms = std::ranges::count(list.vms, name, &VmRecord::data_centre);
    Log(LogLevel::kInfo, event,
        {{"data_centre", name}, {"revision", list.revision}, {"vms", vms}});
  };
  std::ranges::for_each(list.evacuated, [&](const std::string& name) {
    if (before == nullptr || !IsEvacuated(*before, name)) {
      report(name, Counter::kDataCentresEvacuated,
             LogEvent::kDataCentreEvacuated);
    }
  });
  if (before == nullptr) {
    return;
  }
  std::ranges::for_each(before->evacuated, [&](const std::string& name) {
    if (!IsEvacuated(list, name)) {
      report(name, Counter::kDataCentresReturned,
             LogEvent::kDataCentreReturned);
    }
  });
}

JsonValue ControlPlane::ConfigToJson() const {
  const ConfigVersion version = m_config_selector.version();
  const TimePoint now = Clock::now();
  JsonValue::Array errors;
  std::ranges::transform(
      m_config_selector.refused_errors(), std::back_inserter(errors),
      [](const ConfigError& error) {
        return JsonValue::Object{{"file", error.file},
                                 {"key", error.key},
                                 {"fault", NameOf(error.fault)},
                                 {"detail", error.detail}};
      });
  JsonValue::Array evacuated;
  if (m_vm_list != nullptr) {
    evacuated.assign(m_vm_list->evacuated.begin(), m_vm_list->evacuated.end());
  }
  return JsonValue::Object{
      {"revision", version.revision},
      {"digest", version.digest},
      {"in_force_ms", AgeMs(m_config_accepted_at, now)},
      {"refused_revision", m_config_selector.refused_version().revision},
      {"refused_errors", std::move(errors)},
      {"conflict_seen", m_config_selector.conflict_seen()},
      {"reads_service", m_reader_role.reads_config()},
      {"reader_state", NameOf(m_reader_role.state())},
      {"peer_contact_ms", AgeMs(now - m_reader_role.PeerContactAge(now), now)},
      {"service_reachable",
       m_source.config_reachable && m_source.config_reachable()},
      {"vm_list_reachable",
       m_source.vm_list_reachable && m_source.vm_list_reachable()},
      {"vm_list_revision", m_vm_list_version.revision},
      {"vm_list_era", m_vm_list_version.era},
      {"evacuated", std::move(evacuated)}};
}

JsonValue ControlPlane::MembersToJson() const {
  const TimePoint now = Clock::now();
  JsonValue::Array members;
  const auto add = [&](const MemberRecord& record, std::string_view state,
                       bool listed, std::int64_t heard_ms) {
    members.push_back(JsonValue::Object{
        {"vm", record.vm},
        {"ip", record.ip},
        {"inner_port", int{record.port}},
        {"data_centre", record.data_centre},
        {"region", record.region},
        {"state", state},
        {"leaving", record.leaving},
        {"evacuated",
         m_vm_list != nullptr && IsEvacuated(*m_vm_list, record.data_centre)},
        {"listed", listed},
        {"epoch", record.epoch},
        {"config_revision", record.config_revision},
        {"heard_ms", heard_ms}});
  };
  add(m_membership.self(), "self", true, 0);
  for (const auto& [vm, member] : m_membership.members()) {
    add(member.record, NameOf(member.state()), member.listed,
        AgeMs(member.heard_at, now));
  }
  return members;
}

}  // namespace yuccamast
