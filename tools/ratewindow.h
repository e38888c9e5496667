#pragma once

#include <cstdint>
#include <span>

namespace endiveshore::tools {

/// A request that ran at an unknown moment between its start and its end.
struct RequestInterval
{
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

/// Largest number of requests above rate * window + burst that certainly ran within one window, over all windows; 0 if
/// none. Only requests that lie wholly inside a window count for it, so the result never overstates. @p ratePerSecond
/// and @p burst in requests.
double largestExcess(std::span<const RequestInterval> requests, double ratePerSecond, double burst);

}
