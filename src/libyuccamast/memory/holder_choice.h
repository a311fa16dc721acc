#pragma once

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

#include "yuccamast/clock.h"

/// \file holder_choice.h
/// Chooses the connections that are closed when memory is short.
///
/// A caller that stops short of the end of its body, or that does not take its
/// reply, holds memory for as long as it likes. The cost of a holder is its
/// bytes times the time for which it has held them: a short transfer of much
/// and a long one of little cost the same. The dearest are closed first, until
/// what they give back covers the shortage. Who has held bytes for less than
/// `kMinHoldTime` is spared, which is an ordinary transfer.

namespace yuccamast {

/// Time for which an ordinary caller may take to send or receive a message,
/// however short memory is.
inline constexpr Duration kMinHoldTime = std::chrono::seconds(1);

/// What one connection holds.
struct MemoryHolder {
  std::size_t bytes = 0;
  TimePoint since{};  ///< Begin of the transfer that holds them.
};

/// Indexes of the holders to close so that at least `wanted` bytes come free,
/// dearest first; fewer bytes if all others are spared. O(n log n).
/// Thread-safe.
inline std::vector<std::size_t> ChooseHoldersToClose(
    const std::vector<MemoryHolder>& holders,
    std::size_t wanted,
    TimePoint now) {
  std::vector<std::size_t> order(holders.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::erase_if(order, [&](std::size_t i) {
    return holders[i].bytes == 0 || now - holders[i].since < kMinHoldTime;
  });
  std::ranges::sort(order, std::ranges::greater(), [&](std::size_t i) {
    return static_cast<double>(holders[i].bytes) *
           std::chrono::duration<double>(now - holders[i].since).count();
  });
  std::size_t freed = 0;
  const auto enough = std::ranges::find_if(order, [&](std::size_t i) {
    const bool is_covered = freed >= wanted;
    freed += holders[i].bytes;
    return is_covered;
  });
  order.erase(enough, order.end());
  return order;
}

}  // namespace yuccamast
