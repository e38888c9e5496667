#include "limits/rankeddemand.h"

#include <algorithm>
#include <numeric>

namespace endiveshore::limits {

RankRates ranksOf(const Demand &demand, const RankedDemand &ranked, std::string_view workspace)
{
    const auto known = ranked.find(workspace);
    RankRates ranks = known == ranked.end() ? RankRates() : known->second;
    const auto whole = demand.find(workspace);
    const double rest = whole == demand.end() ? 0 : whole->second - sumOf(ranks);
    ranks.back() += std::max(0.0, rest);
    return ranks;
}

void addRanks(RankRates &sum, const RankRates &part, double factor)
{
    std::ranges::transform(
        sum, part, sum.begin(), [factor](double before, double added) { return before + factor * added; });
}

double sumOf(const RankRates &ranks)
{
    return std::accumulate(ranks.begin(), ranks.end(), 0.0);
}

double servedByUrgency(const RankRates &wanted, const RankRates &total, double ratePerSecond)
{
    double served = 0;
    double left = ratePerSecond;
    for (std::size_t rank = 0; rank < total.size(); ++rank) {
        if (total.at(rank) <= 0) {
            continue;
        }
        served += wanted.at(rank) * std::min(1.0, left / total.at(rank));
        left = std::max(0.0, left - total.at(rank));
    }
    return served;
}

}
