#pragma once

#include <atomic>

/// \file retry_budget.h
/// Bounds how far retries can multiply load.
///
/// Each first attempt earns `share` of a retry, each retry spends one. Over
/// any span, retries are at most `share` times the first attempts plus the cap.
/// Every node keeps its own budget, so the bound holds for any number of
/// entries without their knowing of each other. A bound on all nodes together
/// is kept by giving each node its part as the cap.

namespace yuccamast {

/// Thread-safe, without locks.
class RetryBudget {
 public:
  /// Retries that can be saved up, unless set otherwise.
  static constexpr double kCap = 10.0;

  /// Sets how many retries can be saved up. What is saved beyond is lost.
  void SetCap(double cap) {
    m_cap.store(cap, std::memory_order_relaxed);
    double old = m_tokens.load(std::memory_order_relaxed);
    while (old > cap && !m_tokens.compare_exchange_weak(
                            old, cap, std::memory_order_relaxed)) {
    }
  }

  /// Earns for one first attempt. `share` is in 0..1.
  void OnFirstAttempt(double share) {
    double old = m_tokens.load(std::memory_order_relaxed);
    const double cap = m_cap.load(std::memory_order_relaxed);
    double next = 0;
    do {
      next = old + share > cap ? cap : old + share;
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
  std::atomic<double> m_cap{kCap};
  std::atomic<double> m_tokens{kCap};
};

}  // namespace yuccamast
