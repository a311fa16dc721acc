#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"

/// \file work_times.h
/// How long the calls of each rule hold their slot, as learned from the past.

namespace yuccamast {

/// Moving averages by rule. Not thread-safe.
class WorkTimes {
 public:
  /// A call of `rule` held its slot for `service`.
  void Learn(std::string_view rule, Duration service) {
    const auto found = m_average.find(rule);
    if (found == m_average.end()) {
      if (m_average.size() >= kMaxRules) {
        m_average.clear();  // Rules come and go with configurations.
      }
      m_average.emplace(rule, service);
      return;
    }
    found->second += (service - found->second) / kSpan;
  }

  /// The average for `rule`, or zero if none of its calls has ended yet.
  Duration Expected(std::string_view rule) const {
    const auto found = m_average.find(rule);
    return found == m_average.end() ? Duration::zero() : found->second;
  }

 private:
  /// Weight of a new sample is one over this.
  static constexpr int kSpan = 16;
  static constexpr std::size_t kMaxRules = 2000;

  std::map<std::string, Duration, std::less<>> m_average;
};

}  // namespace yuccamast
