#pragma once

#include <algorithm>
#include <cstdint>

#include "yuccamast/clock.h"

/// \file vm_speed_tracker.h
/// How fast the machine under an upstream is, and how long a slow spell lasts.
///
/// Neighbours slow a machine for spells of some tenths of a second. An upstream
/// that tells its machine's speed gives two things away: the factor by which
/// work that starts now takes longer, and, over time, how long such spells
/// last. With both, an exit can weigh starting a call now against holding it
/// until the spell ends.

namespace yuccamast {

/// What is known of a machine at one moment.
struct VmSpeed {
  double factor = 1.0;        ///< Time of work that starts now, by the usual.
  Duration slow_remaining{};  ///< Expected rest of a slow spell; zero if none.

  /// Expected end of work that usually takes `work`, from now on: started now,
  /// or held until the spell is over, whichever is sooner.
  Duration TimeOf(Duration work) const {
    return HoldPays(work) ? slow_remaining + work : Slowed(work);
  }

  /// Whether the work is done sooner if it starts after the spell.
  bool HoldPays(Duration work) const {
    return factor > 1.0 && Slowed(work) > slow_remaining + work;
  }

  /// The time that work takes if it starts now.
  Duration Slowed(Duration work) const {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(work.count()) * std::max(factor, 1.0)));
  }
};

/// Follows the readings of one machine. Not thread-safe.
class VmSpeedTracker {
 public:
  /// The upstream said that work takes `slowness_percent` of its usual time.
  void OnReading(std::uint32_t slowness_percent, TimePoint now) {
    const bool slow = slowness_percent >= kSlowPercent;
    if (slow && !m_slow) {
      m_slow_since = now;
    }
    if (!slow && m_slow) {
      const Duration spell = std::min<Duration>(now - m_slow_since, kLongest);
      m_mean_spell += (spell - m_mean_spell) / kSpan;
    }
    m_slow = slow;
    m_percent = slowness_percent;
    m_read_at = now;
  }

  /// The state at `now`; the usual speed if the last reading is too old.
  VmSpeed At(TimePoint now) const {
    if (!m_slow || now - m_read_at > kReadingHolds) {
      return {};
    }
    // A spell that has outlasted the mean is of a longer kind: it is expected
    // to last as long again.
    const Duration elapsed = now - m_slow_since;
    constexpr double kPercent = 100.0;
    return {m_percent / kPercent, std::max(m_mean_spell - elapsed, elapsed)};
  }

  std::uint32_t slowness_percent() const { return m_percent; }
  Duration ReadingAge(TimePoint now) const {
    return m_read_at == TimePoint{} ? Duration::max() : now - m_read_at;
  }

 private:
  /// From here on a machine counts as slow; below lies the usual unevenness.
  static constexpr std::uint32_t kSlowPercent = 150;
  /// A reading older than this says nothing of the present.
  static constexpr Duration kReadingHolds = std::chrono::milliseconds(500);
  /// A longer spell is not noise of neighbours, but counts as this much.
  static constexpr Duration kLongest = std::chrono::seconds(1);
  /// Weight of a new spell in the mean is one over this.
  static constexpr int kSpan = 8;

  bool m_slow = false;
  std::uint32_t m_percent = 100;
  TimePoint m_slow_since{};
  TimePoint m_read_at{};
  /// Until spells have been seen, they are taken to last this long.
  Duration m_mean_spell = std::chrono::milliseconds(300);
};

}  // namespace yuccamast
