#pragma once

#include "yuccamast/clock.h"

/// \file pause_detector.h
/// Notices that the process, or its thread, did not run for a while.
///
/// The owner calls `Check` at least every `tick`. A gap well beyond the tick
/// means that the world moved on without this process: what it has queued is
/// old, what it believes of peers is old, and bytes that wait in its sockets
/// may be old as well.

namespace yuccamast {

/// Not thread-safe; one for each thread that needs it.
class PauseDetector {
 public:
  /// `gap` is the shortest time without a check that counts as a pause,
  /// `settle` the time after waking during which input counts as old.
  PauseDetector(Duration gap, Duration settle, TimePoint now)
      : m_gap(gap), m_settle(settle), m_checked_at(now) {}

  /// Returns the length of a pause that is noticed by this call, else zero.
  Duration Check(TimePoint now) {
    const Duration since = now - m_checked_at;
    m_checked_at = now;
    if (since < m_gap) {
      return Duration::zero();
    }
    m_settled_at = now + m_settle;
    return since;
  }

  /// Whether a pause was noticed so recently that input may be from before.
  bool IsSettling(TimePoint now) const { return now < m_settled_at; }

 private:
  const Duration m_gap;
  const Duration m_settle;
  TimePoint m_checked_at;
  TimePoint m_settled_at{};
};

}  // namespace yuccamast
