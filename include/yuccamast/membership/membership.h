#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "yuccamast/clock.h"
#include "yuccamast/membership/member.h"

/// \file membership.h
/// The fleet as seen by one node: who is live, suspect, leaving or gone.
///
/// The protocol is SWIM with suspicion. Each period a node pings one member;
/// without an answer it asks a few others to ping for it; without any answer
/// the member is suspect, and gone if it does not refute that in time. News
/// ride on the pings and answers, fresh ones are pushed to a few members at
/// once within a budget, and free room in each datagram is filled
/// with records in turn, so that news lost on the way still arrive. Messages
/// and bytes a node sends a second do not depend on the number of members.
///
/// Most pings stay in the region, a few cross to others. Members that are
/// gone but on the VM list are pinged now and then: two halves of a partition
/// find each other again by that.
///
/// The class is pure: the owner passes time, messages and random numbers in
/// and gets messages out. Not thread-safe.

namespace yuccamast {

struct MembershipOptions {
  Duration probe_period = std::chrono::milliseconds(250);
  Duration ack_timeout = std::chrono::milliseconds(250);
  Duration indirect_timeout = std::chrono::milliseconds(250);
  Duration suspicion = std::chrono::milliseconds(2500);
  Duration gone_probe_period = std::chrono::seconds(1);
  Duration forget_after = std::chrono::seconds(60);
  std::size_t indirect_probes = 3;
  std::size_t announce_fanout = 4;
  std::size_t records_per_message = 8;
  std::size_t push_fanout = 2;     ///< Members told at once of fresh news.
  double push_per_second = 8;      ///< Bound on datagrams sent for that.
  unsigned remote_every = 8;       ///< One ping in this many leaves the region.
  unsigned retransmit_factor = 3;  ///< Times log2 of the members.
};

/// One VM as the platform lists it.
struct ListedMember {
  std::string vm;
  std::string ip;
  std::uint16_t port = 0;
  std::string data_centre;
  std::string region;
};

/// What the owner provides.
struct MembershipHooks {
  std::function<void(const std::string& ip,
                     std::uint16_t port,
                     const GossipMessage& message)>
      send;
  std::function<std::uint64_t()> random;
  /// A member's state, life, address or leaving changed; null stands for a
  /// change of the set.
  std::function<void(const Member* member)> on_change;
  /// The sender of a message holds these versions.
  std::function<void(const MemberRecord& holder,
                     const HeldVersion& config,
                     const HeldVersion& vm_list)>
      on_versions;
};

/// See the file comment.
class Membership {
 public:
  /// `self` is this node's word; its epoch must be greater than that of any
  /// earlier life, for instance the time of the start.
  Membership(MemberRecord self,
             const MembershipOptions& options,
             MembershipHooks hooks);

  /// Replaces the set of members that the platform lists.
  void SetListed(const std::vector<ListedMember>& listed, TimePoint now);

  /// What this node holds; told to peers with every message.
  void SetConfig(const HeldVersion& version);
  void SetVmList(const HeldVersion& version) { m_vm_list = version; }

  /// This node is leaving, or is not any more.
  void SetLeaving(bool leaving);

  /// Sends news to a few random members now, without waiting for a ping.
  void Announce();

  /// Pings up to `count` random members now, to learn what they hold.
  void Join(std::size_t count, TimePoint now);

  /// Takes a message. Malformed or impossible content is ignored.
  void OnMessage(const GossipMessage& message, TimePoint now);

  /// To be called about every 50 ms.
  void OnTick(TimePoint now);

  /// This process did not run for `pause`: nobody is blamed for not having
  /// been heard meanwhile.
  void OnPause(Duration pause, TimePoint now);

  const std::map<std::string, Member>& members() const { return m_members; }
  const MemberRecord& self() const { return m_self; }

  /// Members, without this node, that were heard since the start.
  std::size_t heard_members() const { return m_heard; }

 private:
  struct Probe {
    std::string vm;
    TimePoint sent_at;
    bool indirect = false;  ///< Others were asked.
  };
  struct Relay {
    std::string ip;
    std::uint16_t port = 0;
    std::uint64_t sequence = 0;
    TimePoint at;
  };
  struct News {
    std::string vm;
    unsigned sent = 0;
  };

  void Send(GossipKind kind,
            const std::string& ip,
            std::uint16_t port,
            std::uint64_t sequence,
            const std::string& target = "");
  void SendTo(const Member& member, GossipKind kind, std::uint64_t sequence);
  std::vector<MemberRecord> PickRecords();
  void Queue(const std::string& vm);
  void PushNews(TimePoint now);
  void Merge(const MemberRecord& record, TimePoint now);
  void MergeSelf(const MemberRecord& record);
  void HearFrom(const MemberRecord& sender, TimePoint now);
  void Judge(Member& member, MemberState state, TimePoint now);
  void ProbeNext(TimePoint now);
  void ProbeGone(TimePoint now);
  void StartProbe(const Member& member, TimePoint now);
  void CheckProbes(TimePoint now);
  void AskOthers(const Probe& probe, std::uint64_t sequence);
  void CheckSuspects(TimePoint now);
  void Forget(TimePoint now);
  const Member* NextTarget();
  void Reshuffle();
  std::vector<const Member*> RandomMembers(std::size_t count,
                                           const std::string& except) const;
  void Changed(const Member* member = nullptr);

  MemberRecord m_self;
  const MembershipOptions m_options;
  MembershipHooks m_hooks;
  HeldVersion m_config;
  HeldVersion m_vm_list;
  std::map<std::string, Member> m_members;
  std::vector<std::string> m_order;  ///< Members in the order of pings.
  std::size_t m_next = 0;
  std::vector<News> m_news;
  std::string m_cursor;  ///< Last record that filled a datagram.
  std::map<std::uint64_t, Probe> m_probes;
  std::map<std::uint64_t, Relay> m_relays;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_rounds = 0;
  std::size_t m_heard = 0;
  bool m_fresh_news = false;
  double m_push_tokens = 0;
  TimePoint m_pushed_at{};
  TimePoint m_probed_at{};
  TimePoint m_gone_probed_at{};
};

}  // namespace yuccamast
