#pragma once

#include "yuccamast/clock.h"

/// \file pause_detector.h
/// Detects that the process, or one thread of it, did not run for a while, for
/// example because the VM was paused or starved of CPU.
///
/// The owner calls `Check` at short intervals; a gap between two calls well
/// beyond the interval is a pause. After a pause queued work and the knowledge
/// of peers are out of date, and data in socket buffers may be, too.

namespace yuccamast {

/// Not thread-safe; each thread that needs one has its own.
class PauseDetector {
 public:
  /// `gap` is the shortest time between two checks that counts as a pause, and
  /// `settle` the time after a pause for which input may be old.
  PauseDetector(Duration gap, Duration settle, TimePoint now)
      : m_gap(gap), m_settle(settle), m_checked_at(now) {}

  /// Returns the time since the previous check if that was a pause (at least
  /// `gap`), else zero. Each pause is returned once.
  Duration Check(TimePoint now) {
    const Duration since = now - m_checked_at;
    m_checked_at = now;
    if (since < m_gap) {
      return Duration::zero();
    }
    m_settled_at = now + m_settle;
    return since;
  }

  /// Whether a pause was detected less than `settle` ago, so that input may be
  /// from before the pause.
  bool IsSettling(TimePoint now) const { return now < m_settled_at; }

 private:
  const Duration m_gap;
  const Duration m_settle;
  TimePoint m_checked_at;
  TimePoint m_settled_at{};
};

}  // namespace yuccamast
