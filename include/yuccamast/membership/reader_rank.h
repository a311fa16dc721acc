#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "yuccamast/membership/membership.h"

/// \file reader_rank.h
/// Selects the nodes that read from the services of the platform; the others
/// receive configuration and VM list from peers.
///
/// In each data centre the `kReadersPerDataCentre` live members with the
/// highest hash of their VM name read (highest random weight, or rendezvous,
/// hashing). There is no election and no stored state: each node ranks the
/// members that it sees. Where views differ, a few nodes more or fewer read for
/// a while, which is harmless. The number of readers grows with the number of
/// data centres, not with that of nodes.

namespace yuccamast {

/// Nodes of each data centre that read from the platform.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// Whether this node is one of those that read from the platform in its data
/// centre, by its own view. Linear in the number of members. As thread-safe as
/// `membership`.
bool IsPlatformReader(const Membership& membership);

}  // namespace yuccamast
