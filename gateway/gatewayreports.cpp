#include "gateway/gatewaydaemon.h"

#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <string_view>

/// Reports between daemons: demand, rate shares, metadata revisions and promotions.
namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds ReportInterval{250};
/// Daemons whose last report is older are left out of the sum of their data centre.
constexpr std::chrono::milliseconds MaximumLocalReportAge{2'500};
/// Weight of the latest report interval in the moving average of the demand.
constexpr double DemandWeight = 0.3;
constexpr std::chrono::milliseconds MetadataExchangeTimeout{1'500};
constexpr int StatusOk = 200;
/// The store counts as reachable if it answered within this time, which covers one lease renewal and its answer.
constexpr std::chrono::milliseconds LeaseRenewalAge{2'900};

}

net::awaitable<void> GatewayDaemon::reportLoop()
{
    asio::steady_timer timer(this->context);
    core::TimePoint previous = core::Clock::now();
    while (true) {
        timer.expires_after(ReportInterval);
        co_await timer.async_wait(UseTuple);
        const auto operations = co_await this->traffic.takeDemand();
        const core::TimePoint now = core::Clock::now();
        const double seconds = std::chrono::duration<double>(now - previous).count();
        previous = now;
        // The first demand after a start is not averaged: after a restart all callers come back at once.
        for (const auto &[workspace, count] : operations) {
            this->demand.try_emplace(workspace, static_cast<double>(count) / seconds);
        }
        for (auto &[workspace, rate] : this->demand) {
            const auto found = operations.find(workspace);
            const double current = found == operations.end() ? 0 : static_cast<double>(found->second) / seconds;
            rate += DemandWeight * (current - rate);
        }
        this->updateShares();
        this->sendReport();
    }
}

void GatewayDaemon::updateShares()
{
    const core::TimePoint now = core::Clock::now();
    this->shares.setOwnDemand(this->demand);
    std::map<std::string, std::size_t, std::less<>> holders;
    for (const auto &[id, registration] : this->registered) {
        const bool isLocal = registration.dataCentre == this->adapter.deployment.dataCentre;
        ++holders[isLocal ? id : registration.dataCentre];
    }
    this->shares.setLeaseHolders(std::move(holders));
    if (this->storeAge() < LeaseRenewalAge) {
        this->shares.recordStoreContact(now);
    }
    const std::shared_ptr<const Configuration> configuration = this->mirror.configuration();
    if (configuration == nullptr) {
        return;
    }
    std::set<std::string, std::less<>> regionReporters;
    for (const auto &[dataCentre, region] : this->adapter.deployment.regionOfDataCentre) {
        if (region == this->adapter.deployment.region) {
            regionReporters.insert(dataCentre);
        }
    }
    for (const PeerDaemon *const localPeer : this->localPeers()) {
        regionReporters.insert(localPeer->id);
    }
    auto next = std::make_shared<DaemonShares>();
    next->daemons = this->shares.holders(now);
    std::set<std::string_view> regions;
    for (const auto &[dataCentre, region] : this->adapter.deployment.regionOfDataCentre) {
        regions.insert(region);
    }
    next->regions = regions.size();
    for (const auto &[name, workspace] : configuration->workspaces) {
        const double rate = workspace.limits.ratePerSecond;
        next->own.emplace(name, this->shares.share(name, rate, now));
        next->region.emplace(name, this->shares.groupShare(name, rate, regionReporters, now));
    }
    this->traffic.publishShares(std::move(next));
}

DaemonReport GatewayDaemon::ownReport() const
{
    const std::string &self = this->adapter.deployment.daemonId;
    return {.daemon = self,
            .demand = this->demand,
            .metadataRevision = this->metadata->revision(),
            .storeAge = this->storeAge(),
            .leaving = this->leaving ? std::set<std::string, std::less<>>{self} : std::set<std::string, std::less<>>(),
            .promotions = this->primaries.promotions()};
}

DaemonReport GatewayDaemon::dataCentreReport() const
{
    DaemonReport sum = this->ownReport();
    sum.dataCentre = this->adapter.deployment.dataCentre;
    const core::TimePoint now = core::Clock::now();
    for (const auto &[daemon, report] : this->localReports) {
        const auto reported = this->reportedAt.find(daemon);
        if (reported == this->reportedAt.end() || now - reported->second > MaximumLocalReportAge) {
            continue;
        }
        ++sum.daemons;
        sum.leaving.insert(report.leaving.begin(), report.leaving.end());
        sum.storeAge = std::min(sum.storeAge, report.storeAge);
        for (const auto &[workspace, rate] : report.demand) {
            sum.demand[workspace] += rate;
        }
    }
    return sum;
}

std::string GatewayDaemon::delegateOf(std::string_view dataCentre) const
{
    // Daemons with the largest processor share are the homes of most servers, so they also send the reports.
    const auto isBetter = [this](const PeerDaemon &left, const PeerDaemon &right) {
        return left.processorShare != right.processorShare ? left.processorShare > right.processorShare
                                                           : left.id < right.id;
    };
    const PeerDaemon *best = nullptr;
    for (const auto &[id, daemon] : this->view->daemons) {
        if (daemon.dataCentre != dataCentre || daemon.isSuspect || this->leavingDaemons.contains(id)) {
            continue;
        }
        if (best == nullptr || isBetter(daemon, *best)) {
            best = &daemon;
        }
    }
    return best == nullptr ? std::string() : best->id;
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
        const auto daemon = this->view->daemons.find(this->delegateOf(dataCentre));
        if (daemon != this->view->daemons.end()) {
            found.push_back(&daemon->second);
        }
    }
    return found;
}

void GatewayDaemon::sendTo(const std::vector<const PeerDaemon *> &receivers, const DaemonReport &report)
{
    const std::string payload = json::serialize(toJson(report));
    const std::uint16_t port = this->adapter.deployment.reportListen.port();
    for (const PeerDaemon *const receiver : receivers) {
        this->reports->send({receiver->endpoint.address(), port}, payload);
    }
}

void GatewayDaemon::sendReport()
{
    this->sendTo(this->localPeers(), this->ownReport());
    this->sendToDataCentres();
}

void GatewayDaemon::sendToDataCentres()
{
    const Deployment &deployment = this->adapter.deployment;
    if (this->delegateOf(deployment.dataCentre) == deployment.daemonId) {
        this->sendTo(this->otherDelegates(), this->dataCentreReport());
    }
}

void GatewayDaemon::forwardReport(const DaemonReport &report)
{
    const auto sender = this->view->daemons.find(report.daemon);
    const bool mustForward = sender != this->view->daemons.end() && sender->second.dataCentre == report.dataCentre
        && this->delegateOf(this->adapter.deployment.dataCentre) == this->adapter.deployment.daemonId;
    if (mustForward) {
        this->sendTo(this->localPeers(), report);
    }
}

void GatewayDaemon::receiveReport(std::string_view payload)
{
    DaemonReport report;
    try {
        report = core::valueOrThrow([payload]() -> boost::leaf::result<DaemonReport> {
            BOOST_LEAF_AUTO(body, core::parseJsonObject(payload));
            return daemonReportFromJson(body);
        });
    } catch (const core::Error &error) {
        this->log.line("report_unreadable", telemetry::LogLevel::Warning).field("reason", error.message);
        return;
    }
    const core::TimePoint now = core::Clock::now();
    this->applyLeaving(report);
    if (report.dataCentre.empty()) {
        this->localReports[report.daemon] = report;
    } else {
        this->forwardReport(report);
    }
    const std::string &reporter = report.dataCentre.empty() ? report.daemon : report.dataCentre;
    this->shares.report(reporter, report.demand, report.daemons, now);
    this->storeAges[reporter] = report.storeAge;
    this->reportedAt[reporter] = now;
    bool hasNewPromotion = false;
    for (const auto &[service, promotion] : report.promotions) {
        hasNewPromotion = this->applyPromotion(service, promotion.server, promotion.fence) || hasNewPromotion;
    }
    if (hasNewPromotion && report.dataCentre.empty()) {
        // Callers in all data centres wait for the new primary, so the sum is sent without waiting for the next
        // interval.
        this->sendToDataCentres();
    }
    this->metadata->onRevisionAnnounced(report.daemon, report.metadataRevision);
}

void GatewayDaemon::applyLeaving(const DaemonReport &report)
{
    std::set<std::string, std::less<>> next = report.leaving;
    for (const std::string &daemon : this->leavingDaemons) {
        const auto known = this->view->daemons.find(daemon);
        const bool isReported = report.dataCentre.empty()
            ? daemon == report.daemon
            : known != this->view->daemons.end() && known->second.dataCentre == report.dataCentre;
        if (!isReported) {
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
    net::HttpRequest message = net::jsonRequest(MetadataPath, request);
    const net::HttpResponse response
        = co_await this->peers.exchange(endpoint, std::move(message), MetadataExchangeTimeout);
    if (response.status != StatusOk) {
        throw core::Error(core::ResultCode::PeerUnreachable,
                          "daemon answered with HTTP status " + std::to_string(response.status));
    }
    co_return core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
}

}
