#pragma once

#include <span>
#include <vector>

namespace endiveshore::tools {

/// Demand of one workspace, in requests per second.
struct ShareDemand
{
    double demand = 0;
    double weight = 1;
};

/// Max-min fair division of @p capacity by weight: nobody gets more than its demand, and what one leaves over is
/// divided among the others.
std::vector<double> fairShares(std::span<const ShareDemand> demands, double capacity);

}
