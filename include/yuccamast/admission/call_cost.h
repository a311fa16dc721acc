#pragma once

#include <algorithm>
#include <bit>
#include <chrono>
#include <compare>
#include <cstdint>

#include "yuccamast/clock.h"

/// \file call_cost.h
/// What it costs callers to delay or refuse a call while room is short: the one
/// measure by which calls are ordered, displaced and refused.
///
/// Input: the call's urgency, whether it is nested or idempotent, its
/// objective and deadline, its expected service time with the mean deviation,
/// the time, and the expected wait. Output: the call's prospect, and a rank of
/// which the smallest is served first.
///
/// - Prospect: a call that can be in time goes before one that can only be
///   late, and that one before a call that cannot reach its deadline any more.
/// - A nested call goes before others, because refusing it wastes the work that
///   its parent has done and the slot that the parent holds.
/// - Urgency is strict. It belongs to the rule and is set by the operator, so a
///   caller cannot raise its own.
/// - At equal urgency, calls rank by value for each unit of work (Smith's rule,
///   weighted shortest job first). The value is 1, and 2 for a call that is
///   not idempotent, since its caller may not simply repeat it. The work is the
///   expected service time plus its mean deviation, in classes of a factor of
///   two, so that noise of the estimate does not reorder calls.
/// - Within a class the earliest objective goes first, or the deadline without
///   one (earliest deadline first).
///
/// All functions are pure and thread-safe. See docs/design/014-short-room.md.

namespace yuccamast {

/// Properties of a call that its cost depends on.
struct CallTraits {
  std::uint32_t urgency = 0;  ///< 0 is the most urgent.
  bool nested = false;        ///< Made while serving another call.
  bool idempotent = false;
  TimePoint objective{};  ///< `TimePoint{}`: no objective.
  TimePoint deadline;
  /// Expected service time at the present speed; 0: unknown.
  Duration expected_service{};
  /// Mean absolute deviation of the service time; 0: unknown.
  Duration service_deviation{};
};

/// What a call can still be worth to its caller.
enum class Prospect : std::uint8_t {
  kInTime,   ///< Can be answered by its objective, or has none.
  kLate,     ///< By its deadline only.
  kUseless,  ///< Not even by its deadline.
};

/// Prospect of a call that is started after `wait`. A call without an objective
/// is in time until its deadline.
inline Prospect ProspectOf(const CallTraits& call,
                           Duration wait,
                           TimePoint now) {
  const TimePoint end = now + wait + call.expected_service;
  if (end >= call.deadline) {
    return Prospect::kUseless;
  }
  return call.objective != TimePoint{} && end > call.objective
             ? Prospect::kLate
             : Prospect::kInTime;
}

/// Rank of a call by the cost of refusing it; smaller is dearer to refuse and
/// is served first.
struct CallRank {
  bool not_nested = true;
  std::uint32_t urgency = 0;
  /// Logarithm to base two of work for each unit of value.
  std::int32_t work_class = 0;
  TimePoint due;  ///< The objective; without one, the deadline.
  auto operator<=>(const CallRank&) const = default;

  /// Whether this call costs callers more than `other` by more than its due
  /// time, so that it may take the other one's place.
  bool Displaces(const CallRank& other) const {
    CallRank same_due = *this;
    same_due.due = other.due;
    return same_due < other;
  }
};

/// Logarithm to base two of work for each unit of value, rounded down. Unknown
/// work (0) counts as one millisecond.
inline std::int32_t WorkClassOf(const CallTraits& call) {
  const Duration work = call.expected_service + call.service_deviation;
  const auto work_us = static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          work > Duration::zero() ? work : std::chrono::milliseconds(1))
          .count(),
      1));
  // Twice the value halves the work for each unit of it.
  return std::bit_width(work_us) - (call.idempotent ? 0 : 1);
}

/// The rank of a call; does not depend on the time.
inline CallRank RankOf(const CallTraits& call) {
  return {!call.nested, call.urgency, WorkClassOf(call),
          call.objective != TimePoint{} ? call.objective : call.deadline};
}

}  // namespace yuccamast
