#include "node/fleet_view.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// A balance state belongs to one life of the node beside the upstream.
std::string KeyOf(const Upstream& upstream,
                  const VmRecord& vm,
                  std::uint64_t epoch) {
  return upstream.name + "@" + vm.id + "@" + vm.ip + ":" +
         std::to_string(vm.inner_port) + "@" + std::to_string(epoch);
}

const VmRecord* FindVm(const VmList& list, const std::string& id) {
  const auto found = std::ranges::lower_bound(list.vms, id, {}, &VmRecord::id);
  return found != list.vms.end() && found->id == id ? &*found : nullptr;
}

}  // namespace

FleetStore::FleetStore(const NodeSettings& settings)
    : m_settings(settings), m_view(std::make_shared<const FleetView>()) {}

void FleetStore::SetConfig(std::shared_ptr<const Configuration> config) {
  const std::lock_guard lock(m_mutex);
  m_config = std::move(config);
  Rebuild();
}

void FleetStore::SetVms(std::shared_ptr<const VmList> vms) {
  const std::lock_guard lock(m_mutex);
  m_vms = std::move(vms);
  Rebuild();
}

Duration FleetStore::DistanceTo(const VmRecord& vm) const {
  const DistanceTable& table = m_settings.distance;
  if (vm.id == m_settings.vm) {
    return Duration::zero();
  }
  if (vm.region != m_settings.region) {
    return table.other_region;
  }
  return vm.data_centre == m_settings.data_centre ? table.same_data_centre
                                                  : table.same_region;
}

void FleetStore::SetLiveness(std::shared_ptr<const LivenessMap> liveness) {
  const std::lock_guard lock(m_mutex);
  if (m_liveness != nullptr && *m_liveness == *liveness) {
    return;
  }
  m_liveness = std::move(liveness);
  Rebuild();
}

Liveness FleetStore::LivenessOf(const std::string& vm) const {
  if (m_liveness == nullptr) {
    return {};
  }
  const auto found = m_liveness->find(vm);
  return found == m_liveness->end() ? Liveness{} : found->second;
}

bool FleetStore::ListLeaving(const VmRecord& vm, std::uint64_t epoch) {
  if (!vm.leaving) {
    m_list_leaving.erase(vm.id);
    return false;
  }
  std::uint64_t& left = m_list_leaving[vm.id];
  if (left == 0) {
    left = epoch;
  }
  // The list lags: a later life of the node knows better.
  return epoch <= left;
}

Candidate FleetStore::MakeCandidate(const std::string& key,
                                    const VmRecord& vm,
                                    const Liveness& liveness) {
  const bool first_view = Load()->services.empty();
  auto& state = m_states[key];
  if (state == nullptr) {
    state = std::make_shared<UpstreamState>(Clock::now(), !first_view);
  }
  state->SetLeaving(liveness.leaving || ListLeaving(vm, liveness.epoch));
  return {state, DistanceTo(vm)};
}

void FleetStore::DropGone(ServiceView& service, const std::vector<bool>& gone) {
  if (std::ranges::find(gone, false) == gone.end()) {
    return;  // All seem gone: this node may be the one that is cut off.
  }
  ServiceView kept{service.service, {}, {}, service.retries};
  for (std::size_t i = 0; i < gone.size(); ++i) {
    if (!gone[i]) {
      kept.members.push_back(service.members[i]);
      kept.candidates.push_back(service.candidates[i]);
    }
  }
  service = std::move(kept);
}

void FleetStore::Rebuild() {
  auto view = std::make_shared<FleetView>();
  view->config = m_config;
  view->vms = m_vms;
  if (m_config == nullptr || m_vms == nullptr) {
    m_view.store(std::move(view), std::memory_order_release);
    return;
  }
  for (const auto& [name, service] : m_config->services) {
    auto& retries = m_retries[name];
    if (retries == nullptr) {
      retries = std::make_shared<RetryBudget>();
    }
    view->services[name] = {service, {}, {}, retries};
  }
  std::map<std::string, std::shared_ptr<UpstreamState>> used;
  std::map<std::string, std::vector<bool>> gone;
  for (const auto& [name, upstream] : m_config->upstreams) {
    const VmRecord* vm = FindVm(*m_vms, upstream.vm);
    if (vm == nullptr) {
      continue;
    }
    const Liveness liveness = LivenessOf(vm->id);
    const std::string key = KeyOf(upstream, *vm, liveness.epoch);
    ServiceView& service = view->services[upstream.service];
    Candidate candidate = MakeCandidate(key, *vm, liveness);
    used[key] = candidate.state;
    service.candidates.push_back(std::move(candidate));
    service.members.push_back(
        {name,
         vm->id,
         {boost::asio::ip::make_address(vm->ip), vm->inner_port}});
    gone[upstream.service].push_back(liveness.gone);
  }
  for (auto& [name, service] : view->services) {
    DropGone(service, gone[name]);
  }
  m_states = std::move(used);
  m_view.store(std::move(view), std::memory_order_release);
}

JsonValue FleetStore::BalanceToJson(TimePoint now) const {
  const auto view = Load();
  const EstimateOptions options;
  JsonValue::Array rows;
  for (const auto& [name, service] : view->services) {
    for (std::size_t i = 0; i < service.members.size(); ++i) {
      const UpstreamState& state = *service.candidates[i].state;
      const Duration age = state.ReportAge(now);
      const std::int64_t age_us =
          age == Duration::max()
              ? -1
              : std::chrono::duration_cast<std::chrono::microseconds>(age)
                    .count();
      rows.push_back(JsonValue::Object{
          {"service", name},
          {"upstream", service.members[i].upstream},
          {"vm", service.members[i].vm},
          {"leaving", state.Leaving(now)},
          {"own_in_flight", state.own_in_flight()},
          {"reported_in_flight", state.reported_total()},
          {"report_age_us", age_us},
          {"service_us", state.service_us()},
          {"failures", state.Failures(now, options)},
          {"cost_us",
           std::int64_t{std::chrono::duration_cast<std::chrono::microseconds>(
                            state.EstimateCost(now, 0, options))
                            .count()}}});
    }
  }
  return rows;
}

}  // namespace yuccamast
