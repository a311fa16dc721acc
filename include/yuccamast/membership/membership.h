#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "yuccamast/clock.h"
#include "yuccamast/membership/member.h"

/// \file membership.h
/// Membership and failure detection: the members of the fleet as seen by one
/// node, each live, suspect or gone, and possibly leaving.
///
/// The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002), extended by
/// a push of new records and by anti-entropy:
/// - Failure detection: in each period a node pings one member, in random
///   round-robin order. Without an answer it asks `indirect_probes` others to
///   ping the member. Without any answer the member becomes suspect, and gone
///   if it doesn't refute that within the suspicion time by raising its
///   version.
/// - Dissemination: changed records are piggybacked on pings and answers,
///   O(log n) times each for n members, and pushed at once to a few random
///   members, limited by a token bucket. Free space in each datagram is filled
///   with other records in turn (anti-entropy), so that a record lost on the
///   way still arrives. The messages and bytes that a node sends in a second
///   don't depend on n.
/// - Most pings stay in the region; one in `cross_region_interval` goes to
///   another.
/// - Members that are gone but on the VM list are pinged, one in each
///   `gone_probe_period`, so that the parts of a network partition merge again
///   once it heals.
///
/// A member has the states
///   live -> suspect (no answer) -> gone (not refuted) -> erased (not listed)
/// and returns to live from suspect or gone by a newer record made by itself.
///
/// The class does no I/O: the owner passes in time and received messages, and
/// provides random numbers and the sending of messages by `MembershipHooks`.

namespace yuccamast {

/// Parameters of the protocol.
struct MembershipOptions {
  /// Time between two pings.
  Duration probe_period = std::chrono::milliseconds(250);
  /// Time without an answer after which others are asked to ping.
  Duration ack_timeout = std::chrono::milliseconds(250);
  /// Further time without any answer after which a member becomes suspect.
  Duration indirect_timeout = std::chrono::milliseconds(250);
  /// Time that a suspect member has to refute the suspicion.
  Duration suspicion = std::chrono::milliseconds(2500);
  /// Time between two pings of members that are gone but on the VM list.
  Duration gone_probe_period = std::chrono::seconds(1);
  /// Time after which an unlisted member that is gone, or never sent a record,
  /// is erased.
  Duration forget_after = std::chrono::seconds(60);
  std::size_t indirect_probes = 3;      ///< Members asked to ping another.
  std::size_t announce_fanout = 4;      ///< Receivers of `Announce`.
  std::size_t records_per_message = 8;  ///< Limits the size of a datagram.
  std::size_t push_fanout = 2;          ///< Receivers of a push.
  /// Token bucket of pushes: datagrams per second, and size of the bucket.
  double push_per_second = 8;
  /// One ping in this many goes to another region.
  unsigned cross_region_interval = 8;
  /// A changed record is carried by about this factor times log2(n) messages
  /// for n members.
  unsigned retransmit_factor = 3;
};

/// An entry of the VM list that is published by the platform.
struct ListedMember {
  std::string vm;
  std::string ip;
  std::uint16_t port = 0;
  std::string data_centre;
  std::string region;
};

/// Callbacks provided by the owner, called from within methods of `Membership`.
/// Only `on_versions` and `on_contact` may call methods of it.
struct MembershipHooks {
  /// Sends a datagram; may drop it.
  std::function<void(const std::string& ip,
                     std::uint16_t port,
                     const GossipMessage& message)>
      send;
  /// Returns a uniformly distributed random number.
  std::function<std::uint64_t()> random;
  /// State, epoch, address or leaving of a member changed; null: the set of
  /// members may have changed. The hook may be empty.
  std::function<void(const Member* member)> on_change;
  /// A message says that its sender `holder` holds these versions. The hook may
  /// be empty.
  std::function<void(const MemberRecord& holder,
                     const HeldVersion& config,
                     const HeldVersion& vm_list)>
      on_versions;
  /// Returns the contact with the platform to send with a message. May be
  /// empty.
  std::function<SourceContact()> contact;
  /// A message arrived and carried this contact; called before `on_versions`.
  /// May be empty.
  std::function<void(const SourceContact& contact)> on_contact;
};

/// The members as seen by one node; see the file comment. Not thread-safe.
/// `now` must not decrease from call to call.
class Membership {
 public:
  /// `self` is the record of this node. Its epoch should be greater than that
  /// of any earlier process of the VM, for instance the time of the start; if
  /// it is not, it is raised once a record of the earlier process arrives.
  Membership(MemberRecord self,
             const MembershipOptions& options,
             MembershipHooks hooks);

  /// Sets the members on the VM list. New ones are added as live; members no
  /// longer listed are kept until they are gone and erased.
  void SetListed(const std::vector<ListedMember>& listed, TimePoint now);

  /// Sets the version of the configuration that is in force at this node, or of
  /// the VM list that it holds. Both are sent with each message.
  void SetConfigVersion(const HeldVersion& version);
  void SetVmListVersion(const HeldVersion& version) { m_vm_list = version; }

  /// Sets whether this node is leaving. To be followed by `Announce`.
  void SetLeaving(bool leaving);

  /// Sends the record and versions of this node to a few random members now,
  /// without waiting for the next ping.
  void Announce();

  /// Pings up to `count` random members now, to learn the versions and records
  /// they hold; for use after a start or a pause.
  void Join(std::size_t count, TimePoint now);

  /// Processes a received message. Invalid content, and records that are not
  /// newer than the known ones, are ignored.
  void OnMessage(const GossipMessage& message, TimePoint now);

  /// Sends due pings and pushes and applies timeouts. To be called about every
  /// 50 ms; timeouts are accurate to that interval.
  void OnTick(TimePoint now);

  /// The process did not run for `pause`. Members are not made suspect for
  /// answers that were missed meanwhile: outstanding pings are dropped and
  /// suspicions extended by the pause.
  void OnPause(Duration pause, TimePoint now);

  /// All known members without this node, by VM.
  const std::map<std::string, Member>& members() const { return m_members; }
  /// The record of this node.
  const MemberRecord& self() const { return m_self; }

  /// Number of members from which a message was received since the start; a
  /// member that was erased and returned counts again.
  std::size_t heard_members() const { return m_heard_members; }

 private:
  /// A ping that is not answered yet.
  struct Probe {
    std::string vm;
    TimePoint sent_at;
    bool indirect = false;  ///< Whether others were asked to ping it.
  };
  /// A ping made for another node: where to relay the answer to.
  struct Relay {
    std::string ip;
    std::uint16_t port = 0;
    std::uint64_t sequence = 0;
    TimePoint at;  ///< When the ping was sent.
  };
  /// A changed record that is still being piggybacked.
  struct PendingUpdate {
    std::string vm;
    unsigned sent = 0;  ///< Messages that carried it.
  };

  void Send(GossipKind kind,
            const std::string& ip,
            std::uint16_t port,
            std::uint64_t sequence,
            const std::string& target = "");
  void SendTo(const Member& member, GossipKind kind, std::uint64_t sequence);
  /// Records for the next message: pending updates, those sent least often
  /// first, then other records in turn.
  std::vector<MemberRecord> SelectRecords();
  /// Makes the record of `vm` a pending update, to be sent as a new one.
  void QueueUpdate(const std::string& vm);
  /// Sends updates to a few random members if there are new ones and the budget
  /// allows.
  void PushUpdates(TimePoint now);
  /// Applies a received record if it is newer than the known one.
  void Merge(const MemberRecord& record, TimePoint now);
  /// Handles a record about this node: refutes suspicion, and replaces the
  /// record of an earlier process.
  void MergeOwnRecord(const MemberRecord& record);
  /// Handles the record of the sender of a message. A message from a member
  /// counts as an answer to all pings to it.
  void OnSenderRecord(const MemberRecord& sender, TimePoint now);
  /// Sets the state of a member as found by this node and queues the update.
  void SetState(Member& member, MemberState state, TimePoint now);
  /// Pings the next member if the probe period is over.
  void ProbeNext(TimePoint now);
  /// Pings a random member that is gone but listed, if due.
  void ProbeGone(TimePoint now);
  void StartProbe(const Member& member, TimePoint now);
  /// For pings without an answer: asks others to ping the member after
  /// `ack_timeout`, makes it suspect after a further `indirect_timeout`.
  void CheckProbeTimeouts(TimePoint now);
  void SendPingRequests(const Probe& probe, std::uint64_t sequence);
  /// Makes members gone that were suspect for the suspicion time.
  void ExpireSuspects(TimePoint now);
  /// Erases members for which `forget_after` has passed, and old relays.
  void EraseExpired(TimePoint now);
  /// The next member to ping, null if there is none.
  const Member* NextProbeTarget();
  /// Rebuilds the order of pings in random order.
  void Reshuffle();
  /// Up to `count` distinct random members that are not gone, other than the VM
  /// `except`; may return fewer although there are more, since it makes a
  /// limited number of draws.
  std::vector<const Member*> RandomMembers(std::size_t count,
                                           const std::string& except) const;
  void NotifyChange(const Member* member = nullptr);

  MemberRecord m_self;
  const MembershipOptions m_options;
  MembershipHooks m_hooks;
  HeldVersion m_config;
  HeldVersion m_vm_list;
  std::map<std::string, Member> m_members;
  std::vector<std::string> m_probe_order;  ///< VMs in the order of pings.
  std::size_t m_next_probe = 0;            ///< Index in `m_probe_order`.
  std::vector<PendingUpdate> m_updates;
  std::string m_fill_cursor;                ///< VM of the last filler record.
  std::map<std::uint64_t, Probe> m_probes;  ///< By sequence.
  std::map<std::uint64_t, Relay> m_relays;  ///< By sequence.
  std::uint64_t m_sequence = 0;
  std::uint64_t m_probe_count = 0;
  std::size_t m_heard_members = 0;
  bool m_has_new_updates = false;
  double m_push_tokens = 0;
  TimePoint m_pushed_at{};
  TimePoint m_probed_at{};
  TimePoint m_gone_probed_at{};
};

}  // namespace yuccamast
