#pragma once

#include <chrono>
#include <functional>

/// \file clock.h
/// The clock that decisions use. It is always passed in, so tests own time.

namespace yuccamast {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Returns the current time. Must be thread-safe if used by several threads.
using NowHook = std::function<TimePoint()>;

}  // namespace yuccamast
