#pragma once

#include <optional>

#include "yuccamast/clock.h"

/// \file return_ramp.h
/// Slow start of an upstream that takes load again: it has just become warm, or
/// its data centre was taken back.
///
/// Input: the begin of the return, and from time to time the measured slowdown
/// of its calls and its full rate. Output: the rate of starts that is allowed.
///
/// Algorithm: multiplicative increase. The rate begins at that of a cold
/// upstream and grows by `kGrowth` in each step of `kStep`, unless calls take
/// `kMaxSlowdown` times as long as usual; it then stays. The ramp ends at the
/// full rate, or after `kLongest`.

namespace yuccamast {

/// Not thread-safe. The argument `now` must not decrease from call to call.
class ReturnRamp {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(250);
  static constexpr double kGrowth = 1.5;
  static constexpr double kMaxSlowdown = 1.5;
  static constexpr Duration kLongest = std::chrono::seconds(5);

  /// Sets the rate at which a ramp begins, in starts per second; 0: no ramps,
  /// which also ends one that is running.
  void SetBase(double per_second) {
    m_base = per_second;
    if (m_base <= 0) {
      m_rate = 0;
    }
  }

  /// Begins a ramp, or begins again. No effect without a base.
  void Begin(TimePoint now) {
    if (m_base > 0) {
      m_rate = m_base;
      m_began_at = now;
      m_stepped_at = now;
    }
  }

  /// Takes the step that is due, if any; each one needs a new measurement.
  /// `slowdown`: time that calls take now, relative to the usual time.
  /// `full_rate`: starts per second at which all slots are taken; 0: unknown.
  void Advance(TimePoint now, double slowdown, double full_rate) {
    if (m_rate <= 0) {
      return;
    }
    if (now - m_stepped_at >= kStep) {
      m_stepped_at = now;
      m_rate *= slowdown < kMaxSlowdown ? kGrowth : 1.0;
    }
    if ((full_rate > 0 && m_rate >= full_rate) ||
        now - m_began_at >= kLongest) {
      m_rate = 0;
    }
  }

  /// The allowed starts per second; nothing: no ramp is running.
  std::optional<double> rate() const {
    return m_rate > 0 ? std::optional(m_rate) : std::nullopt;
  }

 private:
  double m_base = 0;
  double m_rate = 0;  ///< 0: no ramp is running.
  TimePoint m_began_at{};
  TimePoint m_stepped_at{};
};

}  // namespace yuccamast
