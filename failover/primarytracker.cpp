#include "failover/primarytracker.h"

#include <algorithm>

namespace endiveshore::failover {

void PrimaryTracker::reportRole(std::string_view service,
                                std::string_view server,
                                bool isPrimary,
                                std::uint64_t revision)
{
    Group &group = this->groups[std::string(service)];
    Report &report = group.servers[std::string(server)];
    if (revision < report.revision) {
        return;
    }
    const bool beginsToClaim = isPrimary && !report.isPrimary;
    report.revision = revision;
    report.isPrimary = isPrimary;
    if (!beginsToClaim) {
        return;
    }
    report.denied = false;
    report.claimedAt = revision;
    // A server that begins to claim the role after another server was promoted was itself promoted later.
    if (revision > group.highestClaim) {
        group.highestClaim = revision;
        if (group.confirmedPrimary != server) {
            group.confirmedPrimary.clear();
        }
    }
}

void PrimaryTracker::remove(std::string_view service, std::string_view server)
{
    const auto group = this->groups.find(service);
    if (group == this->groups.end()) {
        return;
    }
    const auto found = group->second.servers.find(server);
    if (found != group->second.servers.end()) {
        group->second.servers.erase(found);
    }
    if (group->second.confirmedPrimary == server) {
        group->second.confirmedPrimary.clear();
    }
}

bool PrimaryTracker::reportPromotion(std::string_view service, std::string_view server, std::uint64_t fence)
{
    Promotion &known = this->latestPromotions[std::string(service)];
    if (fence <= known.fence) {
        return false;
    }
    known = {.server = std::string(server), .fence = fence};
    Group &group = this->groups[std::string(service)];
    group.confirmedPrimary = std::string(server);
    const auto report = group.servers.find(server);
    if (report != group.servers.end()) {
        report->second.denied = false;
    }
    return true;
}

void PrimaryTracker::reportNotPrimary(std::string_view service, std::string_view server)
{
    const auto group = this->groups.find(service);
    if (group == this->groups.end()) {
        return;
    }
    const auto report = group->second.servers.find(server);
    if (report != group->second.servers.end()) {
        report->second.denied = true;
    }
}

void PrimaryTracker::reportPrimary(std::string_view service, std::string_view server)
{
    Group &group = this->groups[std::string(service)];
    group.confirmedPrimary = std::string(server);
    const auto report = group.servers.find(server);
    if (report != group.servers.end()) {
        report->second.denied = false;
    }
}

std::string PrimaryTracker::primaryOf(std::string_view service) const
{
    const auto group = this->groups.find(service);
    if (group == this->groups.end()) {
        return {};
    }
    if (!group->second.confirmedPrimary.empty() && group->second.servers.contains(group->second.confirmedPrimary)) {
        return group->second.confirmedPrimary;
    }
    const std::string *best = nullptr;
    std::uint64_t bestClaim = 0;
    for (const auto &[server, report] : group->second.servers) {
        if (!report.isPrimary || report.denied) {
            continue;
        }
        if (best == nullptr || report.claimedAt > bestClaim) {
            best = &server;
            bestClaim = report.claimedAt;
        }
    }
    return best == nullptr ? std::string() : *best;
}

const std::map<std::string, PrimaryTracker::Promotion, std::less<>> &PrimaryTracker::promotions() const
{
    return this->latestPromotions;
}

}
