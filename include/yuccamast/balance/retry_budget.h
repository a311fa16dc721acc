#pragma once

#include <atomic>

/// \file retry_budget.h
/// Retry budget: limits retries to a share of the first attempts, so that
/// retries can't multiply the load of a failing service.
///
/// A token bucket that is filled by traffic instead of time: each first attempt
/// adds `share` tokens, up to a cap, and each retry takes one. Over any period
/// retries are at most `share` times the first attempts plus the cap. Each node
/// has its own budget, so the bound holds for any number of entries without
/// communication; a bound on all nodes together is kept by giving each node its
/// part as the cap.

namespace yuccamast {

/// All methods are thread-safe and lock-free.
class RetryBudget {
 public:
  /// Initial cap, and initial number of tokens.
  static constexpr double kCap = 10.0;

  /// Sets the largest number of tokens; one token is one retry. Tokens beyond
  /// the new cap are dropped.
  void SetCap(double cap) {
    m_cap.store(cap, std::memory_order_relaxed);
    double old = m_tokens.load(std::memory_order_relaxed);
    while (old > cap && !m_tokens.compare_exchange_weak(
                            old, cap, std::memory_order_relaxed)) {
    }
  }

  /// Adds `share` (0..1) tokens for a first attempt.
  void OnFirstAttempt(double share) {
    double old = m_tokens.load(std::memory_order_relaxed);
    const double cap = m_cap.load(std::memory_order_relaxed);
    double next = 0;
    do {
      next = old + share > cap ? cap : old + share;
    } while (
        !m_tokens.compare_exchange_weak(old, next, std::memory_order_relaxed));
  }

  /// Takes a token for a retry. Returns false, and takes none, if less than
  /// one is left.
  bool TryTakeToken() {
    double old = m_tokens.load(std::memory_order_relaxed);
    do {
      if (old < 1.0) {
        return false;
      }
    } while (!m_tokens.compare_exchange_weak(old, old - 1.0,
                                             std::memory_order_relaxed));
    return true;
  }

  /// Number of tokens, with fractions.
  double tokens() const { return m_tokens.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_cap{kCap};
  std::atomic<double> m_tokens{kCap};
};

}  // namespace yuccamast
