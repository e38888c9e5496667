#pragma once

#include "core/priority.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace endiveshore::limits {

/// Operations per second that a daemon's callers request, by workspace.
using Demand = std::map<std::string, double, std::less<>>;

/// Operations per second by rank.
using RankRates = std::array<double, core::PriorityRanks>;

/// The part of a Demand whose rank is known, by workspace. The rest counts for the last rank, so that daemons that
/// report no ranks are assumed to have the least urgent demand.
using RankedDemand = std::map<std::string, RankRates, std::less<>>;

/// Counted operations by rank.
using RankCounts = std::array<std::uint64_t, core::PriorityRanks>;

/// Demand for @p workspace by rank: @p ranked, and the rest of @p demand at the last rank.
RankRates ranksOf(const Demand &demand, const RankedDemand &ranked, std::string_view workspace);

void addRanks(RankRates &sum, const RankRates &part, double factor = 1);

double sumOf(const RankRates &ranks);

/// Part of @p ratePerSecond for the demand @p wanted out of the demand @p total of all daemons, where the most urgent
/// demand is served first and the demand of the last rank with a part is served in proportion.
double servedByUrgency(const RankRates &wanted, const RankRates &total, double ratePerSecond);

}
