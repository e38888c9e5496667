#include "tools/fairshare.h"

namespace endiveshore::tools {

std::vector<double> fairShares(std::span<const ShareDemand> demands, double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<bool> satisfied(demands.size(), false);
    // Each round satisfies at least one more demand, or else the division is complete. There are therefore no more
    // rounds than demands, plus a last one that changes nothing.
    for (std::size_t round = 0; round <= demands.size(); ++round) {
        double weights = 0;
        double remainder = capacity;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (satisfied[index]) {
                remainder -= shares[index];
            } else {
                weights += demands[index].weight;
            }
        }
        if (weights <= 0) {
            break;
        }
        bool changed = false;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (satisfied[index]) {
                continue;
            }
            shares[index] = remainder * demands[index].weight / weights;
            if (shares[index] >= demands[index].demand) {
                shares[index] = demands[index].demand;
                satisfied[index] = true;
                changed = true;
            }
        }
        if (!changed) {
            break;
        }
    }
    return shares;
}

}
