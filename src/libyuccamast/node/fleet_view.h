#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "node/settings.h"
#include "source/published.h"
#include "yuccamast/balance/policy.h"
#include "yuccamast/balance/retry_budget.h"
#include "yuccamast/config/configuration.h"

/// \file fleet_view.h
/// Immutable snapshot of the data that calls are routed by.
///
/// `FleetViewStore` combines the configuration, the VM list and the liveness of
/// nodes (from membership) into a `FleetView`: the services, the upstreams of
/// each with the address of the node beside it, and the balance state of each
/// upstream. It builds a new view whenever an input changes and publishes it by
/// read-copy-update. A call loads the view once and keeps it until it ends, so
/// one configuration governs the whole call. A rebuild costs O(n log n) in the
/// number of upstreams and VMs.
///
/// Balance states and retry budgets are mutable and shared between successive
/// views. A balance state belongs to one incarnation of an upstream's node: it
/// is kept while upstream, VM, address and epoch stay the same.

namespace yuccamast {

/// One upstream of a service with the address of the node beside it.
struct ServiceMember {
  std::string upstream;
  std::string vm;
  boost::asio::ip::tcp::endpoint node;  ///< Inner port of the node.
};

/// A service with its upstreams. `members[i]` belongs to `candidates[i]`.
struct ServiceView {
  Service service;
  std::vector<ServiceMember> members;
  std::vector<Candidate> candidates;
  std::shared_ptr<RetryBudget> retry_budget;
  /// The operator has emptied the data centres of all upstreams; false if there
  /// are none.
  bool evacuated = false;
};

/// The upstream beside this node, as the platform lists it.
struct LocalUpstream {
  std::string name;
  std::string service;
  std::uint32_t slots = 0;
  bool leaving = false;  ///< Listed as leaving, or no longer listed.
};

/// One published snapshot. Immutable, except for the balance states and retry
/// budgets that it points to.
struct FleetView {
  std::shared_ptr<const Configuration> config;  ///< Null until one is accepted.
  std::shared_ptr<const VmList> vms;            ///< Null until one is received.
  std::map<std::string, ServiceView, std::less<>> services;
  /// Set once the platform has listed the upstream beside this node.
  std::optional<LocalUpstream> local;
  /// The operator has emptied the data centre of this node. Also known while
  /// the upstream beside it is not listed.
  bool evacuated = false;
};

/// State of a VM's node according to membership.
struct Liveness {
  bool gone = false;
  bool leaving = false;
  std::uint64_t epoch = 0;  ///< Incarnation of the node.

  bool operator==(const Liveness&) const = default;
};

using LivenessMap = std::map<std::string, Liveness>;  ///< By id of the VM.

/// Builds and publishes views. All methods are thread-safe. `Load` does not
/// wait for a rebuild; the setters of inputs take a lock.
class FleetViewStore {
 public:
  /// `settings` must outlive the store.
  explicit FleetViewStore(const NodeSettings& settings);

  /// The current view; never null.
  std::shared_ptr<const FleetView> Load() const {
    return m_view.load(std::memory_order_acquire);
  }

  /// Each of these replaces one input and publishes a new view; the last two
  /// do so only if the input has changed. The VM list must be sorted by id, as
  /// `ParseVmList` returns it, with valid IP addresses.
  void SetConfig(std::shared_ptr<const Configuration> config);
  void SetVms(std::shared_ptr<const VmList> vms);
  void SetRetryLimit(const SharedRetryLimit& limit);
  void SetLiveness(std::shared_ptr<const LivenessMap> liveness);

  /// Marks the view as too old to route by (after a pause of the process) until
  /// `ClearStale`. Entries refuse calls meanwhile. Takes no lock.
  void MarkStale() { m_stale.store(true, std::memory_order_relaxed); }
  void ClearStale() { m_stale.store(false, std::memory_order_relaxed); }
  bool IsStale() const { return m_stale.load(std::memory_order_relaxed); }

  /// The balance state of each upstream of each service, for the dump.
  JsonValue BalanceToJson(TimePoint now) const;

 private:
  /// Builds a view from the inputs and publishes it. Needs `m_mutex`.
  void Rebuild();
  struct RebuildState;
  void AddMember(RebuildState& rebuild,
                 const std::string& service,
                 const std::string& upstream,
                 const VmRecord& vm,
                 const ListedUpstream* listed);
  /// The upstream that is listed at this node's VM and upstream port; if it is
  /// no longer listed, the last one, as leaving.
  std::optional<LocalUpstream> FindLocalUpstream() const;
  /// Applies this node's part of the shared retry limit to the service.
  void ApplyRetryLimit(ServiceView& service) const;
  /// The candidate for one upstream. A new balance state starts cold if the
  /// platform lists the upstream as cold or, for an upstream that the
  /// configuration names, if it appears after the first view.
  Candidate MakeCandidate(const std::string& key,
                          const VmRecord& vm,
                          const Liveness& liveness,
                          const ListedUpstream* listed);
  Liveness LivenessOf(const std::string& vm) const;
  /// Whether the VM is leaving according to the list. `epoch` is the current
  /// incarnation of its node; a restart after the list said so overrides it.
  bool UpdateListLeaving(const VmRecord& vm, std::uint64_t epoch);
  /// Removes the members whose node is gone, unless all of them are.
  static void RemoveGoneMembers(ServiceView& service,
                                const std::vector<bool>& gone);
  /// Assumed round trip to a VM.
  Duration DistanceTo(const VmRecord& vm) const;

  const NodeSettings& m_settings;
  std::atomic<std::shared_ptr<const FleetView>> m_view;
  std::mutex m_mutex;  ///< Guards the members below and rebuilding.
  std::shared_ptr<const Configuration> m_config;
  std::shared_ptr<const VmList> m_vms;
  std::shared_ptr<const LivenessMap> m_liveness;
  SharedRetryLimit m_retry_limit;
  std::atomic<bool> m_stale{false};  ///< Not guarded.
  std::map<std::string, std::shared_ptr<UpstreamState>> m_states;
  std::map<std::string, std::shared_ptr<RetryBudget>> m_retry_budgets;
  /// By id of the VM: epoch of its node when the list first said that the VM
  /// is leaving.
  std::map<std::string, std::uint64_t> m_list_leaving_epoch;
};

}  // namespace yuccamast
