#include "tools/ratewindow.h"

#include <algorithm>
#include <vector>

namespace endiveshore::tools {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

}

double largestExcess(std::span<const RequestInterval> requests, double ratePerSecond, double burst)
{
    std::vector<RequestInterval> byEnd(requests.begin(), requests.end());
    std::sort(byEnd.begin(), byEnd.end(), [](const RequestInterval &left, const RequestInterval &right) {
        return left.endUs < right.endUs;
    });
    // The window with the largest excess begins at the start of a request and ends at the end of a request, so only
    // such windows are tried.
    double largest = 0;
    for (const RequestInterval &first : byEnd) {
        std::int64_t count = 0;
        for (const RequestInterval &request : byEnd) {
            if (request.startUs < first.startUs) {
                continue;
            }
            ++count;
            const double seconds = static_cast<double>(request.endUs - first.startUs) / MicrosecondsPerSecond;
            largest = std::max(largest, static_cast<double>(count) - ratePerSecond * seconds - burst);
        }
    }
    return largest;
}

}
