#pragma once

#include <chrono>

namespace endiveshore::core {

/// Monotonic clock of all decisions. Decision code receives the current time as a parameter.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Whole milliseconds in @p duration, rounded down.
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}
