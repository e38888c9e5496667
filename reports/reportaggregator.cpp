#include "reports/reportaggregator.h"

#include "reports/serverloads.h"

#include <algorithm>

namespace endiveshore::reports {

namespace {

/// Daemons named in a sum as sources of its metadata revision. More than one, so that the daemons that pull the change
/// do not all ask the same one.
constexpr std::size_t MaximumRevisionHolders = 4;

void addDemand(limits::Demand &sum, const limits::Demand &part)
{
    for (const auto &[workspace, rate] : part) {
        sum[workspace] += rate;
    }
}

void addRankedDemand(limits::RankedDemand &sum, const limits::RankedDemand &part)
{
    for (const auto &[workspace, ranks] : part) {
        limits::addRanks(sum[workspace], ranks);
    }
}

void addRevisionHolder(DaemonReport &sum, const DaemonReport &report)
{
    if (report.metadataRevision < sum.metadataRevision) {
        return;
    }
    if (report.metadataRevision > sum.metadataRevision) {
        sum.metadataRevision = report.metadataRevision;
        sum.revisionHolders.clear();
    }
    if (sum.revisionHolders.size() < MaximumRevisionHolders) {
        sum.revisionHolders.push_back(report.daemon);
    }
}

DataCentreSummary summaryOf(const DaemonReport &sum, core::Duration age)
{
    return {.daemons = sum.daemons,
            .storeAge = sum.storeAge,
            .age = std::chrono::duration_cast<core::Milliseconds>(age),
            .metadataRevision = sum.metadataRevision,
            .revisionHolders = sum.revisionHolders,
            .leaving = sum.leaving};
}

}

ReportAggregator::ReportAggregator(ReportAggregatorOptions options)
    : options(std::move(options))
{
}

void ReportAggregator::record(DaemonReport report, core::TimePoint now)
{
    const bool isSum = !report.dataCentre.empty();
    if (isSum && report.dataCentre == this->options.dataCentre) {
        return;
    }
    std::string key = isSum ? report.dataCentre : report.daemon;
    Reports &reports = isSum ? this->sums : this->local;
    const auto known = reports.find(key);
    if (isSum && known != reports.end() && known->second.report.daemon != report.daemon
        && known->second.report.daemons > report.daemons
        && now - known->second.receivedAt < this->options.sumPrecedence) {
        return;
    }
    reports.insert_or_assign(std::move(key), Received{.report = std::move(report), .receivedAt = now});
}

void ReportAggregator::remove(std::string_view daemon)
{
    const auto found = this->local.find(daemon);
    if (found != this->local.end()) {
        this->local.erase(found);
    }
}

DaemonReport ReportAggregator::sum(const DaemonReport &own, core::TimePoint now) const
{
    DaemonReport sum = own;
    sum.dataCentre = this->options.dataCentre;
    sum.sequence = 0;
    sum.wantsDigest = false;
    sum.revisionHolders = {own.daemon};
    for (const auto &[daemon, received] : this->local) {
        if (daemon == own.daemon || !this->isRecent(received, now)) {
            continue;
        }
        const DaemonReport &report = received.report;
        ++sum.daemons;
        sum.leaving.insert(report.leaving.begin(), report.leaving.end());
        const auto age = std::chrono::duration_cast<core::Milliseconds>(now - received.receivedAt);
        sum.storeAge = std::min(sum.storeAge, report.storeAge + age);
        addRevisionHolder(sum, report);
        addDemand(sum.demand, report.demand);
        addRankedDemand(sum.urgentDemand, report.urgentDemand);
        routing::addYounger(sum.serverLoads, aged(report.serverLoads, age));
    }
    return sum;
}

FleetDigest ReportAggregator::digest(const DaemonReport &own,
                                     const std::set<std::string, std::less<>> &registered,
                                     core::TimePoint now) const
{
    FleetDigest digest{.daemon = own.daemon, .promotions = own.promotions};
    const auto add = [&](const DaemonReport &sum, core::Duration age, std::optional<core::Duration> heardAge) {
        digest.dataCentres.emplace(sum.dataCentre, summaryOf(sum, age));
        routing::addYounger(digest.serverLoads, aged(sum.serverLoads, age));
        const auto region = this->options.regionOfDataCentre.find(sum.dataCentre);
        if (region == this->options.regionOfDataCentre.end()) {
            return;
        }
        RegionDemand &total = digest.regions[region->second];
        total.daemons += sum.daemons;
        addDemand(total.demand, sum.demand);
        addRankedDemand(total.urgentDemand, sum.urgentDemand);
        if (heardAge) {
            const auto heard = std::chrono::duration_cast<core::Milliseconds>(*heardAge);
            total.age = std::min(heard, total.age.value_or(heard));
        }
    };
    std::optional<core::Duration> heardAge;
    for (const auto &[daemon, received] : this->local) {
        if (daemon != own.daemon && this->isRecent(received, now)) {
            heardAge = std::min(now - received.receivedAt, heardAge.value_or(core::Duration::max()));
        }
    }
    add(this->sum(own, now), core::Duration::zero(), heardAge);
    for (const auto &[dataCentre, received] : this->sums) {
        const core::Duration age = now - received.receivedAt;
        if (age <= this->options.sumRetention || registered.contains(dataCentre)) {
            add(received.report, age, age);
        }
    }
    return digest;
}

std::map<std::string, std::uint64_t, std::less<>> ReportAggregator::includedSequences(core::TimePoint now) const
{
    std::map<std::string, std::uint64_t, std::less<>> sequences;
    for (const auto &[daemon, received] : this->local) {
        if (this->isRecent(received, now)) {
            sequences.emplace(daemon, received.report.sequence);
        }
    }
    return sequences;
}

bool ReportAggregator::isRecent(const Received &received, core::TimePoint now) const
{
    return now - received.receivedAt <= this->options.reportRetention;
}

const ReportAggregator::Reports &ReportAggregator::localReports() const
{
    return this->local;
}

}
