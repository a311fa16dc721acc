#include <algorithm>

#include "log/log.h"
#include "node/control_plane.h"

/// \file control_vm_list.cpp
/// What `ControlPlane` does with the lists of its source, and how the VM list
/// in use reaches the membership and the view.

namespace yuccamast {

namespace {

/// A list that lost more than half of the VMs is accepted when this many
/// consecutive reads returned such a list.
constexpr std::size_t kShrunkenListReads = 5;

}  // namespace

void ControlPlane::OnSourceReachable(bool reachable) {
  const TimePoint now = Clock::now();
  if (!m_settings.upstreams_listed || m_vm_list == nullptr) {
    return;
  }
  if (!reachable) {
    m_vm_list_retention.OnSourceLost(m_vm_list);
  } else if (m_vm_list_retention.is_retaining()) {
    m_vm_list_retention.OnSourceRegained(now);
  }
}

void ControlPlane::ApplyVmList(TimePoint now) {
  std::vector<ListedMember> listed;
  std::ranges::transform(m_vm_list->vms, std::back_inserter(listed),
                         [](const VmRecord& vm) {
                           return ListedMember{vm.id, vm.ip, vm.inner_port,
                                               vm.data_centre, vm.region};
                         });
  m_membership.SetListed(listed, now);
  m_view_store.SetVms(m_departed_upstreams.Apply(m_vm_list));
}

void ControlPlane::SetVmListVersion(const HeldVersion& version) {
  if (m_vm_list_version.era > 0 && version.era > m_vm_list_version.era) {
    m_metrics.Add(Counter::kSourceRestores);
    Log(LogLevel::kWarning, LogEvent::kSourceRestored,
        {{"era", version.era},
         {"era_before", m_vm_list_version.era},
         {"revision", version.revision},
         {"revision_before", m_vm_list_version.revision}});
    m_departed_upstreams.OnRestored(Clock::now());
  }
  m_vm_list_version = version;
  m_membership.SetVmListVersion(version);
}

void ControlPlane::OnSourceVmList(VmList list) {
  const std::size_t before = m_vm_list == nullptr ? 0 : m_vm_list->vms.size();
  if (!m_source.is_strongly_consistent && list.vms.size() * 2 < before &&
      ++m_shrunken_list_reads < kShrunkenListReads) {
    Log(LogLevel::kWarning, LogEvent::kVmListRefused,
        {{"vms", list.vms.size()}, {"before", before}});
    return;
  }
  m_shrunken_list_reads = 0;
  const std::uint64_t era_before =
      m_source_list == nullptr ? m_vm_list_version.era : m_source_list->era;
  if (m_settings.upstreams_listed && m_vm_list != nullptr && era_before > 0 &&
      list.era > era_before) {
    m_vm_list_retention.OnSourceRestored(m_vm_list, Clock::now());
  }
  m_source_list = std::make_shared<const VmList>(std::move(list));
  SubmitSourceVmList();
}

void ControlPlane::SubmitSourceVmList() {
  if (m_source_list == nullptr) {
    return;
  }
  SubmitVmList(m_vm_list_retention.ApplyVersioned(m_source_list));
}

}  // namespace yuccamast
