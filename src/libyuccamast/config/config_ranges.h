#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "json/object_reader.h"

/// \file config_ranges.h
/// Ranges of the numbers in a configuration.
///
/// `MergeConfiguration` refuses a configuration with a number outside its range
/// as a whole, since an operator who writes the project's own files can correct
/// it before it is published. A range therefore excludes only what nodes cannot
/// carry out. A platform has limits of its own or none: its adapter translates
/// a value outside the range into the nearest one inside.

namespace yuccamast {

/// Longest time in a configuration: one year.
inline constexpr std::chrono::milliseconds kMaxConfigTime =
    std::chrono::hours(24 * 365);

inline constexpr IntRange kTimeRangeMs{1, kMaxConfigTime.count()};
inline constexpr IntRange kObjectiveRangeMs{0, kMaxConfigTime.count()};
inline constexpr IntRange kColdStartRangeMs{0, kMaxConfigTime.count()};
inline constexpr IntRange kQueueLimitRangeMs{0, 60'000};
inline constexpr IntRange kQueueLengthRange{0, 10'000};
inline constexpr IntRange kSlotsRange{1, 10'000};
inline constexpr IntRange kShortSlotsRange{0, 9'999};
inline constexpr IntRange kPriorityRange{-1000, 1000};
inline constexpr IntRange kUrgencyRange{0, 1'000'000'000};
inline constexpr IntRange kMaxUpstreamsRange{1, 1'000'000'000};
inline constexpr IntRange kSplitWeightRange{0, 1'000'000};
inline constexpr IntRange kMaxConnectionsRange{0, 1'000'000'000};
inline constexpr double kMaxColdStartsPerS = 1e6;
inline constexpr IntRange kHeadBytesRange{64, 1LL << 40};
inline constexpr IntRange kBodyBytesRange{0, 1LL << 40};

/// The value in `range` that is nearest to `value`. Thread-safe.
constexpr std::int64_t Nearest(IntRange range, std::int64_t value) {
  return std::clamp(value, range.low, range.high);
}

}  // namespace yuccamast
