#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/clock.h"

/// \file member.h
/// What nodes tell each other about the members of the fleet.

namespace yuccamast {

/// How a member is doing. Ordered by severity: of two words with the same
/// version the more severe one counts.
enum class MemberState : std::uint8_t { kLive, kSuspect, kGone };

std::string_view NameOf(MemberState state);

/// One word about a member. Words are ordered by (epoch, version, state);
/// whatever order they arrive in, every node ends with the greatest one. Only
/// the member itself raises its epoch and version.
struct MemberRecord {
  std::string vm;
  std::string ip;
  std::uint16_t port = 0;
  std::string data_centre;
  std::string region;
  /// Life of the member's process: a restart is a new member under the same
  /// name. Zero until the member has spoken itself.
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::uint8_t state = 0;  ///< A MemberState.
  bool leaving = false;
  std::uint64_t config_revision = 0;  ///< In force at the member.

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

/// Whether `a` is a newer word than `b` on the same member.
bool IsNewer(const MemberRecord& a, const MemberRecord& b);

/// Version of something published, as held by a node.
struct HeldVersion {
  std::uint64_t revision = 0;
  std::string digest;

  auto operator<=>(const HeldVersion&) const = default;
  MSGPACK_DEFINE(revision, digest)
};

enum class GossipKind : std::uint8_t {
  kPing,         ///< Answer with kAck and the same sequence.
  kAck,          ///< Answer to kPing.
  kPingRequest,  ///< Ping `target` for me and pass its answer on.
  kAnnounce,     ///< News; no answer.
};

inline constexpr std::uint32_t kGossipVersion = 1;

/// One datagram.
struct GossipMessage {
  std::uint32_t protocol = kGossipVersion;
  std::uint8_t kind = 0;  ///< A GossipKind.
  std::uint64_t sequence = 0;
  std::string target;   ///< VM, for kPingRequest.
  MemberRecord sender;  ///< The sender's own word.
  HeldVersion config;   ///< In force at the sender.
  HeldVersion vm_list;  ///< Held by the sender.
  std::vector<MemberRecord> records;

  MSGPACK_DEFINE(protocol,
                 kind,
                 sequence,
                 target,
                 sender,
                 config,
                 vm_list,
                 records)
};

/// A member as one node sees it.
struct Member {
  MemberRecord record;
  bool listed = false;     ///< On the VM list.
  TimePoint heard_at{};    ///< Last message from it; never is the epoch.
  TimePoint changed_at{};  ///< Last change of its state.

  MemberState state() const { return static_cast<MemberState>(record.state); }
};

}  // namespace yuccamast
