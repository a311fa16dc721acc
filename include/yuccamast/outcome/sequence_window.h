#pragma once

#include <bitset>
#include <cstdint>

/// \file sequence_window.h
/// Anti-replay window (sliding bit window, as in IPsec, RFC 4303): detects
/// offers that are repeated or too old.
///
/// Each thread of an entry has a boot id of its own and gives its offers to a
/// peer increasing numbers above 0. An exit keeps one window for each pair of
/// VM and boot id. A number is accepted at most once; a number older than the
/// window is rejected, because it is no longer known whether it was received.

namespace yuccamast {

/// Window over the last `kSize` sequence numbers; takes 512 bytes of bits. Not
/// thread-safe.
class SequenceWindow {
 public:
  static constexpr std::uint64_t kSize = 4096;

  /// Returns true exactly once for each number that is not older than the
  /// window when it arrives, in any order; always false for 0.
  bool Accept(std::uint64_t sequence);

  /// Highest accepted number; 0 before the first.
  std::uint64_t highest() const { return m_highest; }

 private:
  std::uint64_t m_highest = 0;
  std::bitset<kSize> m_seen;
};

}  // namespace yuccamast
