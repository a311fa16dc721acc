#pragma once

#include <bitset>
#include <cstdint>

/// \file sequence_window.h
/// Recognises offers that are repeated or too old.
///
/// Each entry numbers its offers within one life of its process (boot id). The
/// exit keeps one window for each (VM, boot id) pair. A number is accepted at
/// most once; a number that fell out of the window is refused, because the
/// window cannot tell any more whether it was seen.

namespace yuccamast {

/// Window over the last `kSize` sequence numbers. Not thread-safe.
class SequenceWindow {
 public:
  static constexpr std::uint64_t kSize = 4096;

  /// True exactly once for each number that is not older than the window.
  bool Accept(std::uint64_t sequence);

  std::uint64_t highest() const { return m_highest; }

 private:
  std::uint64_t m_highest = 0;
  std::bitset<kSize> m_seen;
};

}  // namespace yuccamast
