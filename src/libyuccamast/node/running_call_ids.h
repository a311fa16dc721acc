#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

/// \file running_call_ids.h
/// Set of the ids of the calls that run at the upstream beside the node.
///
/// Entries use it to find out whether a call from the node's own VM is nested
/// in one of these calls. A nested call is served before a new one, since a run
/// and its slot wait for it.
///
/// The set is a hash table of fixed size with open addressing and bounded
/// linear probing, made of atomics: the exit thread writes it, and the entry
/// threads look up an id on each request without a lock. It is a hint only. An
/// id is stored as a 64-bit hash, so two ids may be taken for one, and an id
/// without a free cell near its hash is left out. All operations take constant
/// time.

namespace yuccamast {

/// One writer, any number of readers; see the methods.
class RunningCallIds {
 public:
  /// Index of a cell of the table.
  using Index = std::size_t;
  static constexpr Index kNoIndex = static_cast<Index>(-1);

  /// Adds the call `id` and returns its cell, or `kNoIndex` if none is free
  /// near its hash. Exit thread only.
  Index Add(std::string_view id) {
    const std::uint64_t hash = HashOf(id);
    for (std::size_t probe = 0; probe < kMaxProbes; ++probe) {
      const Index index = (hash + probe) % kCapacity;
      if (m_hashes.at(index).load(std::memory_order_relaxed) == 0) {
        m_hashes.at(index).store(hash, std::memory_order_release);
        return index;
      }
    }
    return kNoIndex;
  }

  /// Removes the call in the cell `index`; `kNoIndex` has no effect. Exit
  /// thread only.
  void Remove(Index index) {
    if (index < kCapacity) {
      m_hashes.at(index).store(0, std::memory_order_release);
    }
  }

  /// Whether the call `id` is in the set. Thread-safe.
  bool Contains(std::string_view id) const {
    const std::uint64_t hash = HashOf(id);
    for (std::size_t probe = 0; probe < kMaxProbes; ++probe) {
      if (m_hashes.at((hash + probe) % kCapacity)
              .load(std::memory_order_acquire) == hash) {
        return true;
      }
    }
    return false;
  }

 private:
  /// Number of cells, many times the slots of an upstream.
  static constexpr std::size_t kCapacity = 512;
  /// Number of successive cells, from the one given by its hash, in which an id
  /// may be stored.
  static constexpr std::size_t kMaxProbes = 8;

  static std::uint64_t HashOf(std::string_view id) {
    return std::hash<std::string_view>{}(id) | 1U;  // 0 marks a free cell.
  }

  std::array<std::atomic<std::uint64_t>, kCapacity> m_hashes{};
};

}  // namespace yuccamast
