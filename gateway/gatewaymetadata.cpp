#include "gateway/gatewaydaemon.h"

#include "core/hashing.h"
#include "core/json.h"
#include "gateway/relaychoice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Daemons whose last report is older are not candidates for relays.
constexpr std::chrono::milliseconds MaximumRelayReportAge{1'200};
/// Without a newer digest of its aggregator, a daemon takes part in the choice by itself. Longer than the change to
/// another aggregator takes.
constexpr std::chrono::milliseconds MaximumRelayDigestAge{1'500};
/// Interval between attempts to reach the metadata store, with a jitter of half the interval in both directions.
constexpr std::chrono::milliseconds MetadataRetry{300};
/// Time in which the daemons of a region get a change from their own relays. The narrow link between regions would be
/// filled for seconds if each of them pulled a large configuration across it.
constexpr std::chrono::milliseconds CrossRegionPullDelay{800};
/// Part of the change deadline after which a daemon that no peer brings up to date watches the store itself.
constexpr int BehindDivisor = 4;
/// Time in which a daemon that starts finds another daemon to compare its configuration with.
constexpr std::chrono::milliseconds ConfigurationCheckTimeout{1'000};
constexpr std::chrono::milliseconds ConfigurationCheckInterval{50};
constexpr std::size_t PeersPerCheck = 3;

}

void GatewayDaemon::startMetadata()
{
    const net::Executor executor = this->context.get_executor();
    this->source = std::make_shared<MetadataSource>(
        executor,
        this->store,
        MetadataSourceOptions{.prefixes = this->followedPrefixes(),
                              .changeDeadline = this->adapter.deployment.changeDeadline,
                              .onEra = [this](std::uint64_t era) { this->recordEra(era, "store"); }},
        this->log);
    daemon::ConfigurationCallbacks callbacks;
    callbacks.isRelay = [this] { return this->isRelay(); };
    callbacks.peers = [this] { return this->metadataPeers(); };
    callbacks.isInSameRegion = [this](std::string_view daemon) {
        const auto peer = this->view->daemons.find(daemon);
        return peer != this->view->daemons.end()
            && this->view->regionOf(peer->second.dataCentre) == this->adapter.deployment.region;
    };
    callbacks.exchange = [this](std::string daemon, json::object request) {
        return this->exchangeMetadata(std::move(daemon), std::move(request));
    };
    callbacks.revisionRaised = [this](const confsync::EntryStore &entries) { this->applyMetadata(entries); };
    callbacks.onApplyFailed = [this](std::string_view reason) {
        this->log.line("metadata_not_applied", telemetry::LogLevel::Error)
            .field("revision", core::StorePoint::fromOrder(this->metadata->revision()).revision)
            .field("reason", reason);
    };
    callbacks.onPullFailed = [this](std::string_view peer, std::string_view reason) {
        this->log.line("metadata_pull_failed", telemetry::LogLevel::Warning)
            .field("peer", peer)
            .field("revision", core::StorePoint::fromOrder(this->metadata->revision()).revision)
            .field("reason", reason);
    };
    daemon::ConfigurationOptions options;
    options.watchSilence = this->source->longestSilence();
    options.retryInterval = MetadataRetry;
    options.crossRegionDelay = CrossRegionPullDelay;
    options.behindLimit = this->adapter.deployment.changeDeadline / BehindDivisor;
    options.seed = core::stableHash(this->adapter.deployment.daemonId);
    this->metadata = std::make_shared<daemon::ConfigurationService>(
        executor, this->source, std::move(options), std::move(callbacks));
    this->metadata->start();
}

std::vector<std::string> GatewayDaemon::followedPrefixes() const
{
    const MetadataFormat &format = this->adapter.format;
    std::vector<std::string> prefixes{format.configurationKey, format.serverPrefix, std::string(OwnKeyPrefix)};
    if (!format.evacuationPrefix.empty()) {
        prefixes.push_back(format.evacuationPrefix);
    }
    return prefixes;
}

bool GatewayDaemon::isRelay() const
{
    const bool hasDigest = core::Clock::now() - this->digestAt < MaximumRelayDigestAge;
    const std::vector<std::string> current = hasDigest ? this->relays : this->chosenRelays();
    return std::ranges::find(current, this->adapter.deployment.daemonId) != current.end();
}

std::vector<std::string> GatewayDaemon::chosenRelays() const
{
    const Deployment &deployment = this->adapter.deployment;
    std::vector<RelayCandidate> candidates;
    candidates.push_back(
        {.id = deployment.daemonId, .processorShare = deployment.processorShare, .storeAge = this->storeAge()});
    const core::TimePoint now = core::Clock::now();
    for (const PeerDaemon *const localPeer : this->localPeers()) {
        const auto received = this->aggregator.localReports().find(localPeer->id);
        const bool hasRecentReport = received != this->aggregator.localReports().end()
            && now - received->second.receivedAt < MaximumRelayReportAge;
        if (!hasRecentReport || localPeer->isSuspect || this->leavingDaemons.contains(localPeer->id)) {
            continue;
        }
        const auto age = std::chrono::duration_cast<core::Milliseconds>(now - received->second.receivedAt);
        candidates.push_back({.id = localPeer->id,
                              .processorShare = localPeer->processorShare,
                              .storeAge = received->second.report.storeAge + age});
    }
    return chooseRelays(deployment.dataCentre, candidates);
}

std::vector<std::string> GatewayDaemon::metadataPeers() const
{
    std::vector<std::pair<int, std::string>> ranked;
    for (const auto &[id, daemon] : this->view->daemons) {
        if (id == this->adapter.deployment.daemonId || daemon.isSuspect) {
            continue;
        }
        const bool isLocal = daemon.dataCentre == this->adapter.deployment.dataCentre;
        const bool isNear = this->view->regionOf(daemon.dataCentre) == this->adapter.deployment.region;
        ranked.emplace_back(isLocal ? 0 : isNear ? 1 : 2, id);
    }
    std::ranges::sort(ranked);
    std::vector<std::string> peers;
    for (auto &[rank, id] : ranked) {
        peers.push_back(std::move(id));
    }
    return peers;
}

void GatewayDaemon::applyMetadata(const confsync::EntryStore &entries)
{
    const std::shared_ptr<const Configuration> before = this->mirror.configuration();
    const std::int64_t revisionBefore = this->mirror.significantRevision();
    const core::StorePoint point = core::StorePoint::fromOrder(entries.revision());
    const std::string &pulledFrom = this->metadata->revisionSource();
    this->recordEra(point.era, pulledFrom.empty() ? std::string_view("store") : std::string_view(pulledFrom));
    if (this->configurationCheck == ConfigurationCheck::NotStarted) {
        if (point.era == 0) {
            // Without an era, the store loses nothing.
            this->configurationCheck = ConfigurationCheck::Done;
        } else {
            this->configurationCheck = ConfigurationCheck::Running;
            asio::co_spawn(this->context, this->checkConfiguration(), asio::detached);
        }
    }
    this->evacuationChanged = false;
    this->mirror.apply(entries, core::Clock::now());
    this->lease->onStoreRead(point);
    if (this->mirror.significantRevision() != revisionBefore) {
        // Published before the revision is announced, since peers that hear of it pull these entries.
        this->metadataSnapshot = std::make_shared<const confsync::EntryStore>(entries);
        this->publishView();
    }
    const std::string &source = this->metadata->revisionSource();
    if (this->evacuationChanged && source.empty()) {
        // The daemons of the data centre pull the change from the relays, which read it from the store.
        this->broadcastReport();
    }
    if (this->mirror.configuration() != before) {
        this->log.line("configuration_received")
            .field("version", this->mirror.configuration()->version)
            .field("revision", core::StorePoint::fromOrder(entries.revision()).revision)
            .field("source", source.empty() ? std::string_view("store") : std::string_view(source));
        if (source.empty()) {
            // The daemons of the data centre pull the configuration from the relays, which read it from the store.
            this->broadcastReport();
        }
    }
}

net::awaitable<void> GatewayDaemon::checkConfiguration()
{
    const core::TimePoint deadline = core::Clock::now() + ConfigurationCheckTimeout;
    std::set<std::string> asked;
    bool answered = false;
    while (!answered && asked.size() < PeersPerCheck && core::Clock::now() < deadline) {
        const std::vector<std::string> candidates = this->metadataPeers();
        const auto next
            = std::ranges::find_if(candidates, [&asked](const std::string &id) { return !asked.contains(id); });
        if (next == candidates.end()) {
            asio::steady_timer pause(this->context, ConfigurationCheckInterval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const std::string &peer = *next;
        asked.insert(peer);
        try {
            json::object request;
            request.emplace("since", this->metadata->revision());
            const json::object answer = co_await this->exchangeMetadata(peer, std::move(request));
            // A daemon that checks its own configuration at this moment cannot know a newer one.
            answered = answer.contains(VersionInForceMember);
            if (answer.contains(DepartedServersMember)) {
                this->mirror.holdServers(json::value_to<std::vector<std::string>>(answer.at(DepartedServersMember)),
                                         core::Clock::now());
            }
        } catch (const std::exception &error) {
            this->log.line("configuration_not_checked").field("peer", peer).field("reason", error.what());
        }
    }
    this->configurationCheck = ConfigurationCheck::Done;
    this->publishView();
}

std::shared_ptr<const Configuration> GatewayDaemon::configurationInForce() const
{
    return this->configurationCheck == ConfigurationCheck::Done ? this->mirror.configuration() : nullptr;
}

void GatewayDaemon::applyOwnEntry(const OwnEntry &item)
{
    if (item.key == DaemonLease::dutyKey()) {
        this->lease->onDutyEntry(item);
        return;
    }
    const std::string prefix = DaemonLease::registrationPrefix();
    if (!item.key.starts_with(prefix)) {
        return;
    }
    const std::string id = item.key.substr(prefix.size());
    this->lostRegistrations.remove(id);
    if (item.isLost) {
        this->lostRegistrations.add(id, core::Clock::now());
        return;
    }
    if (item.isRemoved) {
        this->registered.erase(id);
        this->updateLeaseHolders();
        return;
    }
    boost::system::error_code error;
    const json::value value = json::parse(item.value, error);
    if (error || !value.is_object()) {
        this->log.line("registration_unreadable", telemetry::LogLevel::Warning)
            .field("peer", id)
            .field("reason", "not a JSON object");
        return;
    }
    const json::object &entry = value.as_object();
    this->registered.insert_or_assign(id,
                                      Registration{.address = core::jsonString(entry, "address"),
                                                   .dataCentre = core::jsonString(entry, "data_centre")});
    this->updateLeaseHolders();
    this->processorShares[id] = core::jsonNumber(entry, "processor_share");
    std::vector<std::string> seeds = this->configuredSeeds();
    seeds.push_back(core::jsonString(entry, "address"));
    this->gossip->setSeeds(std::move(seeds));
    this->scheduleView();
}

void GatewayDaemon::recordEra(std::uint64_t era, std::string_view source)
{
    if (this->storeEra && era <= *this->storeEra) {
        return;
    }
    if (this->storeEra) {
        this->log.line("store_era_changed", telemetry::LogLevel::Warning)
            .field("era", era)
            .field("previous", *this->storeEra)
            .field("source", source);
    }
    this->storeEra = era;
    this->metrics.storeEra().set(static_cast<double>(era));
    this->lease->onEra(era);
}

void GatewayDaemon::removeLostRegistrations()
{
    const std::vector<std::string> ended = this->lostRegistrations.takeEnded(this->fleetStoreContact());
    for (const std::string &id : ended) {
        this->registered.erase(id);
    }
    if (!ended.empty()) {
        this->updateLeaseHolders();
        this->scheduleView();
    }
}

void GatewayDaemon::applyServers()
{
    for (const auto &[id, server] : this->mirror.servers()) {
        this->primaries.reportRole(server.service, id, server.claimsPrimary, server.revision);
    }
    for (const auto &[id, server] : this->view->servers) {
        if (!this->mirror.servers().contains(id)) {
            this->primaries.remove(server.service, id);
        }
    }
    this->publishView();
}

void GatewayDaemon::applyEvacuation(const EvacuationChange &change)
{
    this->evacuationChanged = true;
    this->log.line(change.isWithdrawn ? "evacuation_withdrawn" : "evacuation_requested", telemetry::LogLevel::Warning)
        .field("data_centre", change.dataCentre)
        .field("in_force", change.isOld);
    if (change.isWithdrawn) {
        this->evacuations.withdraw(change.dataCentre);
    } else if (change.isOld) {
        this->evacuations.requestInForce(change.dataCentre);
    } else {
        this->evacuations.request(change.dataCentre, core::Clock::now());
    }
}

void GatewayDaemon::tickEvacuations()
{
    const routing::EvacuationStages stages = this->evacuations.stages(core::Clock::now());
    if (stages == this->view->evacuations) {
        return;
    }
    for (const auto &[dataCentre, stage] : stages) {
        if (stage != routing::stageOf(this->view->evacuations, dataCentre)) {
            this->log.line("evacuation_stage")
                .field("data_centre", dataCentre)
                .field("stage", routing::stageName(stage));
        }
    }
    this->publishView();
}

bool GatewayDaemon::applyPromotion(const std::string &service, const std::string &server, std::uint64_t fence)
{
    if (!this->primaries.reportPromotion(service, server, fence)) {
        return false;
    }
    this->log.line("primary_changed").field("service", service).field("server", server).field("fence", fence);
    this->publishView();
    return true;
}

}
