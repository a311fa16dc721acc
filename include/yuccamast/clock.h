#pragma once

#include <chrono>
#include <functional>

/// \file clock.h
/// Clock, time point and duration types for all timeouts and decisions: the
/// monotonic clock. Coordination code receives the time as an argument, so that
/// tests control it.

namespace yuccamast {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Source of the current time. Must be thread-safe if several threads use it.
using NowHook = std::function<TimePoint()>;

}  // namespace yuccamast
