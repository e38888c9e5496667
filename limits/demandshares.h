#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace endiveshore::limits {

/// Operations per second that a daemon's callers ask for, by workspace.
using Demand = std::map<std::string, double, std::less<>>;

struct DemandSharesOptions
{
    /// Part of the rate that is split evenly when the demand exceeds the rate, so that a daemon without demand so far
    /// can serve its first callers.
    double evenFraction = 0.1;
    /// A daemon that nobody has heard for this time, and that no longer holds its lease in the metadata store, has no
    /// share. It stops spending earlier; see hasRecentContact().
    core::Milliseconds reportRetention{4'000};
    /// A daemon that has heard neither a peer nor the metadata store for this time stops spending. Below the retention
    /// by more than a report takes.
    core::Milliseconds contactTimeout{3'000};
    /// Until this time after the start, a daemon that has heard nobody has only `initialShare`: it may have been
    /// restarted while others hold the whole rate.
    core::Milliseconds startupPeriod{1'500};
    /// Small enough that all daemons of a usual fleet, and one restarted beside others, stay within what the platform
    /// tolerates above a rate.
    double initialShare = 0.125;
};

/// Divides the rate of each workspace among the daemons by their demand. Pure.
///
/// Every daemon computes its own share from the demand that all have reported. Where the demand is below the rate, the
/// rest is split evenly, so a daemon can take over callers of another before the next report. Where it is above, the
/// shares are proportional to the demand. A daemon that holds a lease and has not reported yet counts as wanting as
/// much as this one, so that daemons that start together do not each take the shares of those they have not heard.
class DemandShares
{
public:
    DemandShares(std::string self, core::TimePoint startedAt, DemandSharesOptions options = {});

    /// Records what a daemon has reported, or the sum for a group of @p daemons daemons, for example of a data centre.
    void report(std::string_view reporter, Demand demand, std::size_t daemons, core::TimePoint now);

    /// Sets the demand of this daemon.
    void setOwnDemand(Demand demand);

    /// Daemons that hold a lease in the metadata store, by the name under which they report.
    void setLeaseHolders(std::map<std::string, std::size_t, std::less<>> holders);

    /// The metadata store has answered this daemon at @p now.
    void recordStoreContact(core::TimePoint now);

    /// The daemon has left and spends nothing any more.
    void forget(std::string_view daemon);

    /// Part of the rate of @p workspace, from 0 to 1, that this daemon may spend.
    double share(std::string_view workspace, double ratePerSecond, core::TimePoint now) const;

    /// Part of the rate that this daemon and the daemons behind @p reporters may spend together.
    double groupShare(std::string_view workspace,
                      double ratePerSecond,
                      const std::set<std::string, std::less<>> &reporters,
                      core::TimePoint now) const;

    /// Daemons that have a share, this one included.
    std::size_t holders(core::TimePoint now) const;

private:
    struct Report
    {
        Demand demand;
        std::size_t daemons = 1;
        core::TimePoint receivedAt;
    };

    bool holdsShare(std::string_view reporter, const Report &report, core::TimePoint now) const;
    bool isStartupOver(core::TimePoint now) const;
    bool hasRecentContact(core::TimePoint now) const;

    double shareFor(double wanted, double total, double ratePerSecond, double daemons, double allDaemons) const;
    double totalDemand(std::string_view workspace, core::TimePoint now) const;
    /// Daemons that hold a lease and are not part of any report yet, by reporter.
    std::map<std::string, std::size_t, std::less<>> unreportedDaemons() const;

    std::string self;
    core::TimePoint startedAt;
    DemandSharesOptions options;
    Demand own;
    std::map<std::string, Report, std::less<>> reports;
    std::map<std::string, std::size_t, std::less<>> leaseHolders;
    std::optional<core::TimePoint> lastStoreContactAt;
    std::optional<core::TimePoint> lastReportAt; ///< Of the last report.
};

}
