#pragma once

#include <algorithm>
#include <cmath>

#include "yuccamast/clock.h"

/// \file slowdown_estimator.h
/// Estimates how much slower than expected an upstream is at present, from call
/// times alone (without a load value reported by the upstream).
///
/// Output: the ratio of actual to expected service time over recent calls; 1 is
/// normal, 2 means that calls take twice as long. Input: ended calls, whose
/// weight decays exponentially with a half-life of 700 ms, and running calls.
/// When an upstream turns slow, the ends of its calls are delayed by the same
/// factor, so at first only running calls that are overdue show the change. A
/// running call counts with equal actual and expected time until it is overdue.
///
/// A prior of a few calls at ratio 1 is always mixed in, so a single call of
/// the latency tail changes the ratio little, and the ratio of an upstream that
/// receives no calls returns to 1, so it is soon tried again.

namespace yuccamast {

/// Slowdown of one upstream. Not thread-safe. `now` must not decrease from call
/// to call.
class SlowdownEstimator {
 public:
  /// Records an ended call: it took `service` and was expected to take
  /// `expected`. Ignored if `expected` is zero, that is unknown.
  void OnEnded(Duration service, Duration expected, TimePoint now) {
    if (expected <= Duration::zero()) {
      return;
    }
    Decay(now);
    m_actual += Seconds(service);
    m_expected += Seconds(expected);
    m_mean_expected =
        m_mean_expected == 0.0
            ? Seconds(expected)
            : m_mean_expected +
                  (Seconds(expected) - m_mean_expected) / kEwmaWindow;
  }

  /// Sums of actual and expected service time over the running calls, in
  /// seconds.
  struct RunningSample {
    double elapsed_s = 0;
    double expected_s = 0;

    /// Adds a call that has run for `age` and was expected to take `expected`.
    /// Precondition: `expected` is known, that is above zero.
    void Add(Duration age, Duration expected) {
      elapsed_s += Seconds(age);
      expected_s += Seconds(std::min(age, expected));
    }
  };

  /// Ratio of actual to expected service time at `now`, in 0.3..50; 1 if no
  /// call is known.
  double At(const RunningSample& running, TimePoint now) {
    Decay(now);
    const double prior_s = kPriorCalls * m_mean_expected;
    const double expected = prior_s + m_expected + running.expected_s;
    return expected <= 0.0
               ? 1.0
               : std::clamp((prior_s + m_actual + running.elapsed_s) / expected,
                            kMinSlowdown, kMaxSlowdown);
  }

 private:
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  /// Reduces the weight of the ended calls to that at `now`.
  void Decay(TimePoint now) {
    if (m_decayed_at != TimePoint{}) {
      const double remaining_share =
          std::exp2(-Seconds(now - m_decayed_at) / Seconds(kHalfLife));
      m_actual *= remaining_share;
      m_expected *= remaining_share;
    }
    m_decayed_at = now;
  }

  /// Calls that ended this long ago have half their weight. Long enough to
  /// cover a dozen calls of a busy upstream, short enough to notice its
  /// recovery.
  static constexpr Duration kHalfLife = std::chrono::milliseconds(700);
  /// Weight of the prior, in calls of mean expected time at ratio 1.
  static constexpr double kPriorCalls = 3.0;
  /// Weight of a new sample in the mean expected time: one over this.
  static constexpr double kEwmaWindow = 16.0;
  /// Bounds of the result.
  static constexpr double kMinSlowdown = 0.3;
  static constexpr double kMaxSlowdown = 50.0;

  double m_actual = 0;         ///< Seconds, decayed.
  double m_expected = 0;       ///< Seconds, decayed.
  double m_mean_expected = 0;  ///< Seconds per call.
  TimePoint m_decayed_at{};
};

}  // namespace yuccamast
