#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "yuccamast/membership/membership.h"

/// \file reader_rank.h
/// Which nodes read the platform's services.
///
/// In each data centre the `kReaders` live members with the highest hash read;
/// the others hear from peers. Nothing is elected or written: every node ranks
/// the members it sees. Where views differ, a few more or fewer read for a
/// while, which does no harm. The number of readers grows with the number of
/// data centres, not with the fleet.

namespace yuccamast {

/// Readers in each data centre.
inline constexpr std::size_t kReaders = 2;

/// Whether this node is one of the readers of its data centre, by its view.
bool IsReader(const Membership& membership);

}  // namespace yuccamast
