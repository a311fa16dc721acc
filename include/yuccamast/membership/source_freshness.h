#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "yuccamast/clock.h"
#include "yuccamast/membership/member.h"
#include "yuccamast/membership/reader_rank.h"

/// \file source_freshness.h
/// Decides when a node that is not a designated reader (see reader_rank.h)
/// reads from the platform as a substitute.
///
/// Most nodes learn of changes on the platform from the readers. A live reader
/// is no help if the platform turns it away, or to a node that is cut off from
/// it; the node's configuration and VM list then become stale although the node
/// itself could read them.
///
/// Input: each gossip message carries the most recent contact with the platform
/// that its sender knows of, its own or another node's, with its age.
/// Output: whether this node is to read.
///
/// A node becomes a substitute when the most recent contact that it knows of is
/// too old:
/// - At once if no message has arrived for two probe periods, since no other
///   node can inform it then.
/// - Otherwise after a delay that grows with its rank in its data centre, so
///   that in most cases one node of each data centre reads and the others hear
///   of its contact in time.
/// An attempt that reaches no platform ends after a short time. The next one
/// starts after a random time whose mean grows with the fleet, which bounds the
/// calls of the whole fleet during an outage of the platform.
///
/// A substitute stops when it hears of a recent contact of a designated reader
/// or of a node with a higher rank. Ranks are totally ordered, so substitutes
/// do not stop for one another in a circle.

namespace yuccamast {

/// See the file comment. Not thread-safe. `now` must not decrease from call to
/// call.
class SourceFreshness {
 public:
  /// `vm` is the name of this node's VM, `probe_period` the period of gossip
  /// probes. `random` returns uniformly distributed random numbers. `now`
  /// counts as the time of a first contact and message.
  SourceFreshness(std::string vm,
                  Duration probe_period,
                  std::function<std::uint64_t()> random,
                  TimePoint now);

  /// This node is in contact with the platform: it would learn of a change
  /// now. `designated` says whether it is a designated reader.
  void OnOwnContact(bool designated, TimePoint now);

  /// A gossip message arrived and carried `contact`.
  void OnMessage(const SourceContact& contact, TimePoint now);

  /// The contact to send with a message at `now`.
  SourceContact ContactToSend(TimePoint now) const;

  /// Updates and returns `is_substitute`. To be called about every 50 ms by a
  /// node that is not a designated reader.
  bool Update(const ReaderPosition& position, TimePoint now);

  /// Ends the role of a substitute, for a node that is a designated reader.
  void Reset();

  /// Whether this node reads as a substitute.
  bool is_substitute() const { return m_is_substitute; }

  /// Whether no gossip message arrived for two probe periods before `now`.
  bool IsIsolated(TimePoint now) const;

  /// Time since the most recent contact of another node that is known.
  Duration PeerContactAge(TimePoint now) const { return now - m_peer_at; }

  /// Age from which a contact no longer counts as recent: two probe periods,
  /// and more in fleets with many members for each reader, where it takes more
  /// messages until a node hears of a contact.
  Duration MaxContactAge(const ReaderPosition& position) const;

 private:
  /// Stops when another node reads, or when an attempt reached no platform; the
  /// next attempt is then due after a random time.
  void StopIfRelieved(const ReaderPosition& position, TimePoint now);

  const std::string m_vm;
  const Duration m_probe_period;
  const std::function<std::uint64_t()> m_random;
  TimePoint m_message_at;  ///< Last gossip message.
  TimePoint m_own_at;      ///< Last own contact.
  bool m_own_designated = false;
  TimePoint m_peer_at;  ///< Most recent contact of another node.
  std::string m_peer_vm;
  bool m_peer_designated = false;
  /// Most recent contact of a designated reader or a node with a higher rank.
  TimePoint m_preferred_at;
  bool m_is_substitute = false;
  TimePoint m_attempt_started_at{};
  std::optional<TimePoint> m_attempt_due;
};

}  // namespace yuccamast
