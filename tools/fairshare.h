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

/// Computes the weighted max-min fair division of @p capacity, as one share per demand. No workspace gets more than its
/// demand; capacity that a workspace does not use is divided among the others by weight.
std::vector<double> fairShares(std::span<const ShareDemand> demands, double capacity);

}
