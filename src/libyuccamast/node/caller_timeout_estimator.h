#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"

/// \file caller_timeout_estimator.h
/// Estimates how long a caller had been waiting when its attempt arrived.
///
/// The objective of a rule counts from a caller's first attempt, but an attempt
/// only carries the time that its caller will still wait. The callers of one
/// rule use about the same timeout, so the timeout is estimated as the longest
/// remaining time seen recently, and the elapsed time as the estimate minus the
/// remaining time of the attempt.
///
/// Algorithm: a sliding-window maximum per rule, kept in two buckets (the
/// current period and the one before), lowered by 1/`kSpreadDivisor` so that
/// the result is a lower bound. The window covers one to two periods; it only
/// advances when an attempt for the rule arrives.
/// Each attempt costs one map look-up; at most `kMaxRules` rules are kept, and
/// one more clears them all.

namespace yuccamast {

/// Timeouts of the callers of each rule. Not thread-safe.
class CallerTimeoutEstimator {
 public:
  /// Records that an attempt for `rule` arrived at `now` with `remaining` until
  /// its caller times out. Returns a lower bound of the time that the caller
  /// has waited before; zero unless an attempt of the window had clearly more
  /// time left (by more than the spread, see `kSpreadDivisor`).
  Duration EstimateElapsed(std::string_view rule,
                           Duration remaining,
                           TimePoint now) {
    auto found = m_by_rule.find(rule);
    if (found == m_by_rule.end()) {
      if (m_by_rule.size() >= kMaxRules) {
        m_by_rule.clear();  // Drops rules of earlier configurations.
      }
      found =
          m_by_rule.emplace(rule, LongestRemaining{remaining, remaining, now})
              .first;
    }
    LongestRemaining& longest = found->second;
    if (now - longest.period_start >= kPeriod) {
      longest.previous = longest.current;
      longest.current = remaining;
      longest.period_start = now;
    }
    longest.current = std::max(longest.current, remaining);
    const Duration timeout = std::max(longest.previous, longest.current);
    const Duration lower_bound = timeout - timeout / kSpreadDivisor;
    return std::max(Duration::zero(), lower_bound - remaining);
  }

 private:
  struct LongestRemaining {
    Duration previous{};  ///< In the previous period.
    Duration current{};   ///< In the current period.
    TimePoint period_start;
  };

  /// Timeouts of the callers of one rule differ by up to 1/`kSpreadDivisor`.
  static constexpr int kSpreadDivisor = 6;
  /// Length of a bucket. Callers change their timeout only when a new version
  /// of them is deployed, so a shorter timeout need not be learned faster.
  static constexpr Duration kPeriod = std::chrono::seconds(20);
  static constexpr std::size_t kMaxRules = 2000;

  std::map<std::string, LongestRemaining, std::less<>> m_by_rule;
};

}  // namespace yuccamast
