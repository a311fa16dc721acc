#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "yuccamast/clock.h"

/// \file member.h
/// Data types and messages of the membership protocol, see membership.h.
///
/// Messages are MessagePack arrays: order and types of the fields in
/// `MSGPACK_DEFINE` are the wire format.

namespace yuccamast {

/// Liveness of a member. Ordered by severity: of two records with the same
/// version the one with the more severe state wins.
enum class MemberState : std::uint8_t { kLive, kSuspect, kGone };

/// `live`, `suspect` or `gone`. Throws `std::out_of_range` for other values.
std::string_view NameOf(MemberState state);

/// State of a member as published by itself, or by another node that suspects
/// it or has it as gone. Records of a member are totally ordered by (epoch,
/// version, state) and each node keeps the greatest one, so all nodes converge
/// whatever the order of arrival. Only the member itself raises its epoch and
/// version; `version` has the role of SWIM's incarnation number.
struct MemberRecord {
  std::string vm;
  std::string ip;
  /// Of the node's inner address: gossip by UDP and peer connections by TCP.
  std::uint16_t port = 0;
  std::string data_centre;
  std::string region;
  /// Identifies the member's process; a restarted process has a greater one.
  /// Zero until a record made by the member itself has been received.
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::uint8_t state = 0;  ///< A MemberState.
  bool leaving = false;
  std::uint64_t config_revision = 0;  ///< Configuration in force there.

  MSGPACK_DEFINE(vm,
                 ip,
                 port,
                 data_centre,
                 region,
                 epoch,
                 version,
                 state,
                 leaving,
                 config_revision)
};

/// Whether record `a` supersedes record `b` of the same member.
bool IsNewer(const MemberRecord& a, const MemberRecord& b);

/// Version of a published document (configuration or VM list) held by a node.
/// Ordered by era, then revision, then digest. The era rises when the publisher
/// is restored from a backup and may give out revisions again. It is 0 if the
/// publisher names none, in messages of nodes that do not know of eras, and for
/// a configuration, whose revisions are the operator's and never go back.
struct HeldVersion {
  std::uint64_t revision = 0;
  std::string digest;
  std::uint64_t era = 0;

  bool operator==(const HeldVersion&) const = default;
  std::strong_ordering operator<=>(const HeldVersion& other) const {
    return std::tie(era, revision, digest) <=>
           std::tie(other.era, other.revision, other.digest);
  }
  MSGPACK_DEFINE(revision, digest, era)
};

/// A contact of a node with the platform: the last time at which the node would
/// have learned of a change there.
struct SourceContact {
  std::string vm;  ///< Of the node that was in contact; empty: none is known.
  std::uint64_t age_ms = 0;  ///< Time since the contact, when sent.
  bool designated = false;   ///< The node was a designated reader.

  MSGPACK_DEFINE(vm, age_ms, designated)
};

/// Kinds of messages; the values are sent.
enum class GossipKind : std::uint8_t {
  kPing,         ///< To be answered with kAck and the same sequence.
  kAck,          ///< Answer to kPing.
  kPingRequest,  ///< Asks to ping `target` and to relay its answer.
  kAnnounce,     ///< Carries records only; not answered.
};

/// Messages with another protocol version are ignored.
inline constexpr std::uint32_t kGossipVersion = 1;

/// Content of one datagram.
struct GossipMessage {
  std::uint32_t protocol = kGossipVersion;
  std::uint8_t kind = 0;  ///< A GossipKind.
  std::uint64_t sequence = 0;
  /// VM to ping, in kPingRequest; VM that answered, in a relayed kAck.
  std::string target;
  MemberRecord sender;                ///< The sender's record of itself.
  HeldVersion config;                 ///< In force at the sender.
  HeldVersion vm_list;                ///< Held by the sender.
  std::vector<MemberRecord> records;  ///< Of other members.
  SourceContact contact;              ///< Most recent one that is known.

  MSGPACK_DEFINE(protocol,
                 kind,
                 sequence,
                 target,
                 sender,
                 config,
                 vm_list,
                 records,
                 contact)
};

/// A member as one node sees it.
struct Member {
  MemberRecord record;
  bool listed = false;   ///< Whether it is on the VM list.
  TimePoint heard_at{};  ///< Last message from it; `TimePoint{}`: none.
  /// Last change of state, epoch, address or leaving. For a suspect member it
  /// is set later by the length of each pause of this node, at most to the
  /// present.
  TimePoint changed_at{};

  MemberState state() const { return static_cast<MemberState>(record.state); }
};

}  // namespace yuccamast
