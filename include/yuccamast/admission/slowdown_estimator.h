#pragma once

#include <algorithm>
#include <cmath>

#include "yuccamast/clock.h"

/// \file slowdown_estimator.h
/// How slow an upstream is at present, against its usual, without its word.
///
/// A server that turns slow says so with its answers, which come late by just
/// that factor; until then calls that are overdue tell more than those that
/// have ended. The pace is the time spent on recent calls, ended and running,
/// by the time that was expected for them. A running call counts as expected
/// until it is overdue. A few calls at the usual pace are always mixed in, and
/// what has ended loses weight with time, so one call of the long tail moves
/// little, and an upstream that gets no more calls is soon tried again.

namespace yuccamast {

/// Not thread-safe.
class SlowdownEstimator {
 public:
  /// A call that was expected to take `expected` took `service`.
  void OnEnded(Duration service, Duration expected, TimePoint now) {
    if (expected <= Duration::zero()) {
      return;
    }
    Fade(now);
    m_spent += Seconds(service);
    m_expected += Seconds(expected);
    m_usual = m_usual == 0.0
                  ? Seconds(expected)
                  : m_usual + (Seconds(expected) - m_usual) / kUsualSpan;
  }

  /// Running calls, to be added to what has ended.
  struct Running {
    double spent_s = 0;
    double expected_s = 0;

    /// A call that has run for `age`.
    void Add(Duration age, Duration expected) {
      spent_s += Seconds(age);
      expected_s += Seconds(std::min(age, expected));
    }
  };

  /// Time that a call takes now by the time it usually takes, at `now`.
  double At(const Running& running, TimePoint now) {
    Fade(now);
    const double prior = kPriorCalls * m_usual;
    const double expected = prior + m_expected + running.expected_s;
    return expected <= 0.0
               ? 1.0
               : std::clamp((prior + m_spent + running.spent_s) / expected,
                            kLeast, kMost);
  }

 private:
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void Fade(TimePoint now) {
    if (m_faded_at != TimePoint{}) {
      const double left =
          std::exp2(-Seconds(now - m_faded_at) / Seconds(kHalfLife));
      m_spent *= left;
      m_expected *= left;
    }
    m_faded_at = now;
  }

  /// What ended this long ago has half its weight: long enough for a dozen
  /// calls of a busy upstream, short enough to notice its recovery.
  static constexpr Duration kHalfLife = std::chrono::milliseconds(700);
  /// Calls at the usual pace that are mixed in.
  static constexpr double kPriorCalls = 3.0;
  static constexpr double kUsualSpan = 16.0;
  static constexpr double kLeast = 0.3;
  static constexpr double kMost = 50.0;

  double m_spent = 0;     ///< Seconds, faded.
  double m_expected = 0;  ///< Seconds, faded.
  double m_usual = 0;     ///< Seconds, of a call.
  TimePoint m_faded_at{};
};

}  // namespace yuccamast
