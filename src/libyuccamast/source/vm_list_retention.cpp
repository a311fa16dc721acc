#include "source/vm_list_retention.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// Adds the upstreams of `held` that `vm` lacks and whose place is free.
void KeepUpstreams(VmRecord& vm, const VmRecord& held) {
  std::ranges::for_each(held.upstreams, [&](const ListedUpstream& upstream) {
    const bool taken =
        std::ranges::any_of(vm.upstreams, [&](const ListedUpstream& present) {
          return present.port == upstream.port || present.name == upstream.name;
        });
    if (!taken) {
      vm.upstreams.push_back(upstream);
    }
  });
}

}  // namespace

void VmListRetention::OnSourceLost(std::shared_ptr<const VmList> held) {
  if (m_held == nullptr) {
    m_held = std::move(held);
  }
  m_regained_at.reset();
}

void VmListRetention::OnSourceRegained(TimePoint now) {
  m_regained_at = now;
}

bool VmListRetention::EndIfExpired(TimePoint now) {
  if (m_held == nullptr || !m_regained_at || now - *m_regained_at < m_settle) {
    return false;
  }
  m_held.reset();
  m_regained_at.reset();
  return true;
}

VmList VmListRetention::ApplyVersioned(
    const std::shared_ptr<const VmList>& fresh) const {
  VmList list = *Apply(fresh);
  list.revision = 2 * list.revision + (is_retaining() ? 0 : 1);
  return list;
}

std::shared_ptr<const VmList> VmListRetention::Apply(
    std::shared_ptr<const VmList> fresh) const {
  if (m_held == nullptr) {
    return fresh;
  }
  auto list = std::make_shared<VmList>(*fresh);
  std::ranges::for_each(m_held->vms, [&](const VmRecord& held) {
    const auto found =
        std::ranges::lower_bound(list->vms, held.id, {}, &VmRecord::id);
    if (found == list->vms.end() || found->id != held.id) {
      list->vms.insert(found, held);
    } else {
      KeepUpstreams(*found, held);
    }
  });
  return list;
}

}  // namespace yuccamast
