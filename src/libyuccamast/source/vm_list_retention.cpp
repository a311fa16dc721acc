#include "source/vm_list_retention.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// Adds the upstreams of `retained` whose name and port are both unused on
/// `vm`.
void AddRetainedUpstreams(VmRecord& vm, const VmRecord& retained) {
  std::ranges::for_each(retained.upstreams,
                        [&](const ListedUpstream& upstream) {
                          const bool taken = std::ranges::any_of(
                              vm.upstreams, [&](const ListedUpstream& present) {
                                return present.port == upstream.port ||
                                       present.name == upstream.name;
                              });
                          if (!taken) {
                            vm.upstreams.push_back(upstream);
                          }
                        });
}

}  // namespace

void VmListRetention::OnSourceLost(std::shared_ptr<const VmList> in_use) {
  if (m_retained == nullptr) {
    m_retained = std::move(in_use);
  }
  m_regained_at.reset();
}

void VmListRetention::OnSourceRegained(TimePoint now) {
  if (!m_regained_at) {
    m_regained_at = now;
  }
}

void VmListRetention::OnSourceRestored(std::shared_ptr<const VmList> in_use,
                                       TimePoint now) {
  OnSourceLost(std::move(in_use));
  m_regained_at = now;
  m_restored = true;
}

void VmListRetention::Clear() {
  m_retained.reset();
  m_regained_at.reset();
  m_restored = false;
}

bool VmListRetention::EndIfExpired(TimePoint now) {
  if (m_retained == nullptr || !m_regained_at ||
      now - *m_regained_at < m_grace_period) {
    return false;
  }
  Clear();
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
  if (m_retained == nullptr) {
    return fresh;
  }
  auto list = std::make_shared<VmList>(*fresh);
  std::ranges::for_each(m_retained->vms, [&](const VmRecord& retained) {
    const auto found =
        std::ranges::lower_bound(list->vms, retained.id, {}, &VmRecord::id);
    if (found == list->vms.end() || found->id != retained.id) {
      list->vms.insert(found, retained);
    } else {
      AddRetainedUpstreams(*found, retained);
    }
  });
  if (m_restored) {
    std::vector<std::string> evacuated;
    std::ranges::set_union(list->evacuated, m_retained->evacuated,
                           std::back_inserter(evacuated));
    list->evacuated = std::move(evacuated);
  }
  return list;
}

}  // namespace yuccamast
