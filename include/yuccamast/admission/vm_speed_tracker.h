#pragma once

#include <algorithm>
#include <cstdint>

#include "yuccamast/clock.h"

/// \file vm_speed_tracker.h
/// Tracks the current speed of an upstream's VM and predicts how long a slow
/// period lasts.
///
/// Other tenants of the host ("noisy neighbours") slow down a VM for periods of
/// some tenths of a second. Input: the slowness that the upstream reports, the
/// time that work takes now in percent of its normal time. Output: the slowdown
/// factor for work that starts now, and the expected remaining time of the slow
/// period, from an exponentially weighted moving average of earlier periods.
/// With both, an exit compares starting a call now with deferring it until the
/// slow period ends.

namespace yuccamast {

/// Speed of a VM at one moment.
struct VmSpeed {
  /// Time of work that starts now, divided by its normal time.
  double factor = 1.0;
  /// Expected time until the slow period ends; zero if there is none.
  Duration slow_remaining{};

  /// Expected time from now to the end of work that normally takes `work`,
  /// if it is started now or after the slow period, whichever ends sooner.
  Duration TimeToComplete(Duration work) const {
    return ShouldDefer(work) ? slow_remaining + work : TimeIfStartedNow(work);
  }

  /// Whether work that normally takes `work` ends sooner if it starts after
  /// the slow period.
  bool ShouldDefer(Duration work) const {
    return factor > 1.0 && TimeIfStartedNow(work) > slow_remaining + work;
  }

  /// The time that work takes if it starts now: it keeps the present speed to
  /// its end. At least `work`.
  Duration TimeIfStartedNow(Duration work) const {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(work.count()) * std::max(factor, 1.0)));
  }
};

/// Follows the readings of one VM. Not thread-safe. `now` must not decrease
/// from call to call.
class VmSpeedTracker {
 public:
  /// The upstream reported that work now takes `slowness_percent` of its
  /// normal time; 100 is normal speed.
  void OnReading(std::uint32_t slowness_percent, TimePoint now) {
    const bool slow = slowness_percent >= kSlowThresholdPercent;
    if (slow && !m_is_slow) {
      m_slow_since = now;
    }
    if (!slow && m_is_slow) {
      const Duration slow_period =
          std::min<Duration>(now - m_slow_since, kMaxSlowPeriod);
      m_mean_slow_period += (slow_period - m_mean_slow_period) / kEwmaWindow;
    }
    m_is_slow = slow;
    m_slowness_percent = slowness_percent;
    m_read_at = now;
  }

  /// Speed at `now`; normal speed (factor 1) if the last reading is older than
  /// 500 ms or below 150 %.
  VmSpeed At(TimePoint now) const {
    if (!m_is_slow || now - m_read_at > kMaxReadingAge) {
      return {};
    }
    // A slow period that has lasted for more than half the mean is expected to
    // last as long again. Beyond the mean it is of a kind that lasts longer.
    const Duration elapsed = now - m_slow_since;
    constexpr double kPercent = 100.0;
    return {m_slowness_percent / kPercent,
            std::max(m_mean_slow_period - elapsed, elapsed)};
  }

  /// The last reading, however old; 100 before the first.
  std::uint32_t slowness_percent() const { return m_slowness_percent; }
  /// Time since the last reading; `Duration::max()` before the first.
  Duration ReadingAge(TimePoint now) const {
    return m_read_at == TimePoint{} ? Duration::max() : now - m_read_at;
  }

 private:
  /// From this slowness on a VM counts as slow; smaller values are normal
  /// variation.
  static constexpr std::uint32_t kSlowThresholdPercent = 150;
  /// Older readings are not used to predict the present speed.
  static constexpr Duration kMaxReadingAge = std::chrono::milliseconds(500);
  /// Longer slow periods have other causes than noisy neighbours; they enter
  /// the mean with this length.
  static constexpr Duration kMaxSlowPeriod = std::chrono::seconds(1);
  /// Weight of a new slow period in the mean: one over this.
  static constexpr int kEwmaWindow = 8;

  bool m_is_slow = false;
  std::uint32_t m_slowness_percent = 100;
  TimePoint m_slow_since{};
  TimePoint m_read_at{};
  /// Initial value: length assumed before any slow period was observed.
  Duration m_mean_slow_period = std::chrono::milliseconds(300);
};

}  // namespace yuccamast
