#pragma once

#include <atomic>

/// \file retry_budget.h
/// Bounds how far retries can multiply load.
///
/// Each first attempt earns `share` of a retry, each retry spends one. Over
/// any span, retries are at most `share` times the first attempts plus `kCap`.
/// Every node keeps its own budget, so the bound holds for any number of
/// entries without their knowing of each other.

namespace yuccamast {

/// Thread-safe, without locks.
class RetryBudget {
 public:
  /// Retries that can be saved up.
  static constexpr double kCap = 10.0;

  /// Earns for one first attempt. `share` is in 0..1.
  void OnFirstAttempt(double share) {
    double old = m_tokens.load(std::memory_order_relaxed);
    double next = 0;
    do {
      next = old + share > kCap ? kCap : old + share;
    } while (
        !m_tokens.compare_exchange_weak(old, next, std::memory_order_relaxed));
  }

  /// Spends one retry. False if the budget is used up.
  bool TryRetry() {
    double old = m_tokens.load(std::memory_order_relaxed);
    do {
      if (old < 1.0) {
        return false;
      }
    } while (!m_tokens.compare_exchange_weak(old, old - 1.0,
                                             std::memory_order_relaxed));
    return true;
  }

  double tokens() const { return m_tokens.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_tokens{kCap};
};

}  // namespace yuccamast
