#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "yuccamast/clock.h"

/// \file caller_retry_tracker.h
/// Recognises a caller's retry after an attempt that was refused or failed.
///
/// The objective of a rule counts from a caller's first attempt, but an attempt
/// does not say that it is a retry. A caller that retries sends the same
/// request to the same entry, with less time left than before. The tracker
/// therefore keeps unsuccessful attempts for `kRetention` and matches a new
/// attempt with the same key if its remaining time has shrunk by at least half
/// of the time since the failure. Another caller that sends the same request
/// meanwhile still has about its full timeout, and so does not match.
///
/// Each entry thread has its own tracker, so a retry on a connection of another
/// thread is not recognised.
///
/// Two multimaps, by time for expiry and by key for look-up; operations are
/// O(log n) plus the number of failed attempts with the same key. At most
/// `kMaxFailed` attempts are kept; while the table is full, further ones are
/// not recorded. The key is a hash: a collision can only make the entry count
/// an objective from a wrong first attempt.

namespace yuccamast {

/// Identifies a request: hash of rule, method and target.
using RequestKey = std::size_t;

inline RequestKey KeyOfRequest(std::string_view rule,
                               std::string_view method,
                               std::string_view target) {
  constexpr std::size_t kMultiplier = 31;
  const std::hash<std::string_view> hash;
  return (hash(rule) * kMultiplier + hash(method)) * kMultiplier + hash(target);
}

/// Unsuccessful attempts of the callers of one entry thread. Not thread-safe.
class CallerRetryTracker {
 public:
  /// Records that an attempt ended without success at `now`. Its caller made
  /// its first attempt at `first_attempt` and had `remaining` until its
  /// timeout.
  void RecordFailure(RequestKey key,
                     TimePoint first_attempt,
                     Duration remaining,
                     TimePoint now) {
    Expire(now);
    if (m_failed.size() < kMaxFailed) {
      m_failed.emplace(now, FailedAttempt{key, first_attempt, remaining});
      m_by_key.emplace(key, now);
    }
  }

  /// If an attempt with `remaining` until its caller's timeout is a retry of a
  /// recorded one, removes the record and returns the time of the caller's
  /// first attempt; nothing otherwise. Each record matches once.
  std::optional<TimePoint> TakeFirstAttempt(RequestKey key,
                                            Duration remaining,
                                            TimePoint now) {
    Expire(now);
    const auto [begin, end] = m_by_key.equal_range(key);
    for (auto it = begin; it != end; ++it) {
      const auto failed = FindFailed(it->second, key);
      const Duration elapsed = now - it->second;
      if (failed != m_failed.end() &&
          remaining + elapsed / 2 <= failed->second.remaining) {
        const TimePoint first_attempt = failed->second.first_attempt;
        m_failed.erase(failed);
        m_by_key.erase(it);
        return first_attempt;
      }
    }
    return std::nullopt;
  }

  /// Number of recorded attempts.
  std::size_t size() const { return m_failed.size(); }

 private:
  struct FailedAttempt {
    RequestKey key = 0;
    TimePoint first_attempt;
    Duration remaining{};
  };
  using FailedByTime = std::multimap<TimePoint, FailedAttempt>;

  FailedByTime::iterator FindFailed(TimePoint at, RequestKey key) {
    const auto [begin, end] = m_failed.equal_range(at);
    for (auto it = begin; it != end; ++it) {
      if (it->second.key == key) {
        return it;
      }
    }
    return m_failed.end();
  }

  void Expire(TimePoint now) {
    while (!m_failed.empty() && now - m_failed.begin()->first > kRetention) {
      const auto [at, failed] = *m_failed.begin();
      const auto [begin, end] = m_by_key.equal_range(failed.key);
      for (auto it = begin; it != end; ++it) {
        if (it->second == at) {
          m_by_key.erase(it);
          break;
        }
      }
      m_failed.erase(m_failed.begin());
    }
  }

  /// Well above the delay of at most half a second that `Retry-After` asks for
  /// (see entry_worker.cpp).
  static constexpr Duration kRetention = std::chrono::seconds(3);
  static constexpr std::size_t kMaxFailed = 5000;

  FailedByTime m_failed;
  std::multimap<RequestKey, TimePoint> m_by_key;
};

}  // namespace yuccamast
