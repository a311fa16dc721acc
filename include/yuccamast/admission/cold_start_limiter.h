#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>

#include "yuccamast/clock.h"

/// \file cold_start_limiter.h
/// Limits the starts of calls at an upstream that may be cold.
///
/// A cold upstream bears a few calls per second only, and may become cold at
/// any moment. It says so on its health page, so the exit learns of it later
/// than the first calls reach it.
///
/// Input: the starts of calls, and the replies of the health page with the time
/// at which each was requested. Output: whether a call may start now.
///
/// Algorithm: a sliding-window log of the starts that are not known to have
/// reached a warm upstream. A reply that says "warm" removes the starts before
/// its request; starts older than the window leave it. A call may start while
/// the log holds fewer starts than the limit. As no start at a cold upstream
/// can be followed by the request of a reply that says "warm" while it stays
/// cold, each window of one second in which the upstream is cold has at most
/// the limit of starts, however late the news arrive. While the upstream is
/// warm, the owner asks for a reply whenever half of the log is used
/// (`NeedsProof`), and the limit doesn't bind.
///
/// A call counts from its start; its place in the window is the time at which
/// its request is sent (`OnSent`), since connecting may take long.

namespace yuccamast {

/// Not thread-safe. The argument `now` must not decrease from call to call.
class ColdStartLimiter {
 public:
  /// Length of the window for which upstreams state their limit.
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /// Limit of an upstream that says that it is cold, as long as its
  /// configuration isn't known.
  static constexpr double kUnconfiguredLimit = 4;

  /// Sets the starts per second that a cold upstream bears; 0: no limit. A
  /// limit below 1 counts as 1, so that calls show when it ends. `cold_time`:
  /// longest time for which an upstream is cold; 0: unknown.
  void SetLimit(double per_second, Duration cold_time = Duration::zero()) {
    m_limit = per_second;
    m_cold_time = cold_time;
  }

  /// Another process may have started calls within the last window: a part of
  /// the limit counts as used until they have left it, or until the upstream is
  /// found to be warm, or cold only since this process started.
  void OnRestart(TimePoint now) {
    m_restarted_at = now;
    m_others_until = now + kWindow;
  }

  /// A call was started. To be followed by one `OnSent` or `OnNotSent`.
  void OnStart() { ++m_unsent; }
  /// Its request is about to be written to a connection.
  void OnSent(TimePoint now) {
    --m_unsent;
    DropOld(now);
    m_sent.push_back(now);
  }
  /// It ended before that.
  void OnNotSent() { --m_unsent; }

  /// The health page said, in reply to a request sent at `asked_at`, that the
  /// upstream is warm.
  void OnWarm(TimePoint asked_at, TimePoint now) {
    m_sent.erase(m_sent.begin(), std::ranges::lower_bound(m_sent, asked_at));
    m_others_until = std::min(m_others_until, asked_at);
    m_is_cold = false;
    m_proven_at = now;
  }
  /// The health page said that the upstream stays cold until `until`.
  void OnCold(TimePoint until) {
    m_is_cold = true;
    m_cold_until = until;
    if (m_cold_time > Duration::zero() &&
        until - m_cold_time + kReplacementTime >= m_restarted_at) {
      m_others_until = TimePoint{};
    }
  }

  /// Whether the last word was that the upstream is cold.
  bool is_cold() const { return m_is_cold; }
  /// Time for which the upstream is expected to stay cold.
  Duration ColdRemaining(TimePoint now) const {
    return m_is_cold ? std::max(m_cold_until - now, Duration::zero())
                     : Duration::zero();
  }

  /// Starts per second at a cold upstream; 0: no limit.
  double limit() const {
    return m_limit ? *m_limit : (m_is_cold ? kUnconfiguredLimit : 0);
  }

  /// Starts that are possible now.
  std::size_t StartsLeft(TimePoint now) const {
    if (limit() <= 0) {
      return std::numeric_limits<std::size_t>::max();
    }
    const std::size_t used = Used(now);
    return Capacity() - std::min(used, Capacity());
  }

  /// Whether a reply of the health page is needed soon: the calls that follow
  /// would have to wait for it.
  bool NeedsProof(TimePoint now) const {
    return limit() > 0 &&
           (m_is_cold ? now >= m_cold_until : 2 * Used(now) >= Capacity());
  }

  /// Expected time until a call may start, with `ahead` calls to start before
  /// it; zero if it may start now.
  Duration WaitFor(std::size_t ahead, TimePoint now) const {
    const std::size_t left = StartsLeft(now);
    if (ahead < left) {
      return Duration::zero();
    }
    const std::size_t behind = ahead - left;
    if (!m_is_cold && now - m_proven_at < kProofPatience) {
      return kProofTime * static_cast<std::int64_t>(1 + behind / Capacity());
    }
    return TimeUntilLeft(behind, now);
  }

 private:
  /// Expected time until the health page of a warm upstream has replied, for an
  /// estimate of the wait, and the time without a reply after which none is
  /// expected soon.
  static constexpr Duration kProofTime = std::chrono::milliseconds(5);
  static constexpr Duration kProofPatience = std::chrono::milliseconds(500);

  /// A process that replaces another one is not there sooner after its end.
  static constexpr Duration kReplacementTime = std::chrono::milliseconds(100);
  /// Part of the limit that is left to this process after a restart: one over
  /// this.
  static constexpr std::size_t kOwnPart = 5;

  std::size_t Capacity() const {
    return static_cast<std::size_t>(std::max(1.0, std::floor(limit())));
  }
  /// Starts of other processes that are assumed to be in the window.
  std::size_t Others(TimePoint now) const {
    return now < m_others_until ? Capacity() - Capacity() / kOwnPart : 0;
  }
  std::deque<TimePoint>::const_iterator FirstInWindow(TimePoint now) const {
    return std::ranges::upper_bound(m_sent, now - kWindow);
  }
  std::size_t Used(TimePoint now) const {
    return m_unsent + Others(now) +
           static_cast<std::size_t>(m_sent.end() - FirstInWindow(now));
  }
  void DropOld(TimePoint now) {
    m_sent.erase(m_sent.begin(), FirstInWindow(now));
  }

  /// Time until the start number `index` of those that use the window, in the
  /// order in which they leave it, has left it.
  Duration TimeUntilLeft(std::size_t index, TimePoint now) const {
    if (index < Others(now)) {
      return m_others_until - now;
    }
    const std::size_t own = index - Others(now);
    const auto first = FirstInWindow(now);
    if (own < static_cast<std::size_t>(m_sent.end() - first)) {
      return *(first + static_cast<std::ptrdiff_t>(own)) + kWindow - now;
    }
    return kWindow * static_cast<std::int64_t>(1 + index / Capacity());
  }

  std::optional<double> m_limit;  ///< Not set: the configuration isn't known.
  bool m_is_cold = false;
  Duration m_cold_time{};
  TimePoint m_cold_until{};
  TimePoint m_restarted_at{};
  TimePoint m_proven_at{};       ///< Last reply that said "warm".
  TimePoint m_others_until{};    ///< See `OnRestart`.
  std::size_t m_unsent = 0;      ///< Started, request not written yet.
  std::deque<TimePoint> m_sent;  ///< Ascending.
};

}  // namespace yuccamast
