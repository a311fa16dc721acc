#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

/// \file running_call_ids.h
/// Ids of the calls that run at the upstream beside the node.
///
/// A call that comes from the node's own VM may be nested in one of them, and
/// is then worth more than a new one: a run and its slot wait for it. The exit
/// writes the table, entries read it on the path of each request, so it is an
/// array of atomics. It is a hint: ids are kept as hashes, and a full table
/// leaves some out.

namespace yuccamast {

class RunningCallIds {
 public:
  /// Place of an id in the table.
  using Place = std::size_t;
  static constexpr Place kNowhere = static_cast<Place>(-1);

  /// Notes that the call `id` runs. Exit's thread only. `kNowhere` if there is
  /// no room near its place.
  Place Add(std::string_view id) {
    const std::uint64_t hash = HashOf(id);
    for (std::size_t step = 0; step < kSteps; ++step) {
      const Place place = (hash + step) % kSize;
      if (m_ids.at(place).load(std::memory_order_relaxed) == 0) {
        m_ids.at(place).store(hash, std::memory_order_release);
        return place;
      }
    }
    return kNowhere;
  }

  /// The call at `place` has ended. Exit's thread only; any place may be given.
  void Remove(Place place) {
    if (place < kSize) {
      m_ids.at(place).store(0, std::memory_order_release);
    }
  }

  /// Whether the call `id` runs. Thread-safe.
  bool Contains(std::string_view id) const {
    const std::uint64_t hash = HashOf(id);
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (m_ids.at((hash + step) % kSize).load(std::memory_order_acquire) ==
          hash) {
        return true;
      }
    }
    return false;
  }

 private:
  /// Many times the slots of an upstream.
  static constexpr std::size_t kSize = 512;
  /// Places near its own where an id may stand.
  static constexpr std::size_t kSteps = 8;

  static std::uint64_t HashOf(std::string_view id) {
    return std::hash<std::string_view>{}(id) | 1U;  // 0 is a free place.
  }

  std::array<std::atomic<std::uint64_t>, kSize> m_ids{};
};

}  // namespace yuccamast
