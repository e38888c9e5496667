#include "reports/sentreports.h"

#include <algorithm>

namespace endiveshore::reports {

namespace {

/// Reports of four seconds. An aggregator leaves out older ones.
constexpr std::size_t MaximumReports = 16;

}

std::uint64_t SentReports::add(limits::Demand demand, limits::RankedDemand urgentDemand)
{
    this->reports.push_back(
        {.sequence = ++this->last, .demand = std::move(demand), .urgentDemand = std::move(urgentDemand)});
    if (this->reports.size() > MaximumReports) {
        this->reports.pop_front();
    }
    return this->last;
}

std::uint64_t SentReports::lastSequence() const
{
    return this->last;
}

RegionDemand SentReports::withoutOwn(RegionDemand total, std::uint64_t sequence) const
{
    const auto sent = std::ranges::find(this->reports, sequence, &SentReport::sequence);
    if (sent == this->reports.end() || total.daemons == 0) {
        return total;
    }
    --total.daemons;
    for (const auto &[workspace, rate] : sent->demand) {
        const auto found = total.demand.find(workspace);
        if (found != total.demand.end()) {
            found->second = std::max(0.0, found->second - rate);
        }
    }
    for (const auto &[workspace, ranks] : sent->urgentDemand) {
        const auto found = total.urgentDemand.find(workspace);
        if (found == total.urgentDemand.end()) {
            continue;
        }
        limits::addRanks(found->second, ranks, -1);
        for (double &rate : found->second) {
            rate = std::max(0.0, rate);
        }
    }
    return total;
}

}
