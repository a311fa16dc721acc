#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "node/fleet_view.h"
#include "node/gossip_socket.h"
#include "node/peer_link.h"
#include "node/settings.h"
#include "source/platform_watcher.h"
#include "source/vm_list_retention.h"
#include "yuccamast/config/config_selector.h"
#include "yuccamast/membership/membership.h"
#include "yuccamast/membership/pause_detector.h"

/// \file control_plane.h
/// Keeps a node's view of the fleet and its configuration up to date.
///
/// A few nodes of each data centre read the platform; every datagram between
/// nodes names the versions its sender holds, and a node that is behind
/// fetches what it lacks from that sender over an inner connection. A node
/// that has just started asks peers before it puts in force what the service
/// says, so a stale service cannot take it back. After a pause the view counts
/// as old until peers were heard again.

namespace yuccamast {

/// What is held for peers to fetch; immutable.
struct HeldState {
  HeldVersion config;
  std::string config_text;
  HeldVersion vm_list;
  std::string vm_list_text;
};

/// Use from the thread of its io_context, but for `Serve`.
class ControlPlane {
 public:
  ControlPlane(boost::asio::io_context& io,
               const NodeSettings& settings,
               FleetViewStore& store,
               Metrics& metrics,
               SourceFactory make_source);
  ~ControlPlane();

  /// Opens the socket and starts to read. Throws if the port is taken.
  void Start();

  /// Tells peers whether this node takes new calls.
  void SetLeaving(bool leaving);

  void Close();

  /// Answers a peer's request for what is held. Thread-safe.
  std::optional<std::string> Serve(std::string bytes) const;

  /// Whether a configuration is in force.
  bool ready() const { return m_keeper.in_force() != nullptr; }

  JsonValue ConfigToJson() const;
  JsonValue MembersToJson() const;

 private:
  enum class Kind : std::uint8_t { kConfig, kVmList };

  MembershipHooks MakeHooks();
  SourceHooks MakeSourceHooks();
  void OnSourceReachable(bool reachable);
  void UseList(TimePoint now);
  bool AcceptsFrom(const std::string& ip) const;
  void OnVersions(const MemberRecord& holder,
                  const HeldVersion& config,
                  const HeldVersion& vm_list);
  void FetchList(const MemberRecord& holder);
  void Fetch(Kind kind, const MemberRecord& holder);
  void OnFetched(Kind kind, const std::string& bytes);
  void OnServiceConfig(const PublishedConfig& config);
  void OfferConfig(const PublishedConfig& config);
  void OnConfigAccepted();
  void OnServiceVms(VmList list);
  void PublishServiceList();
  void OfferVms(VmList list);
  bool Joined() const;
  void ArmTick();
  void OnTick();
  void CheckPause(TimePoint now);
  void CheckOld(TimePoint now);
  void PublishHeld();
  void PublishLiveness();

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  FleetViewStore& m_store;
  Metrics& m_metrics;
  GossipSocket m_socket;
  std::mt19937_64 m_random;
  Membership m_membership;
  ConfigSelector m_keeper;
  HeldVersion m_vm_version;
  std::shared_ptr<const VmList> m_vms;           ///< In use, own or a peer's.
  std::shared_ptr<const VmList> m_service_list;  ///< As the service last said.
  std::optional<PublishedConfig> m_unjoined_config;
  const SourceFactory m_open_source;
  PlatformSource m_source;
  VmListRetention m_vm_list_retention;
  std::map<tcp::endpoint, std::shared_ptr<PeerLink>> m_links;
  bool m_fetching[2] = {false, false};
  /// Another data centre's holder of a newer list, and since when.
  std::optional<MemberRecord> m_far_holder;
  TimePoint m_far_since{};
  std::atomic<std::shared_ptr<const HeldState>> m_held;
  std::atomic<bool> m_is_reader{false};
  std::atomic<bool> m_reads_config{false};
  std::atomic<bool> m_reads_vms{true};
  std::atomic<std::uint64_t> m_wait_beyond{0};
  std::size_t m_short_lists = 0;
  bool m_members_changed = false;
  bool m_config_stale_logged = false;
  TimePoint m_started_at;
  TimePoint m_listed_at{};
  TimePoint m_accepted_at{};
  TimePoint m_old_since{};
  std::size_t m_heard_since_pause = 0;
  PauseDetector m_pause;
  boost::asio::steady_timer m_tick;
  bool m_closed = false;
};

}  // namespace yuccamast
