#include "yuccamast/outcome/sequence_window.h"

#include <algorithm>

namespace yuccamast {

bool SequenceWindow::Accept(std::uint64_t sequence) {
  if (sequence == 0 || sequence + kSize <= m_highest) {
    return false;
  }
  if (sequence > m_highest) {
    const std::uint64_t step = std::min(sequence - m_highest, kSize);
    for (std::uint64_t i = 1; i <= step; ++i) {
      m_seen.reset((m_highest + i) % kSize);
    }
    if (step == kSize) {
      m_seen.reset();
    }
    m_highest = sequence;
  }
  const std::uint64_t slot = sequence % kSize;
  if (m_seen.test(slot)) {
    return false;
  }
  m_seen.set(slot);
  return true;
}

}  // namespace yuccamast
