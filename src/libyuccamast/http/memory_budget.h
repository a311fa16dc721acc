#pragma once

#include <atomic>
#include <cstddef>

/// \file memory_budget.h
/// Bounds the bytes of message bodies that a node holds at one time.

namespace yuccamast {

/// Thread-safe counter with a limit.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : m_limit(limit) {}

  /// Takes `bytes`, or nothing and returns false.
  bool TryTake(std::size_t bytes) {
    const std::size_t old = m_used.fetch_add(bytes, std::memory_order_relaxed);
    if (old + bytes <= m_limit) {
      return true;
    }
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
  }

  void Give(std::size_t bytes) {
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
  }

  std::size_t used() const { return m_used.load(std::memory_order_relaxed); }
  std::size_t limit() const { return m_limit; }

 private:
  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
};

/// A share of a budget that is given back on destruction. Not thread-safe.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget& budget) : m_budget(&budget) {}
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { Reset(); }

  /// Grows the share to `bytes` in all. False if the budget is used up.
  bool GrowTo(std::size_t bytes) {
    if (bytes <= m_taken) {
      return true;
    }
    if (!m_budget->TryTake(bytes - m_taken)) {
      return false;
    }
    m_taken = bytes;
    return true;
  }

  void Reset() {
    m_budget->Give(m_taken);
    m_taken = 0;
  }

 private:
  MemoryBudget* m_budget;
  std::size_t m_taken = 0;
};

}  // namespace yuccamast
