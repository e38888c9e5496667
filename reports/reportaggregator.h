#pragma once

#include "core/time.h"
#include "reports/fleetdigest.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::reports {

struct ReportAggregatorOptions
{
    std::string dataCentre; ///< Data centre of this daemon.
    std::map<std::string, std::string, std::less<>> regionOfDataCentre;
    /// Daemons whose last report is older are left out of the sum of their data centre.
    core::Milliseconds reportRetention{2'500};
    /// A sum is kept for this long against a smaller one of a different daemon of its data centre: while the daemons
    /// there turn to another aggregator, the sums of both are partial.
    core::Milliseconds sumPrecedence{1'000};
    /// The sum of another data centre without registered daemons is left out of the digest when it is older.
    core::Milliseconds sumRetention{4'000};
};

/// Reports of the daemons of the own data centre and the sums of the others, from which an aggregator answers the
/// daemons of its data centre. Every daemon keeps one, since any daemon may be asked to aggregate. Does no I/O and
/// reads no clock.
class ReportAggregator
{
public:
    explicit ReportAggregator(ReportAggregatorOptions options);

    /// Records the report of a daemon of the own data centre, or the sum of another data centre.
    void record(DaemonReport report, core::TimePoint now);

    /// Removes the report of a daemon that has left.
    void remove(std::string_view daemon);

    /// The sum of the own data centre. @p own is the report of this daemon.
    DaemonReport sum(const DaemonReport &own, core::TimePoint now) const;

    /// The sums of the fleet, without a receiver. @p registered are the data centres with registered daemons.
    FleetDigest
    digest(const DaemonReport &own, const std::set<std::string, std::less<>> &registered, core::TimePoint now) const;

    /// Numbers of the reports that the sums include @p now, by daemon.
    std::map<std::string, std::uint64_t, std::less<>> includedSequences(core::TimePoint now) const;

    struct Received
    {
        DaemonReport report;
        core::TimePoint receivedAt;
    };

    using Reports = std::map<std::string, Received, std::less<>>;

    /// Last reports of the daemons of the own data centre, by id.
    const Reports &localReports() const;

private:
    bool isRecent(const Received &received, core::TimePoint now) const;

    ReportAggregatorOptions options;
    Reports local;
    Reports sums; ///< By data centre.
};

}
