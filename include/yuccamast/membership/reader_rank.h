#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"
#include "yuccamast/membership/membership.h"

/// \file reader_rank.h
/// Selects the nodes that read from the services of the platform; the others
/// receive configuration and VM list from peers. source_freshness.h says which
/// others read while these have no contact with the platform.
///
/// In each data centre the `kReadersPerDataCentre` live members with the
/// highest hash of their VM name read (highest random weight, or rendezvous,
/// hashing). There is no election and no stored state: each node ranks the
/// members that it sees. Where views differ, a few nodes more or fewer read for
/// a while, which is harmless. The number of readers grows with the number of
/// data centres, not with that of nodes.
///
/// Readers long-poll. While the platform's data changes all the time, each poll
/// returns at once, so the polls are spaced: each reader draws a random time
/// until its next poll, whose mean grows with the number of readers. All
/// readers together then poll about `kFleetPollsPerSecond` times a second, and
/// a change is still read soon, by the first reader that polls. Fixed times
/// would not do: readers whose polls return at the same change would stay in
/// step, and none would poll until all do.

namespace yuccamast {

/// Nodes of each data centre that read from the platform.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// Rank of a VM as a reader: nodes with a higher one read first. Thread-safe.
std::uint64_t ReaderRank(std::string_view vm);

/// Where a node stands among the readers of its fleet.
struct ReaderPosition {
  std::size_t members = 1;  ///< Members, this node included.
  std::size_t readers = 1;  ///< See `CountPlatformReaders`.
  /// Live members of the data centre that rank before this node and are not
  /// designated readers; 0 for a designated reader.
  std::size_t nodes_ahead = 0;
};

/// The position of this node by its own view. Linear in the number of members.
/// As thread-safe as `membership`.
ReaderPosition PositionAmongReaders(const Membership& membership);

/// Whether this node is one of those that read from the platform in its data
/// centre, by its own view. Linear in the number of members. As thread-safe as
/// `membership`.
bool IsPlatformReader(const Membership& membership);

/// Number of nodes that read from the platform in all data centres, by this
/// node's view. Linear in the number of members. As thread-safe as
/// `membership`.
std::size_t CountPlatformReaders(const Membership& membership);

/// Rate of polls of all readers together, up to 12 readers; beyond that
/// `kMaxPollInterval` takes precedence.
inline constexpr double kFleetPollsPerSecond = 10;

/// Longest time between the starts of two polls of a reader, as long as the
/// polls return at once.
inline constexpr Duration kMaxPollInterval = std::chrono::milliseconds(2400);

/// Time from the start of one poll of a reader to that of the next. `readers`
/// is the number of readers, itself included; `uniform` a random number in
/// [0, 1). Thread-safe.
Duration ReaderPollInterval(std::size_t readers, double uniform);

}  // namespace yuccamast
