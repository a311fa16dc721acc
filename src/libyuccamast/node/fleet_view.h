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
/// What a call needs to know of the world, as one immutable snapshot.
///
/// The control thread builds a new `FleetView` when the configuration or the
/// set of VMs changes and publishes it by read-copy-update. A call loads the
/// snapshot once and keeps it to its end, so the rule that matched it governs
/// it throughout. Balance states are shared between snapshots.

namespace yuccamast {

/// One upstream of a service with the address of the node beside it.
struct ServiceMember {
  std::string upstream;
  std::string vm;
  boost::asio::ip::tcp::endpoint node;
};

/// A service with its upstreams. `members[i]` belongs to `candidates[i]`.
struct ServiceView {
  Service service;
  std::vector<ServiceMember> members;
  std::vector<Candidate> candidates;
  std::shared_ptr<RetryBudget> retries;
};

/// The upstream beside this node, as the platform lists it.
struct LocalUpstream {
  std::string name;
  std::string service;
  std::uint32_t slots = 0;
  bool leaving = false;  ///< By its own word, or since it left the list.
};

struct FleetView {
  std::shared_ptr<const Configuration> config;
  std::shared_ptr<const VmList> vms;
  std::map<std::string, ServiceView, std::less<>> services;
  std::optional<LocalUpstream> local;  ///< Set where upstreams are listed.
};

/// What membership says about the node of a VM.
struct Liveness {
  bool gone = false;
  bool leaving = false;
  std::uint64_t epoch = 0;

  bool operator==(const Liveness&) const = default;
};

using LivenessMap = std::map<std::string, Liveness>;

/// Publishes snapshots. `Load` is thread-safe and wait-free for practical
/// purposes; the other methods may be called from any thread and take a lock.
class FleetViewStore {
 public:
  explicit FleetViewStore(const NodeSettings& settings);

  std::shared_ptr<const FleetView> Load() const {
    return m_view.load(std::memory_order_acquire);
  }

  void SetConfig(std::shared_ptr<const Configuration> config);
  void SetVms(std::shared_ptr<const VmList> vms);
  void SetRetryLimit(const SharedRetryLimit& limit);
  void SetLiveness(std::shared_ptr<const LivenessMap> liveness);

  /// Marks the view as too old to route by, as after a pause, until cleared.
  void MarkStale() { m_old.store(true, std::memory_order_relaxed); }
  void ClearStale() { m_old.store(false, std::memory_order_relaxed); }
  bool IsStale() const { return m_old.load(std::memory_order_relaxed); }

  /// All balance states by name of the upstream, for the dump.
  JsonValue BalanceToJson(TimePoint now) const;

 private:
  void Rebuild();
  struct Building;
  void AddMember(Building& building,
                 const std::string& service,
                 const std::string& upstream,
                 const VmRecord& vm,
                 const ListedUpstream* listed);
  std::optional<LocalUpstream> FindLocal() const;
  void LimitRetries(ServiceView& service) const;
  Candidate MakeCandidate(const std::string& key,
                          const VmRecord& vm,
                          const Liveness& liveness,
                          const ListedUpstream* listed);
  Liveness LivenessOf(const std::string& vm) const;
  bool ListLeaving(const VmRecord& vm, std::uint64_t epoch);
  static void DropGone(ServiceView& service, const std::vector<bool>& gone);
  Duration DistanceTo(const VmRecord& vm) const;

  const NodeSettings& m_settings;
  std::atomic<std::shared_ptr<const FleetView>> m_view;
  std::mutex m_mutex;  ///< Guards the members below and rebuilding.
  std::shared_ptr<const Configuration> m_config;
  std::shared_ptr<const VmList> m_vms;
  std::shared_ptr<const LivenessMap> m_liveness;
  SharedRetryLimit m_retry_limit;
  std::atomic<bool> m_old{false};
  std::map<std::string, std::shared_ptr<UpstreamState>> m_states;
  std::map<std::string, std::shared_ptr<RetryBudget>> m_retries;
  /// Life of a node when the list first said that its VM is leaving.
  std::map<std::string, std::uint64_t> m_list_leaving;
};

}  // namespace yuccamast
