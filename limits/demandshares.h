#pragma once

#include "core/time.h"
#include "limits/rankeddemand.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace endiveshore::limits {

struct DemandSharesOptions
{
    /// Fraction of the rate that is split evenly when the demand exceeds the rate, so that a daemon without reported
    /// demand can serve its first callers.
    double evenFraction = 0.1;
    /// A peer loses its share when its last report is older than `reportRetention` and the peer holds no lease in the
    /// metadata store. An isolated peer has stopped spending by then, because `contactTimeout` is shorter.
    core::Milliseconds reportRetention{4'000};
    /// The share of this daemon is 0 once it has received neither a report of a peer nor an answer of the metadata
    /// store for `contactTimeout`. Must be shorter than `reportRetention` by more than the delay of a report.
    core::Milliseconds contactTimeout{3'000};
    /// Time after the start in which a daemon that has received no report is limited to `initialShare`, because the
    /// other daemons may already hold the whole rate when a daemon restarts.
    core::Milliseconds startupPeriod{1'500};
    /// Share during `startupPeriod`. Small enough that the excess over a rate stays within the platform's tolerance,
    /// both if all daemons of a usual fleet start together and if a single daemon restarts.
    double initialShare = 0.125;
};

/// Part, from 0 to 1, of a group's rate that the home of the group's pool may grant. @p requested is the demand that
/// asks this home and @p demand that of the whole group, in operations per second. While some daemons take another
/// daemon for the home, each of the two homes gets a part of the requests, and their rates together stay at @p
/// ratePerSecond.
double poolPart(double requested, double demand, double ratePerSecond);

/// Divides the rate of each workspace among the daemons by their demand. Does no I/O and reads no clock.
///
/// Every daemon computes its own share from the reported demand of all daemons. If the total demand is below the rate,
/// the remainder is split evenly, so that a daemon can take over callers of another daemon before the next report. If
/// the total demand exceeds the rate, the shares are proportional to the demand, except for `evenFraction`; where ranks
/// of the demand are reported, the most urgent demand is served first and only the rank that is served in part counts
/// in proportion. A daemon that holds a lease and has not reported yet is assumed to have the demand of this daemon, so
/// that daemons that start together do not each take the shares of the daemons whose reports are missing.
class DemandShares
{
public:
    DemandShares(std::string self, core::TimePoint startedAt, DemandSharesOptions options = {});

    /// Records the demand reported by a daemon, or the sum reported for a group of @p daemons daemons, for example of a
    /// region. @p receivedAt is the time of the newest report in the sum. @p ranked are the ranks of the demand as far
    /// as they are known.
    void report(std::string_view reporter,
                Demand demand,
                std::size_t daemons,
                core::TimePoint receivedAt,
                RankedDemand ranked = {});

    void setOwnDemand(Demand demand, RankedDemand ranked = {});

    /// Sets the number of daemons that hold a lease in the metadata store, by the name under which they report.
    void setLeaseHolders(std::map<std::string, std::size_t, std::less<>> holders);

    /// Records that the metadata store answered this daemon at @p now.
    void recordStoreContact(core::TimePoint now);

    /// Removes the report of a daemon that has left and no longer spends.
    void forget(std::string_view daemon);

    /// Fraction of the rate of @p workspace, from 0 to 1, that this daemon may spend.
    double share(std::string_view workspace, double ratePerSecond, core::TimePoint now) const;

    /// Fraction of the rate of @p workspace that this daemon and the daemons for which @p reporters report may spend
    /// together.
    double groupShare(std::string_view workspace,
                      double ratePerSecond,
                      const std::set<std::string, std::less<>> &reporters,
                      core::TimePoint now) const;

    /// Demand for @p workspace of this daemon and of the daemons for which @p reporters report.
    double groupDemand(std::string_view workspace,
                       const std::set<std::string, std::less<>> &reporters,
                       core::TimePoint now) const;

    /// Number of daemons that have a share, including this daemon.
    std::size_t holders(core::TimePoint now) const;

private:
    struct Report
    {
        Demand demand;
        RankedDemand ranked;
        std::size_t daemons = 1;
        core::TimePoint receivedAt;
    };

    bool holdsShare(std::string_view reporter, const Report &report, core::TimePoint now) const;
    bool isStartupOver(core::TimePoint now) const;
    bool hasRecentContact(core::TimePoint now) const;

    double shareFor(
        const RankRates &wanted, const RankRates &total, double ratePerSecond, double daemons, double allDaemons) const;
    RankRates totalRanks(std::string_view workspace, core::TimePoint now) const;
    /// As groupDemand(), by rank.
    RankRates groupRanks(std::string_view workspace,
                         const std::set<std::string, std::less<>> &reporters,
                         core::TimePoint now) const;
    /// Updates `unreported` after a change of the reports or of the lease holders.
    void countUnreported();

    std::string self;
    core::TimePoint startedAt;
    DemandSharesOptions options;
    Demand own;
    RankedDemand ownRanked;
    std::map<std::string, Report, std::less<>> reports;
    std::map<std::string, std::size_t, std::less<>> leaseHolders;
    /// Number of daemons that hold a lease but are not yet counted in the last report of their reporter, by reporter.
    std::map<std::string, std::size_t, std::less<>> unreported;
    std::optional<core::TimePoint> lastStoreContactAt;
    std::optional<core::TimePoint> lastReportAt; ///< Receipt of the last report of any peer.
};

}
