#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"

/// \file service_time_estimator.h
/// How long the calls of each rule hold their slot, as learned from the past.

namespace yuccamast {

/// Moving averages by rule. Not thread-safe.
class ServiceTimeEstimator {
 public:
  /// A call of `rule` held its slot for `service`.
  void AddSample(std::string_view rule, Duration service) {
    const auto found = m_average.find(rule);
    if (found == m_average.end()) {
      if (m_average.size() >= kMaxRules) {
        m_average.clear();  // Rules come and go with configurations.
      }
      m_average.emplace(rule, Average{service, 1});
      m_typical = m_typical == Duration::zero() ? service : m_typical;
      return;
    }
    Average& average = found->second;
    m_typical += (service - m_typical) / kSpan;
    average.samples = std::min(average.samples + 1, kSpan);
    average.mean += (service - average.mean) / average.samples;
  }

  /// The average over the calls of all rules; zero if none has ended yet.
  Duration OverallMean() const { return m_typical; }

  /// The average for `rule`, or zero if none of its calls has ended yet.
  Duration Expected(std::string_view rule) const {
    const auto found = m_average.find(rule);
    return found == m_average.end() ? Duration::zero() : found->second.mean;
  }

 private:
  /// Weight of a new sample is one over this at least. Much longer than a
  /// slow spell of the upstream, which is the concern of `SlowdownEstimator`.
  static constexpr int kSpan = 64;
  static constexpr std::size_t kMaxRules = 2000;

  struct Average {
    Duration mean{};
    int samples = 0;
  };
  std::map<std::string, Average, std::less<>> m_average;
  Duration m_typical{};
};

}  // namespace yuccamast
