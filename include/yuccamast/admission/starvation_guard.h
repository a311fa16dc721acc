#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include "yuccamast/clock.h"

/// \file starvation_guard.h
/// Finds the kinds of calls that a strict order would starve.
///
/// Input: each call of a kind that was offered, and each that was started.
/// Output: whether a kind is starved, that is, started little more than a
/// quarter as often as all calls together. Counts decay with a half-life of two
/// seconds.
///
/// A starved kind is served first until it has its share again. Since the
/// comparison is with the share of all calls, a less urgent kind never gets a
/// larger share by it than a more urgent one that is starved too.

namespace yuccamast {

/// Not thread-safe. `now` must not decrease from call to call. The number of
/// kinds is bounded: the one that was offered longest ago is dropped.
class StarvationGuard {
 public:
  void OnOffered(std::uint64_t kind, TimePoint now) {
    if (m_by_kind.size() >= kMaxKinds && !m_by_kind.contains(kind)) {
      m_by_kind.erase(std::ranges::min_element(
          m_by_kind, {}, [](const auto& item) { return item.second.at; }));
    }
    Add(m_by_kind[kind], 1, 0, now);
    Add(m_all, 1, 0, now);
  }

  void OnStarted(std::uint64_t kind, TimePoint now) {
    Add(m_by_kind[kind], 0, 1, now);
    Add(m_all, 0, 1, now);
  }

  /// Whether calls of this kind are to be served first. False until a few of
  /// them were offered lately.
  bool IsStarved(std::uint64_t kind, TimePoint now) const {
    const auto found = m_by_kind.find(kind);
    if (found == m_by_kind.end()) {
      return false;
    }
    const Counts counts = Decayed(found->second, now);
    const Counts all = Decayed(m_all, now);
    return counts.offered >= kMinOffered &&
           counts.started * all.offered <
               kMinShare * all.started * counts.offered;
  }

 private:
  /// Share of started calls, relative to all calls, below which a kind counts
  /// as starved.
  static constexpr double kMinShare = 0.28;
  static constexpr double kMinOffered = 3;
  static constexpr Duration kHalfLife = std::chrono::seconds(2);
  static constexpr std::size_t kMaxKinds = 64;

  struct Counts {
    double offered = 0;
    double started = 0;
    TimePoint at{};
  };

  static Counts Decayed(const Counts& counts, TimePoint now) {
    const double factor =
        std::exp2(-static_cast<double>((now - counts.at).count()) /
                  static_cast<double>(kHalfLife.count()));
    return {counts.offered * factor, counts.started * factor, now};
  }
  static void Add(Counts& counts,
                  double offered,
                  double started,
                  TimePoint now) {
    counts = Decayed(counts, now);
    counts.offered += offered;
    counts.started += started;
  }

  std::map<std::uint64_t, Counts> m_by_kind;
  Counts m_all;
};

}  // namespace yuccamast
