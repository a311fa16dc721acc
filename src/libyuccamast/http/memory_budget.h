#pragma once

#include <atomic>
#include <cstddef>

/// \file memory_budget.h
/// Limits the memory for message bodies that a node holds at one time.
///
/// `MemoryBudget` is a lock-free counter with a limit, shared by all threads.
/// `MemoryReservation` is the part that one message holds; it is released on
/// destruction (RAII). Nothing blocks: if a message does not fit, the
/// reservation fails at once and the owner of the message refuses it.

namespace yuccamast {

/// Counter of reserved bytes. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : m_limit(limit) {}

  /// Reserves `bytes` and returns true, or reserves nothing and returns false
  /// if that would exceed the limit. An attempt that fails is counted for an
  /// instant, so a concurrent one may fail although it would have fitted.
  bool TryReserve(std::size_t bytes) {
    const std::size_t old = m_used.fetch_add(bytes, std::memory_order_relaxed);
    if (old + bytes <= m_limit) {
      return true;
    }
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
  }

  /// Returns `bytes` to the budget. Precondition: they were reserved.
  void Release(std::size_t bytes) {
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
  }

  std::size_t used() const { return m_used.load(std::memory_order_relaxed); }
  std::size_t limit() const { return m_limit; }

 private:
  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
};

/// Bytes reserved from a budget, released on destruction. Not thread-safe. The
/// budget must outlive it.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget& budget) : m_budget(&budget) {}
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { Reset(); }

  /// Grows the reservation to `bytes` in total; never shrinks it. Returns false
  /// and changes nothing if the budget has too little left.
  bool GrowTo(std::size_t bytes) {
    if (bytes <= m_reserved) {
      return true;
    }
    if (!m_budget->TryReserve(bytes - m_reserved)) {
      return false;
    }
    m_reserved = bytes;
    return true;
  }

  /// Releases all bytes.
  void Reset() {
    m_budget->Release(m_reserved);
    m_reserved = 0;
  }

 private:
  MemoryBudget* m_budget;
  std::size_t m_reserved = 0;
};

}  // namespace yuccamast
