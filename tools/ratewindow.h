#pragma once

#include <cstdint>
#include <span>

namespace endiveshore::tools {

/// Interval within which a request ran; the exact time is unknown.
struct RequestInterval
{
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

/// Returns the largest excess of requests over rate * window + burst, over all time windows; 0 if no window exceeds the
/// limit. A request counts for a window only if its whole interval lies inside, so the result is a lower bound of the
/// actual excess. @p ratePerSecond is in requests per second, @p burst in requests.
double largestExcess(std::span<const RequestInterval> requests, double ratePerSecond, double burst);

}
