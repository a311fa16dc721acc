#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "yuccamast/clock.h"

/// \file caller_retry_tracker.h
/// Recognises a caller that comes back after it was refused or failed.
///
/// Its answer is worth most by an objective that counts from its first attempt,
/// but an attempt does not say that it is a second one. A caller that comes
/// back asks for the same, at the same entry, and has less time left than it
/// had. An entry therefore remembers for a moment what it turned away. Another
/// caller that asks for the same thing meanwhile has about as much time as the
/// first had, and is not taken for it.

namespace yuccamast {

/// What tells requests apart: hash of rule, method and target.
using RequestKey = std::size_t;

inline RequestKey KeyOfRequest(std::string_view rule,
                               std::string_view method,
                               std::string_view target) {
  constexpr std::size_t kMix = 31;
  const std::hash<std::string_view> hash;
  return (hash(rule) * kMix + hash(method)) * kMix + hash(target);
}

/// Callers of one entry thread that may come back. Not thread-safe.
class CallerRetryTracker {
 public:
  /// An attempt ended without success at `now`; its caller, who first asked at
  /// `first`, had `left` to wait.
  void OnTurnedAway(RequestKey key,
                    TimePoint first,
                    Duration left,
                    TimePoint now) {
    Forget(now);
    if (m_away.size() < kMaxAway) {
      m_away.emplace(now, Away{key, first, left});
      m_by_key.emplace(key, now);
    }
  }

  /// When the caller of an attempt that has `left` to wait first asked, if it
  /// is one that was turned away. Each is recognised once.
  std::optional<TimePoint> FirstAsked(RequestKey key,
                                      Duration left,
                                      TimePoint now) {
    Forget(now);
    const auto [begin, end] = m_by_key.equal_range(key);
    for (auto it = begin; it != end; ++it) {
      const auto away = FindAway(it->second, key);
      const Duration since = now - it->second;
      if (away != m_away.end() && left + since / 2 <= away->second.left) {
        const TimePoint first = away->second.first;
        m_away.erase(away);
        m_by_key.erase(it);
        return first;
      }
    }
    return std::nullopt;
  }

  std::size_t size() const { return m_away.size(); }

 private:
  struct Away {
    RequestKey key = 0;
    TimePoint first;
    Duration left{};
  };
  using AwayByTime = std::multimap<TimePoint, Away>;

  AwayByTime::iterator FindAway(TimePoint at, RequestKey key) {
    const auto [begin, end] = m_away.equal_range(at);
    for (auto it = begin; it != end; ++it) {
      if (it->second.key == key) {
        return it;
      }
    }
    return m_away.end();
  }

  void Forget(TimePoint now) {
    while (!m_away.empty() && now - m_away.begin()->first > kMemory) {
      const auto [at, away] = *m_away.begin();
      const auto [begin, end] = m_by_key.equal_range(away.key);
      for (auto it = begin; it != end; ++it) {
        if (it->second == at) {
          m_by_key.erase(it);
          break;
        }
      }
      m_away.erase(m_away.begin());
    }
  }

  /// `Retry-After` is shorter than this by far.
  static constexpr Duration kMemory = std::chrono::seconds(3);
  static constexpr std::size_t kMaxAway = 5000;

  AwayByTime m_away;
  std::multimap<RequestKey, TimePoint> m_by_key;
};

}  // namespace yuccamast
