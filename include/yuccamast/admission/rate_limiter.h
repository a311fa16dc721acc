#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>

#include "yuccamast/clock.h"

/// \file rate_limiter.h
/// Limits the starts of calls to a rate that may be set and lifted at any time.
///
/// A token bucket: each start takes a token, tokens are added at the rate, and
/// at most `1 + rate * kBurst` are kept. So any span of t seconds in which the
/// limit holds has at most `1 + rate * (t + kBurst)` starts. A limit that is
/// set begins with one token, since starts before it are not known here.

namespace yuccamast {

/// Not thread-safe. The argument `now` must not decrease from call to call.
class RateLimiter {
 public:
  /// Seconds at the rate that may be saved up.
  static constexpr double kBurst = 0.5;
  /// Lowest rate, in starts per second: a few calls are let through however low
  /// the limit is, so that its end is noticed.
  static constexpr double kMinRate = 0.25;

  /// Sets the rate in starts per second, or lifts the limit. Tokens are kept
  /// when a rate replaces another one.
  void SetRate(std::optional<double> rate, TimePoint now) {
    if (!rate) {
      m_rate = 0;
      return;
    }
    m_tokens = IsLimited() ? TokensAt(now) : 1.0;
    m_filled_at = now;
    m_rate = std::max(*rate, kMinRate);
    m_tokens = std::min(m_tokens, Capacity());
  }

  /// Whether a limit is set.
  bool IsLimited() const { return m_rate > 0; }
  /// The rate in starts per second; 0: no limit.
  double rate() const { return m_rate; }

  /// Takes a token for a start; the balance may become negative.
  void Take(TimePoint now) {
    if (IsLimited()) {
      m_tokens = TokensAt(now) - 1.0;
      m_filled_at = now;
    }
  }

  /// Starts that are possible now.
  std::size_t StartsLeft(TimePoint now) const {
    return IsLimited() ? static_cast<std::size_t>(std::max(0.0, TokensAt(now)))
                       : std::numeric_limits<std::size_t>::max();
  }

  /// Time until a call may start, with `ahead` calls to start before it. Zero
  /// if it may start now.
  Duration WaitFor(std::size_t ahead, TimePoint now) const {
    const double missing =
        static_cast<double>(ahead) + 1.0 - (IsLimited() ? TokensAt(now) : 0.0);
    return !IsLimited() || missing <= 0
               ? Duration::zero()
               : Duration(std::chrono::ceil<Duration>(
                     std::chrono::duration<double>(missing / m_rate)));
  }

 private:
  double Capacity() const { return 1.0 + m_rate * kBurst; }
  double TokensAt(TimePoint now) const {
    const std::chrono::duration<double> elapsed = now - m_filled_at;
    return std::min(m_tokens + elapsed.count() * m_rate, Capacity());
  }

  double m_rate = 0;
  double m_tokens = 0;  ///< At `m_filled_at`.
  TimePoint m_filled_at{};
};

}  // namespace yuccamast
