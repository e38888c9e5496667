#include "gateway/gatewaydaemon.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "reports/serverloads.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>

/// Reports between daemons: demand, rate shares, metadata revisions and promotions.
namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds ReportInterval{250};
/// A digest answers all daemons that ask within this time after it was summed up.
constexpr std::chrono::milliseconds DigestReuse{50};
/// Weight of the latest report interval in the moving average of the demand.
constexpr double DemandWeight = 0.3;
constexpr std::chrono::milliseconds MetadataExchangeTimeout{1'500};
constexpr int StatusOk = 200;
/// Time in which a report reaches all daemons: two report intervals and the way through the aggregators.
constexpr std::chrono::milliseconds RankSpreadTime{750};
/// The store counts as reachable if it answered within this time, which covers one lease renewal and its answer.
constexpr std::chrono::milliseconds LeaseRenewalAge{2'900};

}

namespace {

/// Adds the operations that were counted in an interval of @p seconds to the moving averages @p rates. The first count
/// of a workspace is not averaged: after a restart all callers come back at once.
void average(limits::Demand &rates, const std::map<std::string, std::uint64_t, std::less<>> &counted, double seconds)
{
    for (const auto &[workspace, count] : counted) {
        rates.try_emplace(workspace, static_cast<double>(count) / seconds);
    }
    for (auto &[workspace, rate] : rates) {
        const auto found = counted.find(workspace);
        const double current = found == counted.end() ? 0 : static_cast<double>(found->second) / seconds;
        rate += DemandWeight * (current - rate);
    }
}

/// As average(), for operations counted by rank. @p rates has no entry for a workspace without such operations.
void averageRanks(limits::RankedDemand &rates, const RankedCounts &counted, double seconds)
{
    for (const auto &[workspace, counts] : counted) {
        const auto [known, isNew] = rates.try_emplace(workspace);
        for (std::size_t rank = 0; isNew && rank < counts.size(); ++rank) {
            known->second.at(rank) = static_cast<double>(counts.at(rank)) / seconds;
        }
    }
    for (auto &[workspace, ranks] : rates) {
        const auto found = counted.find(workspace);
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
            const double current = found == counted.end() ? 0 : static_cast<double>(found->second.at(rank)) / seconds;
            ranks.at(rank) += DemandWeight * (current - ranks.at(rank));
        }
    }
}

}

net::awaitable<void> GatewayDaemon::reportLoop()
{
    asio::steady_timer timer(this->context);
    core::TimePoint previous = core::Clock::now();
    while (true) {
        timer.expires_after(ReportInterval);
        co_await timer.async_wait(UseTuple);
        const TrafficReport taken = co_await this->traffic.takeReport();
        const core::TimePoint now = core::Clock::now();
        const double seconds = std::chrono::duration<double>(now - previous).count();
        previous = now;
        average(this->demand, taken.demand, seconds);
        averageRanks(this->urgentDemand, taken.urgentDemand, seconds);
        this->selectReportedRanks(now);
        average(this->poolRequests, taken.poolRequests, seconds);
        this->recordTakenProofs(taken.proofs);
        this->serverLoads = taken.serverLoads;
        this->serverLoadsAt = now;
        this->sendReports();
        this->updateShares();
    }
}

void GatewayDaemon::selectReportedRanks(core::TimePoint now)
{
    this->reportedRanks.clear();
    const std::shared_ptr<const Configuration> configuration = this->mirror.configuration();
    if (configuration == nullptr) {
        return;
    }
    for (const auto &[name, ranks] : this->urgentDemand) {
        const auto workspace = configuration->workspaces.find(name);
        if (workspace == configuration->workspaces.end()) {
            continue;
        }
        if (this->shares.isContended(name, workspace->second.limits.ratePerSecond, now)) {
            this->reportedRanks.emplace(name, ranks);
            this->ranksReportedSince.try_emplace(name, now);
        }
    }
    std::erase_if(this->ranksReportedSince,
                  [this](const auto &entry) { return !this->reportedRanks.contains(entry.first); });
}

limits::RankedDemand GatewayDaemon::settledRanks(core::TimePoint now) const
{
    limits::RankedDemand settled;
    for (const auto &[name, ranks] : this->reportedRanks) {
        if (now - this->ranksReportedSince.at(name) >= RankSpreadTime) {
            settled.emplace(name, ranks);
        }
    }
    return settled;
}

void GatewayDaemon::updateShares()
{
    const core::TimePoint now = core::Clock::now();
    this->shares.setOwnDemand(this->demand, this->settledRanks(now));
    if (this->storeAge() < LeaseRenewalAge) {
        this->shares.recordStoreContact(now);
    }
    const std::shared_ptr<const Configuration> configuration = this->mirror.configuration();
    if (configuration == nullptr) {
        return;
    }
    auto next = std::make_shared<DaemonShares>();
    next->daemons = this->shares.holders(now);
    std::set<std::string_view> regions;
    for (const auto &[dataCentre, region] : this->adapter.deployment.regionOfDataCentre) {
        regions.insert(region);
    }
    next->regions = regions.size();
    const std::set<std::string, std::less<>> ownRegion{this->adapter.deployment.region};
    for (const auto &[name, workspace] : configuration->workspaces) {
        const double rate = workspace.limits.ratePerSecond;
        next->own.emplace(name, this->shares.share(name, rate, now));
        double region = this->shares.groupShare(name, rate, ownRegion, now);
        if (const auto requested = this->poolRequests.find(name); requested != this->poolRequests.end()) {
            const double regionDemand = this->shares.groupDemand(name, ownRegion, now);
            region *= limits::poolPart(requested->second, regionDemand, rate * region);
        }
        next->region.emplace(name, region);
    }
    this->traffic.publishShares(std::move(next));
}

void GatewayDaemon::updateLeaseHolders()
{
    std::map<std::string, std::size_t, std::less<>> holders;
    this->registeredDataCentres.clear();
    for (const auto &[id, registration] : this->registered) {
        if (id == this->adapter.deployment.daemonId) {
            continue;
        }
        this->registeredDataCentres.insert(registration.dataCentre);
        const auto region = this->adapter.deployment.regionOfDataCentre.find(registration.dataCentre);
        if (region != this->adapter.deployment.regionOfDataCentre.end()) {
            ++holders[region->second];
        }
    }
    this->shares.setLeaseHolders(std::move(holders));
}

reports::DaemonReport GatewayDaemon::ownReport() const
{
    const std::string &self = this->adapter.deployment.daemonId;
    return {.daemon = self,
            .demand = this->demand,
            .urgentDemand = this->reportedRanks,
            .metadataRevision = this->mirror.significantRevision(),
            .storeAge = this->storeAge(),
            .leaving = this->leaving ? std::set<std::string, std::less<>>{self} : std::set<std::string, std::less<>>(),
            .sequence = this->sentReports.lastSequence(),
            .promotions = this->primaries.promotions(),
            .serverLoads = reports::aged(this->serverLoads, core::Clock::now() - this->serverLoadsAt)};
}

std::vector<std::string> GatewayDaemon::aggregatorsOf(std::string_view dataCentre) const
{
    std::vector<const PeerDaemon *> usable;
    for (const auto &[id, daemon] : this->view->daemons) {
        const bool isLeaving
            = this->leavingDaemons.contains(id) || (this->leaving && id == this->adapter.deployment.daemonId);
        if (daemon.dataCentre == dataCentre && !daemon.isSuspect && !isLeaving) {
            usable.push_back(&daemon);
        }
    }
    // Daemons with the largest processor share are the homes of most servers, so they also aggregate.
    std::ranges::stable_sort(usable, [](const PeerDaemon *left, const PeerDaemon *right) {
        return left->processorShare > right->processorShare;
    });
    std::vector<std::string> ids;
    for (const PeerDaemon *const daemon : usable) {
        ids.push_back(daemon->id);
    }
    return ids;
}

bool GatewayDaemon::isDelegate() const
{
    const std::vector<std::string> aggregators = this->aggregatorsOf(this->adapter.deployment.dataCentre);
    return !aggregators.empty() && aggregators.front() == this->adapter.deployment.daemonId;
}

std::vector<const PeerDaemon *> GatewayDaemon::localPeers() const
{
    std::vector<const PeerDaemon *> found;
    for (const auto &[id, daemon] : this->view->daemons) {
        if (id != this->adapter.deployment.daemonId && daemon.dataCentre == this->adapter.deployment.dataCentre) {
            found.push_back(&daemon);
        }
    }
    return found;
}

std::vector<const PeerDaemon *> GatewayDaemon::otherDelegates() const
{
    std::vector<const PeerDaemon *> found;
    for (const auto &[dataCentre, region] : this->adapter.deployment.regionOfDataCentre) {
        if (dataCentre == this->adapter.deployment.dataCentre) {
            continue;
        }
        const std::vector<std::string> aggregators = this->aggregatorsOf(dataCentre);
        if (!aggregators.empty()) {
            found.push_back(&this->view->daemons.find(aggregators.front())->second);
        }
    }
    return found;
}

void GatewayDaemon::sendTo(const std::vector<const PeerDaemon *> &receivers, reports::DaemonReport report)
{
    const std::uint16_t port = this->adapter.deployment.reportListen.port();
    for (const PeerDaemon *const receiver : receivers) {
        this->seal(report, receiver->id);
        this->reports->send({receiver->endpoint.address(), port}, json::serialize(toJson(report)));
    }
}

void GatewayDaemon::seal(reports::DaemonReport &report, std::string_view receiver) const
{
    report.echo = this->stampOf(receiver);
    // The ages count from a time after the stamp that is sent back.
    const core::BootTime now = core::BootClock::now();
    report.stamp = this->stampClock.stamp(now);
    report.proofs = (report.dataCentre.empty() ? this->ownProofs : this->localProofs).aged(now);
}

session::ClockStamp GatewayDaemon::stampOf(std::string_view daemon) const
{
    const auto found = this->peerStamps.find(daemon);
    return found == this->peerStamps.end() ? session::ClockStamp() : found->second;
}

void GatewayDaemon::recordTakenProofs(const std::map<std::string, TakenProof, std::less<>> &proofs)
{
    for (const auto &[service, proof] : proofs) {
        this->ownProofs.record(service, proof.position, proof.takenAt);
        this->localProofs.record(service, proof.position, proof.takenAt);
    }
}

void GatewayDaemon::useProofs(const session::AgedProofs &proofs, core::BootTime madeAfter)
{
    std::map<std::string, TakenProof, std::less<>> usable;
    for (const auto &[service, proof] : proofs) {
        usable.emplace(service, TakenProof{.position = proof.position, .takenAt = madeAfter - proof.age});
    }
    if (!usable.empty()) {
        this->traffic.recordProofs(std::move(usable));
    }
}

void GatewayDaemon::sendReports()
{
    const Deployment &deployment = this->adapter.deployment;
    this->sentReports.add(this->demand, this->reportedRanks);
    reports::DaemonReport report = this->ownReport();
    const reports::ReportPlan plan = this->aggregatorChoice.plan(
        this->aggregatorsOf(deployment.dataCentre), deployment.daemonId, core::Clock::now());
    for (const reports::ReportTarget &target : plan.targets) {
        report.wantsDigest = target.wantsDigest;
        this->sendTo({&this->view->daemons.find(target.daemon)->second}, report);
    }
    if (plan.aggregatesItself) {
        reports::FleetDigest digest = this->ownDigest();
        this->addProofs(digest);
        digest.echo = digest.stamp;
        this->applyDigest(digest);
    }
    this->sendToDataCentres();
}

void GatewayDaemon::broadcastReport()
{
    this->sendTo(this->localPeers(), this->ownReport());
    this->sendToDataCentres();
}

void GatewayDaemon::sendToDataCentres()
{
    if (this->isDelegate()) {
        this->sendTo(this->otherDelegates(), this->aggregator.sum(this->ownReport(), core::Clock::now()));
    }
}

void GatewayDaemon::forwardToDeputy(const reports::DaemonReport &sum)
{
    const auto sender = this->view->daemons.find(sum.daemon);
    const bool isForwarded = sender == this->view->daemons.end() || sender->second.dataCentre != sum.dataCentre;
    const std::vector<std::string> aggregators = this->aggregatorsOf(this->adapter.deployment.dataCentre);
    if (isForwarded || aggregators.size() < 2 || aggregators.front() != this->adapter.deployment.daemonId) {
        return;
    }
    // The proofs of the sum cannot be passed on: their age is known to this daemon only.
    reports::DaemonReport forwarded = sum;
    forwarded.daemon = this->adapter.deployment.daemonId;
    forwarded.proofs.clear();
    forwarded.stamp = {};
    forwarded.echo = {};
    const PeerDaemon &deputy = this->view->daemons.find(aggregators[1])->second;
    this->reports->send({deputy.endpoint.address(), this->adapter.deployment.reportListen.port()},
                        json::serialize(toJson(forwarded)));
}

reports::FleetDigest GatewayDaemon::ownDigest() const
{
    reports::FleetDigest digest
        = this->aggregator.digest(this->ownReport(), this->registeredDataCentres, core::Clock::now());
    digest.includedSequence = this->sentReports.lastSequence();
    digest.relays = this->chosenRelays();
    return digest;
}

void GatewayDaemon::addProofs(reports::FleetDigest &digest) const
{
    const core::BootTime now = core::BootClock::now();
    digest.stamp = this->stampClock.stamp(now);
    digest.proofs = this->localProofs.aged(now);
    session::addYounger(digest.proofs, this->remoteProofs.aged(now));
}

void GatewayDaemon::sendDigest(const net::UdpEndpoint &receiver, std::string_view daemon)
{
    const core::TimePoint now = core::Clock::now();
    SharedDigest &shared = this->sharedDigest;
    if (now - shared.builtAt >= DigestReuse) {
        shared = {
            .digest = this->ownDigest(), .includedSequences = this->aggregator.includedSequences(now), .builtAt = now};
    }
    const auto included = shared.includedSequences.find(daemon);
    shared.digest.includedSequence = included == shared.includedSequences.end() ? 0 : included->second;
    shared.digest.echo = this->stampOf(daemon);
    this->addProofs(shared.digest);
    this->reports->send(receiver, json::serialize(toJson(shared.digest)));
}

void GatewayDaemon::pushDigest()
{
    this->sharedDigest.builtAt = {};
    const std::uint16_t port = this->adapter.deployment.reportListen.port();
    for (const PeerDaemon *const peer : this->localPeers()) {
        this->sendDigest({peer->endpoint.address(), port}, peer->id);
    }
}

void GatewayDaemon::receiveReport(const net::UdpEndpoint &sender, std::string_view payload)
{
    try {
        const json::object body = core::valueOrThrow([payload] { return core::parseJsonObject(payload); });
        if (reports::isFleetDigest(body)) {
            this->applyDigest(core::valueOrThrow([&body] { return reports::fleetDigestFromJson(body); }));
        } else {
            this->applyReport(sender, core::valueOrThrow([&body] { return reports::daemonReportFromJson(body); }));
        }
    } catch (const std::exception &error) {
        // One datagram that cannot be used must not end the process.
        this->metrics.unreadableMessages(telemetry::Channel::Gossip).add();
        this->log.line("report_unreadable", telemetry::LogLevel::Warning).field("reason", error.what());
    }
}

void GatewayDaemon::applyReport(const net::UdpEndpoint &sender, const reports::DaemonReport &report)
{
    const core::TimePoint now = core::Clock::now();
    const bool isSum = !report.dataCentre.empty();
    const std::string &dataCentre = isSum ? report.dataCentre : this->adapter.deployment.dataCentre;
    this->aggregator.record(report, now);
    if (report.stamp.process != 0) {
        this->peerStamps.insert_or_assign(report.daemon, report.stamp);
    }
    if (const auto madeAfter = this->stampClock.timeOf(report.echo, core::BootClock::now())) {
        (isSum ? this->remoteProofs : this->localProofs).record(report.proofs, *madeAfter);
    }
    this->recordStoreContact(dataCentre, now - report.storeAge);
    if (isSum) {
        this->applyLeaving(dataCentre, report.leaving);
        this->forwardToDeputy(report);
    } else {
        this->setLeaving(report.daemon, report.leaving.contains(report.daemon));
        if (report.wantsDigest) {
            this->sendDigest(sender, report.daemon);
        }
    }
    if (this->applyPromotions(report.promotions)) {
        // Callers in all data centres wait for the new primary, so the news is sent on without waiting for the next
        // interval.
        if (isSum) {
            this->pushDigest();
        } else {
            this->sendToDataCentres();
        }
    }
    this->announceRevision(isSum ? report.revisionHolders : std::vector<std::string>{report.daemon},
                           report.metadataRevision);
}

void GatewayDaemon::applyDigest(const reports::FleetDigest &digest)
{
    const core::TimePoint now = core::Clock::now();
    const std::string &self = this->adapter.deployment.daemonId;
    if (digest.daemon != self) {
        this->aggregatorChoice.digestReceived(digest.daemon, now);
        this->digestAt = now;
        this->relays = digest.relays;
        this->peerStamps.insert_or_assign(digest.daemon, digest.stamp);
    }
    if (const auto madeAfter = this->stampClock.timeOf(digest.echo, core::BootClock::now())) {
        this->useProofs(digest.proofs, *madeAfter);
    }
    if (this->adapter.deployment.placesReadsByLoad) {
        this->traffic.recordServerLoads(digest.serverLoads);
    }
    for (const auto &[name, total] : digest.regions) {
        const bool isOwn = name == this->adapter.deployment.region;
        reports::RegionDemand others = isOwn ? this->sentReports.withoutOwn(total, digest.includedSequence) : total;
        // A daemon that hears nobody must not count the sums that it still keeps as contact.
        const std::optional<core::Milliseconds> age
            = isOwn && digest.daemon != self ? std::optional(core::Milliseconds::zero()) : total.age;
        if (age && others.daemons > 0) {
            this->shares.report(
                name, std::move(others.demand), others.daemons, now - *age, std::move(others.urgentDemand));
        }
    }
    for (const auto &[dataCentre, summary] : digest.dataCentres) {
        this->recordStoreContact(dataCentre, now - summary.storeAge - summary.age);
        this->applyLeaving(dataCentre, summary.leaving);
        this->announceRevision(summary.revisionHolders, summary.metadataRevision);
    }
    this->applyPromotions(digest.promotions);
}

void GatewayDaemon::recordStoreContact(const std::string &dataCentre, core::TimePoint contact)
{
    const auto [known, isNew] = this->storeContacts.try_emplace(dataCentre, contact);
    known->second = std::max(known->second, contact);
}

void GatewayDaemon::announceRevision(const std::vector<std::string> &holders, std::int64_t revision)
{
    if (holders.empty() || revision <= this->metadata->revision()) {
        return;
    }
    this->recordEra(core::StorePoint::fromOrder(revision).era, holders.front());
    // All daemons of the data centre hear of a change at the same time and must not all pull it from the same daemon.
    const std::vector<std::string> order = core::rendezvousOrder(this->adapter.deployment.daemonId, holders);
    this->metadata->onRevisionAnnounced(order.front(), revision);
}

bool GatewayDaemon::applyPromotions(const reports::Promotions &promotions)
{
    bool hasNew = false;
    for (const auto &[service, promotion] : promotions) {
        hasNew = this->applyPromotion(service, promotion.server, promotion.fence) || hasNew;
    }
    return hasNew;
}

void GatewayDaemon::setLeaving(const std::string &daemon, bool isLeaving)
{
    const bool isChanged
        = isLeaving ? this->leavingDaemons.insert(daemon).second : this->leavingDaemons.erase(daemon) > 0;
    if (isChanged) {
        this->scheduleView();
    }
}

void GatewayDaemon::applyLeaving(std::string_view dataCentre, const std::set<std::string, std::less<>> &leaving)
{
    std::set<std::string, std::less<>> next = leaving;
    for (const std::string &daemon : this->leavingDaemons) {
        const auto known = this->view->daemons.find(daemon);
        const bool isOfDataCentre = known != this->view->daemons.end() && known->second.dataCentre == dataCentre;
        if (!isOfDataCentre) {
            next.insert(daemon);
        }
    }
    if (next != this->leavingDaemons) {
        this->leavingDaemons = std::move(next);
        this->scheduleView();
    }
}

net::awaitable<json::object> GatewayDaemon::exchangeMetadata(std::string daemon, json::object request)
{
    const auto peer = this->view->daemons.find(daemon);
    if (peer == this->view->daemons.end()) {
        throw core::Error(core::ResultCode::PeerUnreachable, "not a live daemon: " + daemon);
    }
    const net::TcpEndpoint endpoint = peer->second.endpoint;
    const std::shared_ptr<const Configuration> known = this->mirror.configuration();
    request.insert_or_assign(ConfigurationVersionMember, known == nullptr ? 0 : known->version);
    net::HttpRequest message = net::jsonRequest(MetadataPath, request);
    const net::HttpResponse response
        = co_await this->peers.exchange(endpoint, std::move(message), MetadataExchangeTimeout);
    if (response.status != StatusOk) {
        throw core::Error(core::ResultCode::PeerUnreachable,
                          "daemon answered with HTTP status " + std::to_string(response.status));
    }
    json::object answer = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    if (answer.contains(ConfigurationMember)) {
        this->log.line("configuration_offered").field("source", daemon);
        this->mirror.offerConfiguration(core::jsonString(answer, ConfigurationMember));
    }
    co_return answer;
}

}
