#include "limits/demandshares.h"

#include <algorithm>

namespace endiveshore::limits {

double poolPart(double requested, double demand, double ratePerSecond)
{
    // The averages of the requests and of the demand lag behind each other by a report interval or two.
    constexpr double Margin = 1.2;
    if (demand <= ratePerSecond) {
        return 1;
    }
    return std::min(1.0, Margin * requested / demand);
}

DemandShares::DemandShares(std::string self, core::TimePoint startedAt, DemandSharesOptions options)
    : self(std::move(self))
    , startedAt(startedAt)
    , options(options)
{
}

void DemandShares::report(
    std::string_view reporter, Demand demand, std::size_t daemons, core::TimePoint receivedAt, RankedDemand ranked)
{
    if (reporter == this->self) {
        return;
    }
    this->lastReportAt = std::max(receivedAt, this->lastReportAt.value_or(receivedAt));
    this->reports.insert_or_assign(
        std::string(reporter),
        Report{.demand = std::move(demand), .ranked = std::move(ranked), .daemons = daemons, .receivedAt = receivedAt});
    this->countUnreported();
}

void DemandShares::setOwnDemand(Demand demand, RankedDemand ranked)
{
    this->own = std::move(demand);
    this->ownRanked = std::move(ranked);
}

void DemandShares::setLeaseHolders(std::map<std::string, std::size_t, std::less<>> holders)
{
    this->leaseHolders = std::move(holders);
    this->countUnreported();
}

void DemandShares::recordStoreContact(core::TimePoint now)
{
    this->lastStoreContactAt = now;
}

void DemandShares::forget(std::string_view daemon)
{
    const auto found = this->reports.find(daemon);
    if (found != this->reports.end()) {
        this->reports.erase(found);
        this->countUnreported();
    }
}

bool DemandShares::holdsShare(std::string_view reporter, const Report &report, core::TimePoint now) const
{
    return now < report.receivedAt + this->options.reportRetention || this->leaseHolders.contains(reporter);
}

bool DemandShares::isStartupOver(core::TimePoint now) const
{
    return this->lastReportAt || now >= this->startedAt + this->options.startupPeriod;
}

bool DemandShares::hasRecentContact(core::TimePoint now) const
{
    const core::TimePoint lastContact = std::max(this->lastReportAt.value_or(core::TimePoint::min()),
                                                 this->lastStoreContactAt.value_or(core::TimePoint::min()));
    return now < std::max(lastContact, this->startedAt) + this->options.contactTimeout;
}

void DemandShares::countUnreported()
{
    this->unreported.clear();
    for (const auto &[reporter, daemons] : this->leaseHolders) {
        const auto report = this->reports.find(reporter);
        const std::size_t reported = report == this->reports.end() ? 0 : report->second.daemons;
        if (reporter != this->self && daemons > reported) {
            this->unreported.emplace(reporter, daemons - reported);
        }
    }
}

std::size_t DemandShares::holders(core::TimePoint now) const
{
    std::size_t count = 1;
    for (const auto &[reporter, report] : this->reports) {
        count += this->holdsShare(reporter, report, now) ? report.daemons : 0;
    }
    for (const auto &[reporter, daemons] : this->unreported) {
        count += daemons;
    }
    return count;
}

double DemandShares::share(std::string_view workspace, double ratePerSecond, core::TimePoint now) const
{
    if (ratePerSecond <= 0 || !this->hasRecentContact(now)) {
        return 0;
    }
    if (!this->isStartupOver(now)) {
        return this->options.initialShare;
    }
    return this->shareFor(ranksOf(this->own, this->ownRanked, workspace),
                          this->totalRanks(workspace, now),
                          ratePerSecond,
                          1,
                          static_cast<double>(this->holders(now)));
}

double DemandShares::groupShare(std::string_view workspace,
                                double ratePerSecond,
                                const std::set<std::string, std::less<>> &reporters,
                                core::TimePoint now) const
{
    if (ratePerSecond <= 0 || !this->hasRecentContact(now)) {
        return 0;
    }
    if (!this->isStartupOver(now)) {
        return this->options.initialShare;
    }
    std::size_t daemons = 1;
    for (const auto &[reporter, report] : this->reports) {
        daemons += reporters.contains(reporter) && this->holdsShare(reporter, report, now) ? report.daemons : 0;
    }
    for (const auto &[reporter, count] : this->unreported) {
        daemons += reporters.contains(reporter) ? count : 0;
    }
    return this->shareFor(this->groupRanks(workspace, reporters, now),
                          this->totalRanks(workspace, now),
                          ratePerSecond,
                          static_cast<double>(daemons),
                          static_cast<double>(this->holders(now)));
}

double DemandShares::groupDemand(std::string_view workspace,
                                 const std::set<std::string, std::less<>> &reporters,
                                 core::TimePoint now) const
{
    return sumOf(this->groupRanks(workspace, reporters, now));
}

RankRates DemandShares::groupRanks(std::string_view workspace,
                                   const std::set<std::string, std::less<>> &reporters,
                                   core::TimePoint now) const
{
    const RankRates ownRanks = ranksOf(this->own, this->ownRanked, workspace);
    RankRates wanted = ownRanks;
    for (const auto &[reporter, report] : this->reports) {
        if (reporters.contains(reporter) && this->holdsShare(reporter, report, now)) {
            addRanks(wanted, ranksOf(report.demand, report.ranked, workspace));
        }
    }
    for (const auto &[reporter, count] : this->unreported) {
        if (reporters.contains(reporter)) {
            addRanks(wanted, ownRanks, static_cast<double>(count));
        }
    }
    return wanted;
}

RankRates DemandShares::totalRanks(std::string_view workspace, core::TimePoint now) const
{
    const RankRates ownRanks = ranksOf(this->own, this->ownRanked, workspace);
    RankRates total = ownRanks;
    for (const auto &[reporter, report] : this->reports) {
        if (this->holdsShare(reporter, report, now)) {
            addRanks(total, ranksOf(report.demand, report.ranked, workspace));
        }
    }
    for (const auto &[reporter, daemons] : this->unreported) {
        addRanks(total, ownRanks, static_cast<double>(daemons));
    }
    return total;
}

double DemandShares::shareFor(
    const RankRates &wanted, const RankRates &total, double ratePerSecond, double daemons, double allDaemons) const
{
    const double all = sumOf(total);
    if (all <= ratePerSecond) {
        return (sumOf(wanted) + (ratePerSecond - all) * daemons / allDaemons) / ratePerSecond;
    }
    const double served = servedByUrgency(wanted, total, ratePerSecond) / ratePerSecond;
    return (1 - this->options.evenFraction) * served + this->options.evenFraction * daemons / allDaemons;
}

}
