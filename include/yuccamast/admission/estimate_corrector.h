#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "yuccamast/clock.h"

/// \file estimate_corrector.h
/// Corrects expected service times that are wrong by a factor, for example just
/// after the work of a rule has changed.
///
/// Input: the expected and the actual service time of each call that ended, by
/// kind. Output: the factor by which to multiply further expected times, an
/// exponentially weighted moving average of the ratios over eight calls, if it
/// is beyond the usual variation. The
/// estimate itself is an average over far more calls, so that it follows a
/// change slowly.

namespace yuccamast {

/// Not thread-safe. Once there are too many kinds, all are forgotten.
class EstimateCorrector {
 public:
  /// A call of the kind took `actual`. No effect without an expected time.
  void OnEnded(std::uint64_t kind, Duration expected, Duration actual) {
    if (expected <= Duration::zero()) {
      return;
    }
    if (m_factors.size() >= kMaxKinds && !m_factors.contains(kind)) {
      m_factors.clear();
    }
    double& factor = m_factors.try_emplace(kind, 1.0).first->second;
    const double ratio = std::clamp(static_cast<double>(actual.count()) /
                                        static_cast<double>(expected.count()),
                                    1 / kMaxFactor, kMaxFactor);
    factor += (ratio - factor) / kEwmaWindow;
  }

  /// The corrected expected time; 0 if `expected` is.
  Duration Correct(std::uint64_t kind, Duration expected) const {
    const auto found = m_factors.find(kind);
    const double factor = found == m_factors.end() ? 1.0 : found->second;
    if (factor > 1 / kNoise && factor < kNoise) {
      return expected;
    }
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(expected.count()) * factor));
  }

 private:
  static constexpr double kMaxFactor = 8;
  /// A smaller factor is within the variation of single calls.
  static constexpr double kNoise = 1.5;
  static constexpr double kEwmaWindow = 8;
  static constexpr std::size_t kMaxKinds = 64;

  std::map<std::uint64_t, double> m_factors;
};

}  // namespace yuccamast
