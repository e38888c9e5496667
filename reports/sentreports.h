#pragma once

#include "reports/fleetdigest.h"

#include <cstdint>
#include <deque>

namespace endiveshore::reports {

/// Recent reports of this daemon, by which its own demand is taken out of the sums of a digest.
class SentReports
{
public:
    /// Records the demand of the next report and returns the number of that report.
    std::uint64_t add(limits::Demand demand, limits::RankedDemand urgentDemand = {});

    /// Number of the last report; 0 if there was none.
    std::uint64_t lastSequence() const;

    /// @p total without the report @p sequence of this daemon. A report that is not known any more stays in the sum, so
    /// that this daemon's demand counts twice rather than that of the others too little.
    RegionDemand withoutOwn(RegionDemand total, std::uint64_t sequence) const;

private:
    struct SentReport
    {
        std::uint64_t sequence = 0;
        limits::Demand demand;
        limits::RankedDemand urgentDemand;
    };

    std::deque<SentReport> reports;
    std::uint64_t last = 0;
};

}
