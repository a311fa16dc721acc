#include "node/fleet_view.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// Key of a balance state: one incarnation of the node beside the upstream.
std::string StateKey(const std::string& upstream,
                     const VmRecord& vm,
                     std::uint64_t epoch) {
  return upstream + "@" + vm.id + "@" + vm.ip + ":" +
         std::to_string(vm.inner_port) + "@" + std::to_string(epoch);
}

const VmRecord* FindVm(const VmList& list, const std::string& id) {
  const auto found = std::ranges::lower_bound(list.vms, id, {}, &VmRecord::id);
  return found != list.vms.end() && found->id == id ? &*found : nullptr;
}

}  // namespace

FleetViewStore::FleetViewStore(const NodeSettings& settings)
    : m_settings(settings),
      m_view(std::make_shared<const FleetView>()),
      m_retry_limit(settings.retry_limit) {}

void FleetViewStore::SetRetryLimit(const SharedRetryLimit& limit) {
  const std::lock_guard lock(m_mutex);
  if (limit == m_retry_limit) {
    return;
  }
  m_retry_limit = limit;
  Rebuild();
}

void FleetViewStore::SetConfig(std::shared_ptr<const Configuration> config) {
  const std::lock_guard lock(m_mutex);
  m_config = std::move(config);
  Rebuild();
}

void FleetViewStore::SetVms(std::shared_ptr<const VmList> vms) {
  const std::lock_guard lock(m_mutex);
  m_vms = std::move(vms);
  Rebuild();
}

Duration FleetViewStore::DistanceTo(const VmRecord& vm) const {
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

void FleetViewStore::SetLiveness(std::shared_ptr<const LivenessMap> liveness) {
  const std::lock_guard lock(m_mutex);
  if (m_liveness != nullptr && *m_liveness == *liveness) {
    return;
  }
  m_liveness = std::move(liveness);
  Rebuild();
}

Liveness FleetViewStore::LivenessOf(const std::string& vm) const {
  if (m_liveness == nullptr) {
    return {};
  }
  const auto found = m_liveness->find(vm);
  return found == m_liveness->end() ? Liveness{} : found->second;
}

bool FleetViewStore::UpdateListLeaving(const VmRecord& vm,
                                       std::uint64_t epoch) {
  if (!vm.leaving) {
    m_list_leaving_epoch.erase(vm.id);
    return false;
  }
  std::uint64_t& leaving_epoch = m_list_leaving_epoch[vm.id];
  if (leaving_epoch == 0) {
    leaving_epoch = epoch;
  }
  // The list lags behind membership: if the node has restarted since, the list
  // describes its previous incarnation.
  return epoch <= leaving_epoch;
}

Candidate FleetViewStore::MakeCandidate(const std::string& key,
                                        const VmRecord& vm,
                                        const Liveness& liveness,
                                        const ListedUpstream* listed) {
  const bool first_view = Load()->services.empty();
  auto& state = m_states[key];
  if (state == nullptr) {
    const bool cold = listed == nullptr
                          ? !first_view
                          : listed->cold > std::chrono::milliseconds::zero();
    state = std::make_shared<UpstreamState>(Clock::now(), cold);
  }
  state->SetLeaving(liveness.leaving || UpdateListLeaving(vm, liveness.epoch) ||
                    (listed != nullptr && listed->leaving));
  state->SetEvacuated(IsEvacuated(*m_vms, vm.data_centre));
  return {state, DistanceTo(vm)};
}

void FleetViewStore::RemoveGoneMembers(ServiceView& service,
                                       const std::vector<bool>& gone) {
  bool any_left = false;
  for (std::size_t i = 0; i < gone.size(); ++i) {
    any_left |= !gone[i] && !service.candidates[i].state->IsEvacuated();
  }
  if (!any_left) {
    return;  // All seem gone: more likely this node itself is partitioned.
  }
  ServiceView kept{service.service, {}, {}, service.retry_budget};
  for (std::size_t i = 0; i < gone.size(); ++i) {
    if (!gone[i]) {
      kept.members.push_back(service.members[i]);
      kept.candidates.push_back(service.candidates[i]);
    }
  }
  service = std::move(kept);
}

/// Intermediate results of `Rebuild`.
struct FleetViewStore::RebuildState {
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  std::map<std::string, std::shared_ptr<UpstreamState>> states;
  std::map<std::string, std::vector<bool>> gone;
};

void FleetViewStore::AddMember(RebuildState& rebuild,
                               const std::string& service_name,
                               const std::string& upstream,
                               const VmRecord& vm,
                               const ListedUpstream* listed) {
  const auto service = rebuild.view->services.find(service_name);
  if (service == rebuild.view->services.end()) {
    return;  // Listed before the configuration in force has the service.
  }
  const Liveness liveness = LivenessOf(vm.id);
  const std::string key = StateKey(upstream, vm, liveness.epoch);
  Candidate candidate = MakeCandidate(key, vm, liveness, listed);
  rebuild.states[key] = candidate.state;
  service->second.candidates.push_back(std::move(candidate));
  service->second.members.push_back(
      {upstream, vm.id, {boost::asio::ip::make_address(vm.ip), vm.inner_port}});
  rebuild.gone[service_name].push_back(liveness.gone);
}

std::optional<LocalUpstream> FleetViewStore::FindLocalUpstream() const {
  const auto previous = Load()->local;
  const VmRecord* vm = FindVm(*m_vms, m_settings.vm);
  if (vm != nullptr) {
    const auto found = std::ranges::find(
        vm->upstreams, m_settings.upstream_port, &ListedUpstream::port);
    if (found != vm->upstreams.end()) {
      return LocalUpstream{found->name, found->service, found->slots,
                           found->leaving};
    }
  }
  if (!previous) {
    return std::nullopt;
  }
  LocalUpstream unlisted = *previous;
  unlisted.leaving = true;
  return unlisted;
}

void FleetViewStore::ApplyRetryLimit(ServiceView& service) const {
  const SharedRetryLimit& limit = m_retry_limit;
  if (limit.slack <= 0) {
    return;
  }
  const auto nodes =
      static_cast<double>(std::max<std::size_t>(m_vms->vms.size(), 1));
  service.retry_budget->SetCap(std::max(1.0, limit.slack / nodes));
  service.service.retry_share =
      std::min(service.service.retry_share, limit.share);
}

void FleetViewStore::Rebuild() {
  RebuildState rebuild;
  FleetView& view = *rebuild.view;
  view.config = m_config;
  view.vms = m_vms;
  if (m_vms != nullptr) {
    view.local = FindLocalUpstream();
    view.evacuated = IsEvacuated(*m_vms, m_settings.data_centre);
  }
  if (m_config == nullptr || m_vms == nullptr) {
    m_view.store(std::move(rebuild.view), std::memory_order_release);
    return;
  }
  for (const auto& [name, service] : m_config->services) {
    auto& retry_budget = m_retry_budgets[name];
    if (retry_budget == nullptr) {
      retry_budget = std::make_shared<RetryBudget>();
    }
    view.services[name] = {service, {}, {}, retry_budget};
    ApplyRetryLimit(view.services[name]);
  }
  for (const auto& [name, upstream] : m_config->upstreams) {
    if (const VmRecord* vm = FindVm(*m_vms, upstream.vm)) {
      AddMember(rebuild, upstream.service, name, *vm, nullptr);
    }
  }
  std::ranges::for_each(m_vms->vms, [&](const VmRecord& vm) {
    std::ranges::for_each(vm.upstreams, [&](const ListedUpstream& listed) {
      AddMember(rebuild, listed.service, listed.name, vm, &listed);
    });
  });
  for (auto& [name, service] : view.services) {
    RemoveGoneMembers(service, rebuild.gone[name]);
    service.evacuated =
        !service.candidates.empty() &&
        std::ranges::all_of(service.candidates, [](const Candidate& candidate) {
          return candidate.state->IsEvacuated();
        });
  }
  m_states = std::move(rebuild.states);
  m_view.store(std::move(rebuild.view), std::memory_order_release);
}

JsonValue FleetViewStore::BalanceToJson(TimePoint now) const {
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
          {"leaving", state.IsLeaving(now)},
          {"evacuated", state.IsEvacuated()},
          {"own_in_flight", state.own_in_flight()},
          {"reported_in_flight", state.reported_in_flight()},
          {"report_age_us", age_us},
          {"service_us", state.service_us()},
          {"failures", state.RecentFailures(now, options)},
          {"cost_us",
           std::int64_t{std::chrono::duration_cast<std::chrono::microseconds>(
                            state.EstimateCost(now, 0, options))
                            .count()}}});
    }
  }
  return rows;
}

}  // namespace yuccamast
