#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

/// \file memory_budget.h
/// The account of the memory that a node holds for callers, upstreams and peers
/// together.
///
/// `MemoryBudget` is a lock-free counter with a limit, shared by all threads.
/// `MemoryReservation` is the part that one holder has; it is released on
/// destruction (RAII). Nothing blocks: if bytes do not fit, the reservation
/// fails at once and its owner refuses, waits or closes.
///
/// Admission by stage: a message passes several holders, from the body of a
/// request to the reply that is written to its caller. Each kind of holder may
/// reserve only as long as all bytes together stay under its share of the
/// limit (`ShareOf`), and later stages have larger shares. So what is under way
/// always finds room to leave, however much tries to come in.

namespace yuccamast {

/// Kinds of holders, by stage.
enum class MemoryUse : std::uint8_t {
  kRequest,  ///< Body of a request, while it is read or its call is handled.
  kOffer,    ///< Message or body at an exit, from its offer to its end.
  kReply,    ///< Reply of an upstream, while it is read.
  kQueued,   ///< Message that waits to be sent to a peer.
  kAnswer,   ///< Message of a peer, while it is received at an entry.
  kWritten,  ///< Reply that is being written to its caller.
  kCount
};

/// Names of the kinds of holders, by value.
inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(MemoryUse::kCount)>
    kMemoryUseNames = {"request", "offer",  "reply",
                       "queued",  "answer", "written"};

/// Counter of reserved bytes. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : m_limit(limit) {}

  /// A budget without a limit, for holders that nobody gave one.
  static MemoryBudget& Unlimited() {
    static MemoryBudget budget(std::numeric_limits<std::size_t>::max() / 2);
    return budget;
  }

  /// Reserves `bytes` and returns true, or reserves nothing and returns false
  /// if all bytes would then exceed the share of `use`. An attempt that fails
  /// is counted for an instant, so a concurrent one may fail although it would
  /// have fitted.
  bool TryReserve(std::size_t bytes, MemoryUse use = MemoryUse::kRequest) {
    const std::size_t old = m_used.fetch_add(bytes, std::memory_order_relaxed);
    if (old + bytes <= ShareOf(use)) {
      Slot(use).fetch_add(bytes, std::memory_order_relaxed);
      return true;
    }
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
    m_failures.fetch_add(1, std::memory_order_relaxed);
    if (use == MemoryUse::kRequest && bytes <= ShareOf(use)) {
      m_turned_away.fetch_add(1, std::memory_order_relaxed);
    }
    return false;
  }

  /// Reserves `bytes` whatever the limit says. For bytes that are already in
  /// memory and whose number is bounded by their holder.
  void Reserve(std::size_t bytes, MemoryUse use) {
    m_used.fetch_add(bytes, std::memory_order_relaxed);
    Slot(use).fetch_add(bytes, std::memory_order_relaxed);
  }

  /// Returns `bytes` to the budget. Precondition: they were reserved.
  void Release(std::size_t bytes, MemoryUse use = MemoryUse::kRequest) {
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
    Slot(use).fetch_sub(bytes, std::memory_order_relaxed);
  }

  /// Whether `TryReserve` would succeed now.
  bool HasRoom(std::size_t bytes, MemoryUse use) const {
    return used() + bytes <= ShareOf(use);
  }

  /// Bytes that all holders together may have for `use` to reserve.
  std::size_t ShareOf(MemoryUse use) const {
    const std::size_t eighth = m_limit / 8;
    switch (use) {
      case MemoryUse::kRequest:
        return 5 * eighth;
      case MemoryUse::kOffer:
        return 6 * eighth;
      case MemoryUse::kReply:
        return 7 * eighth;
      default:
        return m_limit;
    }
  }

  /// By how much the bytes held exceed what lets new requests in; 0 if not.
  /// `is_short`: requests were turned away lately, though less is held.
  std::size_t Excess(bool is_short = false) const {
    const std::size_t enough = m_limit / 2;
    const std::size_t now = used();
    is_short = is_short || now > ShareOf(MemoryUse::kRequest);
    return is_short && now > enough ? now - enough : 0;
  }

  std::size_t used() const { return m_used.load(std::memory_order_relaxed); }
  std::size_t used(MemoryUse use) const {
    return m_used_by.at(static_cast<std::size_t>(use))
        .load(std::memory_order_relaxed);
  }
  std::size_t limit() const { return m_limit; }
  /// Reservations that failed so far.
  std::size_t failures() const {
    return m_failures.load(std::memory_order_relaxed);
  }
  /// Reservations of requests that failed so far, except those that could never
  /// succeed.
  std::size_t turned_away() const {
    return m_turned_away.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::size_t>& Slot(MemoryUse use) {
    return m_used_by.at(static_cast<std::size_t>(use));
  }

  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
  std::atomic<std::size_t> m_failures{0};
  std::atomic<std::size_t> m_turned_away{0};
  std::array<std::atomic<std::size_t>,
             static_cast<std::size_t>(MemoryUse::kCount)>
      m_used_by{};
};

/// Bytes reserved from a budget, released on destruction. Not thread-safe. The
/// budget must outlive it.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget& budget,
                             MemoryUse use = MemoryUse::kRequest)
      : m_budget(&budget), m_use(use) {}
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { Reset(); }

  /// Grows the reservation to `bytes` in total; never shrinks it. Returns false
  /// and changes nothing if the budget has too little left.
  bool GrowTo(std::size_t bytes) {
    if (bytes <= m_reserved) {
      return true;
    }
    if (!m_budget->TryReserve(bytes - m_reserved, m_use)) {
      return false;
    }
    m_reserved = bytes;
    return true;
  }

  /// Makes the reservation `bytes` of `use`, whatever the limit says.
  void SetTo(std::size_t bytes, MemoryUse use) {
    m_budget->Reserve(bytes, use);
    m_budget->Release(m_reserved, m_use);
    m_reserved = bytes;
    m_use = use;
  }

  /// Takes over what `other` holds, of the same budget. Precondition: this
  /// holds nothing.
  void TakeFrom(MemoryReservation& other) {
    m_use = other.m_use;
    m_reserved = other.m_reserved;
    other.m_reserved = 0;
  }

  /// Releases all bytes.
  void Reset() {
    m_budget->Release(m_reserved, m_use);
    m_reserved = 0;
  }

  std::size_t bytes() const { return m_reserved; }

 private:
  MemoryBudget* m_budget;
  MemoryUse m_use;
  std::size_t m_reserved = 0;
};

}  // namespace yuccamast
