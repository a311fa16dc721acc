#include "source/departed_upstreams.h"

#include <algorithm>
#include <set>

namespace yuccamast {

namespace {

/// How long an upstream that has left is remembered.
constexpr Duration kMemory = std::chrono::minutes(1);

/// Time after a restore within which an entry that nobody renews expires.
constexpr Duration kExpiryTime = std::chrono::seconds(5);

/// Calls `visit` for each upstream of the list.
template <typename Visit>
void ForEachUpstream(const VmList& list, Visit visit) {
  std::ranges::for_each(list.vms, [&](const VmRecord& vm) {
    std::ranges::for_each(vm.upstreams, visit);
  });
}

}  // namespace

void DepartedUpstreams::OnList(const VmList* before,
                               const VmList& list,
                               TimePoint now) {
  std::set<std::string_view> listed;
  ForEachUpstream(list, [&](const ListedUpstream& upstream) {
    listed.insert(upstream.name);
    if (upstream.leaving) {
      m_left_at[upstream.name] = now;
    } else if (!m_restored_at) {
      m_left_at.erase(upstream.name);
    }
  });
  // After a restore, what is missing may only be waiting to register again.
  if (m_restored_at) {
    return;
  }
  if (before != nullptr) {
    ForEachUpstream(*before, [&](const ListedUpstream& upstream) {
      if (!listed.contains(upstream.name)) {
        m_left_at[upstream.name] = now;
      }
    });
  }
  std::erase_if(m_left_at,
                [&](const auto& item) { return now - item.second > kMemory; });
}

std::shared_ptr<const VmList> DepartedUpstreams::Apply(
    std::shared_ptr<const VmList> list) const {
  if (!m_restored_at || m_left_at.empty()) {
    return list;
  }
  auto marked = std::make_shared<VmList>(*list);
  std::ranges::for_each(marked->vms, [&](VmRecord& vm) {
    std::ranges::for_each(vm.upstreams, [&](ListedUpstream& upstream) {
      upstream.leaving = upstream.leaving || m_left_at.contains(upstream.name);
    });
  });
  return marked;
}

bool DepartedUpstreams::EndIfExpired(TimePoint now) {
  if (!m_restored_at || now - *m_restored_at < kExpiryTime) {
    return false;
  }
  m_restored_at.reset();
  return true;
}

}  // namespace yuccamast
