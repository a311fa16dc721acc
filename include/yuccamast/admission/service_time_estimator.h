#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "yuccamast/clock.h"

/// \file service_time_estimator.h
/// Learns the service time, the time that a call holds its slot, for each rule.
///
/// Keeps an exponentially weighted moving average for each rule and one over
/// all rules, and for each rule that of the absolute deviation. The first
/// samples of a rule are averaged with equal weights. A sample costs a lookup
/// in a map of at most `kMaxRules` rules, O(log n).

namespace yuccamast {

/// Mean service times by rule. Not thread-safe.
class ServiceTimeEstimator {
 public:
  /// Records that a call of `rule` held its slot for `service`.
  void AddSample(std::string_view rule, Duration service) {
    const auto found = m_by_rule.find(rule);
    if (found == m_by_rule.end()) {
      if (m_by_rule.size() >= kMaxRules) {
        // Bounds the memory: rules that were replaced by a new configuration
        // are not removed one by one.
        m_by_rule.clear();
      }
      m_by_rule.emplace(rule, Average{service, {}, 1});
      m_overall_mean =
          m_overall_mean == Duration::zero() ? service : m_overall_mean;
      return;
    }
    Average& average = found->second;
    m_overall_mean += (service - m_overall_mean) / kEwmaWindow;
    average.samples = std::min(average.samples + 1, kEwmaWindow);
    average.deviation +=
        (std::chrono::abs(service - average.mean) - average.deviation) /
        average.samples;
    average.mean += (service - average.mean) / average.samples;
  }

  /// Mean over the calls of all rules; zero before the first sample. The first
  /// call of each rule is left out, except for the very first one.
  Duration OverallMean() const { return m_overall_mean; }

  /// Mean for `rule`; zero if there is no sample of it.
  Duration RuleMean(std::string_view rule) const {
    const auto found = m_by_rule.find(rule);
    return found == m_by_rule.end() ? Duration::zero() : found->second.mean;
  }

  /// Mean absolute deviation for `rule`; zero if there is no sample of it.
  Duration RuleDeviation(std::string_view rule) const {
    const auto found = m_by_rule.find(rule);
    return found == m_by_rule.end() ? Duration::zero()
                                    : found->second.deviation;
  }

 private:
  /// Weight of a new sample: at least one over this. Large, so that a mean
  /// covers much more than a slow period of the upstream, which is left to
  /// `SlowdownEstimator`.
  static constexpr int kEwmaWindow = 64;
  /// Rules kept at most. A further one drops the averages of all rules.
  static constexpr std::size_t kMaxRules = 2000;

  struct Average {
    Duration mean{};
    Duration deviation{};
    int samples = 0;
  };
  std::map<std::string, Average, std::less<>> m_by_rule;
  Duration m_overall_mean{};
};

}  // namespace yuccamast
