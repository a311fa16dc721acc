#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "yuccamast/clock.h"

/// \file retry_after.h
/// When a refused caller should come back.
///
/// Input: the time until room is expected, the caller's objective and remaining
/// time, and the share of calls that are refused. Output: the value of
/// `Retry-After`.
///
/// A caller that comes back before there is room is refused again; callers that
/// come back together fill the room for the first of them only. So the value is
/// uniformly distributed from the expected wait on, over the time that it takes
/// to serve those who were refused. It ends where a reply could not be in time
/// any more, and at a third of the caller's remaining time: callers wait no
/// longer than that.

namespace yuccamast {

/// Share of calls that are refused, with exponential decay by calls. Not
/// thread-safe.
class RefusalShare {
 public:
  void OnServed() { m_share -= m_share / kEwmaWindow; }
  void OnRefused() { m_share += (1 - m_share) / kEwmaWindow; }
  /// In 0..1.
  double value() const { return m_share; }

 private:
  static constexpr double kEwmaWindow = 32;
  double m_share = 0;
};

/// Input of `RetryAfter`.
struct RetryAfterInput {
  /// Time until the room that was asked for is expected; 0: unknown.
  Duration expected_wait{};
  /// Time from now until a retry could not be in time any more; zero or less:
  /// that has passed, or there is no objective.
  Duration useful_time{};
  Duration remaining{};      ///< Of the caller, until its deadline.
  double refusal_share = 0;  ///< See `RefusalShare`.
};

/// The time after which to retry. `random` is uniformly distributed over its
/// whole range. A pure function, thread-safe.
inline Duration RetryAfter(const RetryAfterInput& input, std::uint64_t random) {
  using std::chrono::milliseconds;
  constexpr Duration kUnknownWait = milliseconds(100);
  constexpr Duration kMinWait = milliseconds(20);
  constexpr Duration kMinSpread = milliseconds(100);
  constexpr Duration kMaxSpread = milliseconds(1000);
  /// Time in which an unchanged flow of calls fills the share that is served.
  constexpr Duration kServingTime = milliseconds(250);
  constexpr std::int64_t kHonouredPart = 3;
  const double share = std::clamp(input.refusal_share, 0.0, 0.9);
  Duration from = input.expected_wait > Duration::zero()
                      ? std::max(input.expected_wait, kMinWait)
                      : kUnknownWait;
  Duration to =
      from +
      std::clamp(
          Duration(static_cast<std::int64_t>(
              static_cast<double>(kServingTime.count()) * share / (1 - share))),
          kMinSpread, kMaxSpread);
  if (input.useful_time > from) {
    to = std::min(to, input.useful_time);
  }
  if (input.remaining > Duration::zero()) {
    to = std::min(to, input.remaining / kHonouredPart);
  }
  // A caller that cannot wait for room still must not come back with all
  // others.
  from = std::min(from, to / 2);
  constexpr std::uint64_t kSteps = 1U << 16U;
  return from + (to - from) * static_cast<std::int64_t>(random % kSteps) /
                    static_cast<std::int64_t>(kSteps);
}

}  // namespace yuccamast
