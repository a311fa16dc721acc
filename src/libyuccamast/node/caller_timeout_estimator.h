#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"

/// \file caller_timeout_estimator.h
/// How long a caller has waited already when its attempt arrives.
///
/// A caller that was refused comes back with less time left, and its answer is
/// worth most by an objective that counts from its first attempt. An attempt
/// says only how long its caller will still wait; the callers of one rule set
/// out with about the same patience, so the longest that was seen lately tells
/// how much is gone.

namespace yuccamast {

/// Patience of the callers of each rule. Not thread-safe.
class CallerTimeoutEstimator {
 public:
  /// Notes that an attempt of `rule` gives `left`, and returns the least time
  /// that its caller has waited before. Zero until more is known.
  Duration Waited(std::string_view rule, Duration left, TimePoint now) {
    auto found = m_rules.find(rule);
    if (found == m_rules.end()) {
      if (m_rules.size() >= kMaxRules) {
        m_rules.clear();  // Rules come and go with configurations.
      }
      found = m_rules.emplace(rule, Longest{left, left, now}).first;
    }
    Longest& longest = found->second;
    if (now - longest.since >= kMemory) {
      longest.before = longest.present;
      longest.present = left;
      longest.since = now;
    }
    longest.present = std::max(longest.present, left);
    const Duration whole = std::max(longest.before, longest.present);
    const Duration sure = whole - whole / kSpread;
    return std::max(Duration::zero(), sure - left);
  }

 private:
  struct Longest {
    Duration before{};   ///< In the last period.
    Duration present{};  ///< In this one.
    TimePoint since;
  };

  /// Callers of one rule differ in patience by one part in this.
  static constexpr int kSpread = 6;
  /// Patience changes with the callers' own releases; this is soon enough.
  static constexpr Duration kMemory = std::chrono::seconds(20);
  static constexpr std::size_t kMaxRules = 2000;

  std::map<std::string, Longest, std::less<>> m_rules;
};

}  // namespace yuccamast
