#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

#include "node/settings.h"
#include "source/platform_watcher.h"
#include "yuccamast/membership/membership.h"
#include "yuccamast/membership/source_freshness.h"

/// \file reader_role.h
/// The part of a node in reading from the platform: whether it reads now, and
/// why.
///
/// A node reads as a designated reader by its rank (reader_rank.h), or as a
/// substitute while no contact of another node is recent (source_freshness.h).
/// It also reads while it has no VM list, while it has been without a
/// configuration for some time, and in a very small fleet with a strongly
/// consistent source.

namespace yuccamast {

/// Why a node reads from the platform.
enum class ReaderState : std::uint8_t {
  kNone,        ///< It hears of changes from its peers.
  kDesignated,  ///< By its rank; peers rely on it.
  kSubstitute,  ///< It knows of no recent contact of another node.
  kBootstrap    ///< It lacks a document, or the fleet is very small.
};

/// Name of a state in logs and in the dump, as in `substitute`.
std::string_view NameOf(ReaderState state);

/// What the control plane knows when it updates the role.
struct ReaderInputs {
  bool has_vm_list = false;
  /// Without a configuration for longer than it takes to get one from a peer.
  bool unconfigured = false;
};

/// See the file comment. Use from the control thread, except where stated
/// otherwise. The membership must outlive the object.
class ReaderRole {
 public:
  ReaderRole(const NodeSettings& settings,
             const Membership& membership,
             std::function<std::uint64_t()> random,
             TimePoint now);

  /// A gossip message arrived and carried `contact`.
  void OnMessage(const SourceContact& contact, TimePoint now) {
    m_freshness.OnMessage(contact, now);
  }

  /// The contact with the platform to send with a gossip message.
  SourceContact ContactToSend(TimePoint now) const {
    return m_freshness.ContactToSend(now);
  }

  /// Decides anew whether to read. To be called about every 50 ms. `source` is
  /// the open source.
  void Update(const PlatformSource& source,
              const ReaderInputs& inputs,
              TimePoint now);

  ReaderState state() const { return m_state; }

  /// Whether this node is in contact with the platform: it reads, and its last
  /// read succeeded.
  bool in_contact() const { return m_in_contact; }

  /// Whether this node hears its peers, but knows of no node that is in contact
  /// with the platform.
  bool IsPlatformLost(TimePoint now) const;

  /// Time since the most recent contact of another node that is known.
  Duration PeerContactAge(TimePoint now) const {
    return m_freshness.PeerContactAge(now);
  }

  /// For the hooks of the source; thread-safe. `reader_count` is the number of
  /// nodes that read for others, this one included, or 0 if it doesn't.
  std::size_t reader_count() const { return m_reader_count; }
  bool reads_config() const { return m_reads_config; }
  bool reads_vm_list() const { return m_reads_vm_list; }

 private:
  /// Ranks the members anew, once a period.
  void UpdateRank(TimePoint now);
  ReaderState NextState(const PlatformSource& source,
                        const ReaderInputs& inputs,
                        TimePoint now);
  void UpdateContact(const PlatformSource& source, TimePoint now);

  const Membership& m_membership;
  SourceFreshness m_freshness;
  ReaderPosition m_position;
  bool m_designated = false;
  TimePoint m_rank_due{};
  ReaderState m_state = ReaderState::kBootstrap;
  TimePoint m_reading_since;
  bool m_in_contact = false;
  std::atomic<std::size_t> m_reader_count{0};
  std::atomic<bool> m_reads_config{false};
  std::atomic<bool> m_reads_vm_list{true};
};

}  // namespace yuccamast
