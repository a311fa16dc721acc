#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "node/document_fetcher.h"
#include "node/document_store.h"
#include "node/fleet_view.h"
#include "node/gossip_socket.h"
#include "node/reader_role.h"
#include "node/settings.h"
#include "source/departed_upstreams.h"
#include "source/platform_watcher.h"
#include "source/vm_list_retention.h"
#include "yuccamast/config/config_selector.h"
#include "yuccamast/membership/membership.h"
#include "yuccamast/membership/pause_detector.h"

/// \file control_plane.h
/// Keeps a node's view of the fleet and its configuration up to date.
///
/// Inputs are gossip datagrams (`Membership`, SWIM), the configuration and the
/// VM list that a `PlatformSource` reads, and documents fetched from peers.
/// Outputs are updates of the `FleetViewStore`, gossip, and the documents that
/// peers fetch from this node.
///
/// Dissemination: a few nodes of each data centre read the platform, and others
/// while these have no contact with it (`ReaderRole`). Every gossip datagram
/// carries the versions of the configuration and the VM list that its sender
/// holds. A node with an older version fetches the document from that sender
/// over an inner connection (pull gossip), with at most one fetch in progress
/// for each kind of document. If the sender of a newer VM list is in another
/// data centre, the node first waits for a short time for a sender in its own
/// data centre.
///
/// Protection against stale data:
/// - A node that has just started applies a configuration from the platform
///   only after it has heard from a few peers, or after a time limit. So a
///   platform service that lags behind the fleet cannot set the node back. A
///   strongly consistent source is trusted at once.
/// - `ConfigSelector` never replaces a configuration by an older one.
/// - A VM list with less than half as many VMs as the list in use is accepted
///   from the source only when several consecutive reads have returned such a
///   list, unless the source is strongly consistent.
/// - `VmListRetention` keeps VMs and upstreams that vanish from the list in an
///   outage of the platform, until a grace period after the outage is over.
/// - A VM list of a later era replaces one of an earlier era whatever their
///   revisions: the service was restored from a copy. What the copy does not
///   know yet is retained as after an outage, and upstreams that had left
///   before stay out of use (`DepartedUpstreams`).
/// - After a pause of the process the view is marked stale until the node has
///   heard from peers and its fetches are over, or until a time limit.
///
/// The number of datagrams that a node sends does not depend on the size of the
/// fleet; see membership.h.

namespace yuccamast {

/// See the file comment. Use from the thread of its io_context, except for
/// `HandleFetch`. `Start` and the constructor may run before that thread does.
class ControlPlane {
 public:
  /// The references must outlive the object. `make_source` is called by
  /// `Start`.
  ControlPlane(boost::asio::io_context& io,
               const NodeSettings& settings,
               FleetViewStore& view_store,
               Metrics& metrics,
               SourceFactory make_source);
  ~ControlPlane();

  /// Opens the gossip socket and the platform source. Call once. Throws
  /// boost::system::system_error if the inner port (UDP) is not free.
  void Start();

  /// Tells peers whether this node is leaving, that is, admits no new calls.
  void SetLeaving(bool leaving);

  /// Closes the source, the socket and the connections for fetches, and stops
  /// the tick. Cannot be undone.
  void Close();

  /// Handles a peer's request for a document. `bytes` is a packed request with
  /// its MAC. Returns the document with a MAC, or nothing if the request is
  /// malformed or not authentic, or while the node does not hold the document.
  /// Thread-safe.
  std::optional<std::string> HandleFetch(std::string bytes) const;

  /// Whether a configuration is in force.
  bool ready() const { return m_config_selector.in_force() != nullptr; }

  /// Versions in force, the last refusal and the state of the source, for the
  /// dump.
  JsonValue ConfigToJson() const;

  /// All members, this node first, for the dump and the status page.
  JsonValue MembersToJson() const;

 private:
  MembershipHooks MakeMembershipHooks();
  SourceHooks MakeSourceHooks();
  /// Starts to retain entries of the VM list when an outage begins, and starts
  /// the grace period when it ends. No effect if the platform does not list
  /// upstreams.
  void OnSourceReachable(bool reachable);
  /// Passes the VM list in use on to the membership and the view store.
  void ApplyVmList(TimePoint now);
  /// Sets the version of the list in use, before that list is applied. A later
  /// era means that the service was restored from a copy.
  void SetVmListVersion(const HeldVersion& version);
  /// Whether gossip from this address is accepted.
  bool IsAllowedSender(const std::string& ip) const;
  /// Fetches from `holder` each document of which it holds a newer version
  /// than this node.
  void OnPeerVersions(const MemberRecord& holder,
                      const HeldVersion& config,
                      const HeldVersion& vm_list);
  /// Fetches the VM list from `holder`: now or, if it is in another data
  /// centre, after a wait.
  void FetchVmList(const DocumentHolder& holder);
  void OnFetched(DocumentKind kind, const Document& document);
  void OnSourceConfig(const PublishedConfig& config);
  /// Applies the configuration if it is newer and valid.
  void SubmitConfig(const PublishedConfig& config);
  /// `check_time`: how long the check of the configuration took.
  void OnConfigAccepted(Duration check_time);
  void OnSourceVmList(VmList list);
  /// Submits the last list of the source, with the entries that
  /// `VmListRetention` keeps; does nothing before the first list.
  void SubmitSourceVmList();
  /// Applies the list if it is newer; if its VMs are the same, only the version
  /// changes.
  void SubmitVmList(VmList list);
  /// Logs and counts the data centres that are emptied by the list in use and
  /// not by `before` (null: none), and those taken back.
  void ReportEvacuations(const VmList* before) const;
  /// Whether a node without a configuration may apply one from the source: it
  /// is strongly consistent, or peers had time to tell of a newer one.
  bool MayApplySourceConfig() const;
  void ArmTick();
  void OnTick();
  /// Decides whether to read the platform. A node that begins to read for the
  /// others treats the platform as lost until its first read.
  void UpdateReaderRole(TimePoint now);
  /// Marks the view stale if this thread did not run for a while.
  void CheckPause(TimePoint now);
  /// Ends the stale mark once the node has heard from peers and its fetches are
  /// over, or after a time limit.
  void UpdateStaleness(TimePoint now);
  /// Passes the members' states on to the view.
  void PublishLiveness();

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  FleetViewStore& m_view_store;
  Metrics& m_metrics;
  GossipSocket m_socket;
  std::mt19937_64 m_random;
  Membership m_membership;
  ConfigSelector m_config_selector;
  HeldVersion m_vm_list_version;
  /// The list in use, from the source or a peer; null before the first list.
  std::shared_ptr<const VmList> m_vm_list;
  std::shared_ptr<const VmList> m_source_list;  ///< Last one of the source.
  /// From the source; waits for `MayApplySourceConfig`.
  std::optional<PublishedConfig> m_pending_config;
  const SourceFactory m_make_source;
  PlatformSource m_source;
  VmListRetention m_vm_list_retention;
  DepartedUpstreams m_departed_upstreams;
  DocumentStore m_documents;
  DocumentFetcher m_fetcher;
  /// Peer in another data centre with a newer VM list, and since when.
  std::optional<DocumentHolder> m_remote_holder;
  TimePoint m_remote_holder_since{};
  ReaderRole m_reader_role;
  /// Newest revision in force or refused; the source waits for a newer one.
  /// Read by a hook of the source, on any thread.
  std::atomic<std::uint64_t> m_newest_known_revision{0};
  /// Consecutive reads of the source that returned a list with less than half
  /// as many VMs as the list in use.
  std::size_t m_shrunken_list_reads = 0;
  bool m_members_changed = false;
  bool m_config_stale_logged = false;
  TimePoint m_started_at;
  TimePoint m_first_vm_list_at{};
  TimePoint m_config_accepted_at{};
  TimePoint m_stale_since{};  ///< Epoch of the clock: not stale.
  std::size_t m_messages_since_pause = 0;
  PauseDetector m_pause_detector;
  boost::asio::steady_timer m_tick_timer;
  bool m_closed = false;
};

}  // namespace yuccamast
