#include "gateway/gatewaydaemon.h"
#include "gateway/countedstore.h"

#include "confsync/relays.h"
#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "daemon/daemondetail.h"
#include "gateway/peeroptions.h"
#include "membership/homeorder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds SettingsInterval{1'000};
/// Shortest interval between views that are published for changes of the membership.
constexpr std::chrono::milliseconds ViewInterval{100};
/// If another daemon reached the store within this time, the store is available to other daemons and may have elected a
/// new holder.
constexpr std::chrono::milliseconds StoreContactAge{3'200};
/// Only daemons with at least this part of the largest processor share of their data centre become homes; weaker
/// daemons forward their units of work.
constexpr double HomeProcessorPart = 0.5;
/// Daemons listed as homes of a server: the home itself, then the daemons tried when the home cannot reach the server.
constexpr std::size_t HomesPerServer = 4;
/// Lease time that must remain for an order to be sent if the platform does not check fences.
constexpr std::chrono::milliseconds UnfencedReserve{1'000};
/// The load balancer removes a daemon after two failed readiness checks, one second apart.
constexpr std::chrono::milliseconds BalancerLag{2'200};
/// Idle sessions are closed in this many steps, so that their callers do not reconnect all at once. Together with the
/// balancer's lag, the steps take half of a stop grace of 6 s; the other half is left for statements already received.
constexpr unsigned CloseSteps = 5;
constexpr std::chrono::milliseconds CloseInterval{200};
/// Random bytes from which the number of this process in its clock stamps is made.
constexpr std::size_t StampProcessBytes = 16;
/// Of the pings and comparisons of gossip with other regions, one in this many is made while the fleet is steady, since
/// regions share a narrow link.
constexpr unsigned RemoteGossipInterval = 8;
/// Limits of the port for readiness checks, whose requests are small and come once per second.
constexpr std::size_t ReadinessHeaderBytes = 4096;
constexpr std::size_t ReadinessBodyBytes = 1024;
constexpr std::size_t ReadinessConnections = 32;
constexpr std::chrono::milliseconds ReadinessRequestTimeout{1'000};
/// Time reserved for the exit of the process after its last session.
constexpr std::chrono::milliseconds ExitReserve{400};

std::string datagramAddress(const net::TcpEndpoint &endpoint)
{
    return net::formatEndpoint({endpoint.address(), endpoint.port()});
}

}

GatewayDaemon::GatewayDaemon(PlatformAdapter platformAdapter, telemetry::LogOptions logOptions)
    : adapter(std::move(platformAdapter))
    , log(std::move(logOptions))
    , traffic(TrafficCoreOptions{.deployment = this->adapter.deployment,
                                 .links = this->adapter.links,
                                 .protocol = this->adapter.callerProtocol.get(),
                                 .log = &this->log,
                                 .metrics = &this->metrics,
                                 .meter = &this->meter,
                                 .onNotPrimary =
                                     [this](std::string service, std::string server) {
                                         asio::post(this->context,
                                                    [this, service = std::move(service), server = std::move(server)] {
                                                        this->primarySearch->onNotPrimary(service, server);
                                                    });
                                     }})
    , peers(this->context.get_executor(), peerClientOptions(&this->meter))
    , mirror(
          this->adapter.format,
          MetadataCallbacks{.onServers = [this] { this->applyServers(); },
                            .onOwnEntry = [this](const OwnEntry &entry) { this->applyOwnEntry(entry); },
                            .onConfiguration = [this] { this->publishView(); },
                            .onEvacuation = [this](const EvacuationChange &change) { this->applyEvacuation(change); }},
          this->log)
    , evacuations(this->adapter.deployment.evacuationDeadline)
    , shares(this->adapter.deployment.daemonId, core::Clock::now())
    , aggregator(reports::ReportAggregatorOptions{.dataCentre = this->adapter.deployment.dataCentre,
                                                  .regionOfDataCentre = this->adapter.deployment.regionOfDataCentre})
    , stampClock(core::stableHash(core::randomHex(StampProcessBytes)) | 1U)
{
}

int GatewayDaemon::run()
{
    const Deployment &deployment = this->adapter.deployment;
    this->log.line("started")
        .field("daemon", deployment.daemonId)
        .field("data_centre", deployment.dataCentre)
        .field("version", ENDIVESHORE_VERSION);
    if (!this->adapter.metricsAddress.empty()) {
        this->metrics.expose(this->adapter.metricsAddress);
    }
    this->traffic.start();
    this->startReadiness();
    this->startMembership();
    this->startStore();
    asio::co_spawn(this->context, this->tickLoop(), asio::detached);
    asio::co_spawn(this->context, this->reportLoop(), asio::detached);
    asio::co_spawn(this->context, this->watchSettings(), asio::detached);
    asio::co_spawn(this->context, this->signalLoop(), asio::detached);
    this->context.run();
    this->traffic.stop();
    this->log.line("stopped");
    this->log.flush();
    return 0;
}

void GatewayDaemon::startReadiness()
{
    this->readiness = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &) -> net::awaitable<net::HttpResponse> {
            co_return this->answerReadiness(request);
        },
        net::HttpServerOptions{.maxHeaderBytes = ReadinessHeaderBytes,
                               .maxBodyBytes = ReadinessBodyBytes,
                               .requestTimeout = ReadinessRequestTimeout,
                               .maxConnections = ReadinessConnections});
    this->readiness->listen(this->context.get_executor(), this->adapter.deployment.readinessListen);
}

net::HttpResponse GatewayDaemon::answerReadiness(const net::HttpRequest &request) const
{
    constexpr int Ready = 200;
    constexpr int NotReady = 503;
    if (request.target != this->adapter.readinessPath) {
        return net::errorResponse(core::ResultCode::UnknownPath, core::Outcome::NotRun, request.target);
    }
    return {.status = this->isReady() ? Ready : NotReady};
}

bool GatewayDaemon::isReady() const
{
    return !this->leaving && this->configurationInForce() != nullptr && !this->mirror.servers().empty();
}

std::vector<std::string> GatewayDaemon::configuredSeeds() const
{
    std::vector<std::string> seeds;
    for (const net::TcpEndpoint &seed : this->adapter.deployment.seeds) {
        seeds.push_back(datagramAddress(seed));
    }
    return seeds;
}

void GatewayDaemon::startMembership()
{
    const Deployment &deployment = this->adapter.deployment;
    std::vector<std::string> seeds = this->configuredSeeds();
    daemon::GossipServiceOptions options{.gossip = {.id = deployment.daemonId,
                                                    .address = datagramAddress(deployment.peerListen),
                                                    .dataCentre = deployment.dataCentre,
                                                    .region = deployment.region,
                                                    .incarnation = daemon::startIncarnation(),
                                                    .seed = daemon::startIncarnation(),
                                                    .seeds = std::move(seeds),
                                                    .remoteRegionInterval = RemoteGossipInterval},
                                         .listen = {deployment.peerListen.address(), deployment.peerListen.port()}};
    daemon::GossipCallbacks callbacks{.onMember = [this](const membership::MemberEvent &event) {
        this->log.line("daemon_changed")
            .field("peer", event.member.id)
            .field("state", membership::memberStateName(event.member.state));
        if (event.kind == membership::MemberEventKind::Left) {
            this->aggregator.remove(event.member.id);
        }
        this->scheduleView();
    }};
    callbacks.onSent = [this](const net::UdpEndpoint &to, std::size_t bytes) {
        this->meter.add(telemetry::RegionTraffic::Gossip, to.address(), bytes);
    };
    this->gossip = std::make_shared<daemon::GossipService>(
        this->context.get_executor(), std::move(options), std::move(callbacks));
    this->gossip->start();
    this->reports = std::make_shared<net::UdpSocket>(this->context.get_executor());
    this->reports->observeSent([this](const net::UdpEndpoint &to, std::size_t bytes) {
        this->meter.add(telemetry::RegionTraffic::Report, to.address(), bytes);
    });
    this->reports->open(
        {deployment.reportListen.address(), deployment.reportListen.port()},
        [this](const net::UdpEndpoint &sender, std::string_view payload) { this->receiveReport(sender, payload); });
}

void GatewayDaemon::startStore()
{
    this->store = std::make_shared<CountedStore>(
        this->adapter.openStore(this->context.get_executor(),
                                [this] { return this->adapter.deployment.metadataStore; }),
        this->metrics);
    this->startMetadata();
    this->startDuty();
}

void GatewayDaemon::startDuty()
{
    const net::Executor executor = this->context.get_executor();
    const Deployment &deployment = this->adapter.deployment;
    const json::object registration{{"address", datagramAddress(deployment.peerListen)},
                                    {"data_centre", deployment.dataCentre},
                                    {"processor_share", deployment.processorShare}};
    DaemonLeaseCallbacks leaseCallbacks{.mayCompete = [this] { return this->isRelay(); },
                                        .onContact = [this] { this->renewedAt = core::Clock::now(); },
                                        .onElected = [this](core::StorePoint election) { this->startTerm(election); },
                                        .onDutyLost = [this](const std::string &) { this->duty->stop(); },
                                        .onEra = [this](std::uint64_t era) { this->recordEra(era, "store"); },
                                        .daemons = [this] { return this->registered.size(); }};
    this->lease = std::make_shared<DaemonLease>(
        executor,
        this->store,
        DaemonLeaseOptions{.daemonId = deployment.daemonId, .registration = json::serialize(registration)},
        std::move(leaseCallbacks),
        this->log);
    const auto view = [this] { return this->view; };
    const auto survey = std::make_shared<CandidateSurvey>(
        executor,
        deployment.daemonId,
        CandidateSurveyCallbacks{.query
                                 = [this](pooling::WorkUnit unit) { return this->traffic.runHedged(std::move(unit)); },
                                 .view = view,
                                 .readStatus = this->adapter.readStatus});
    PrimarySearchCallbacks searchCallbacks{.view = view,
                                           .onFound = [this](const std::string &service, const std::string &server) {
                                               this->primaries.reportPrimary(service, server);
                                               this->scheduleView();
                                           }};
    this->primarySearch = std::make_shared<PrimarySearch>(executor, survey, std::move(searchCallbacks), this->log);
    PromotionDutyDependencies dependencies{
        .survey = survey,
        .view = view,
        .mayOrder = [this] { return this->mayOrderPromotions(); },
        .onPromoted =
            [this](const std::string &service, const std::string &server, std::uint64_t fence) {
                this->applyPromotion(service, server, fence);
                this->broadcastReport();
            },
        .onNotPrimary =
            [this](const std::string &service, const std::string &server) {
                this->primaries.reportNotPrimary(service, server);
                this->scheduleView();
            },
        .onFenced =
            [this] {
                if (!this->lease->holdsDuty()) {
                    this->lease->loseDuty("a promotion order was refused after the lease had expired");
                }
            }};
    std::shared_ptr<PromotionService> orders
        = this->adapter.openPromotions(executor, [this] { return this->adapter.deployment.promotionService; });
    this->duty = std::make_shared<PromotionDuty>(
        executor, deployment.daemonId, std::move(orders), std::move(dependencies), this->log);
    asio::co_spawn(executor, this->lease->run(), asio::detached);
}

void GatewayDaemon::startTerm(core::StorePoint election)
{
    if (!failover::FenceCounter::covers(election)) {
        this->log.line("fences_exhausted", telemetry::LogLevel::Error)
            .field("era", election.era)
            .field("revision", election.revision);
        this->lease->loseDuty("no fencing token is above those of earlier holders");
        return;
    }
    this->duty->start(election);
}

core::Milliseconds GatewayDaemon::storeAge() const
{
    const core::TimePoint contact = std::max(this->source->lastContact().value_or(core::TimePoint()),
                                             this->renewedAt.value_or(core::TimePoint()));
    return std::chrono::duration_cast<core::Milliseconds>(core::Clock::now() - contact);
}

bool GatewayDaemon::mayOrderPromotions() const
{
    if (!this->adapter.deployment.checksFences) {
        // Without fence checks, the platform would carry out an order that arrives after another daemon was elected.
        return this->lease->holdsDuty(UnfencedReserve);
    }
    if (this->lease->holdsDuty()) {
        return true;
    }
    if (!this->lease->wasElected()) {
        return false;
    }
    // The lease has expired without a renewal. Another daemon can have been elected only if the store still answers
    // some daemon.
    const core::TimePoint now = core::Clock::now();
    return std::ranges::none_of(this->storeContacts,
                                [now](const auto &entry) { return now - entry.second < StoreContactAge; });
}

core::TimePoint GatewayDaemon::fleetStoreContact() const
{
    core::TimePoint newest = core::Clock::now() - this->storeAge();
    for (const auto &[dataCentre, contact] : this->storeContacts) {
        newest = std::max(newest, contact);
    }
    return newest;
}

void GatewayDaemon::scheduleView()
{
    if (this->viewPending) {
        return;
    }
    this->viewPending = true;
    // A change is published at once, and those that follow it together: while a fleet starts, each daemon hears of
    // hundreds of others within a second.
    this->viewTimer.expires_at(std::max(core::Clock::now(), this->viewPublishedAt + ViewInterval));
    this->viewTimer.async_wait([this](const boost::system::error_code &error) {
        this->viewPending = false;
        if (!error) {
            this->publishView();
        }
    });
}

void GatewayDaemon::addHomes(GatewayView &next) const
{
    std::map<std::string_view, double> largestShare;
    for (const auto &[id, daemon] : next.daemons) {
        double &largest = largestShare[daemon.dataCentre];
        largest = std::max(largest, daemon.processorShare);
    }
    std::vector<membership::HomeCandidate> candidates;
    for (const auto &[id, daemon] : next.daemons) {
        const bool isStrong = daemon.processorShare >= HomeProcessorPart * largestShare[daemon.dataCentre];
        if (isStrong && !this->leavingDaemons.contains(id) && !daemon.isSuspect) {
            candidates.push_back(
                {.id = id, .dataCentre = daemon.dataCentre, .region = std::string(next.regionOf(daemon.dataCentre))});
        }
    }
    const std::string_view ownRegion = this->adapter.deployment.region;
    for (const membership::HomeCandidate &candidate : candidates) {
        if (candidate.region == ownRegion) {
            next.rateHomes.push_back(candidate.id);
        }
    }
    for (const auto &[id, server] : next.servers) {
        next.homes.emplace(
            id,
            membership::homeOrder(id, server.dataCentre, next.regionOf(server.dataCentre), candidates, HomesPerServer));
    }
}

void GatewayDaemon::publishView()
{
    const Deployment &deployment = this->adapter.deployment;
    GatewayView next;
    next.configuration = this->configurationInForce();
    next.configurationText = this->mirror.configurationText();
    next.isConfigurationStored = this->mirror.isConfigurationStored();
    next.departedServers = this->mirror.departedServers();
    next.copyAt = this->mirror.copyAt();
    next.servers = this->mirror.servers();
    next.regionOfDataCentre = deployment.regionOfDataCentre;
    next.self = deployment.daemonId;
    next.isLeaving = this->leaving;
    next.ordersByPriority = deployment.ordersByPriority;
    next.daemons.emplace(deployment.daemonId,
                         PeerDaemon{.id = deployment.daemonId,
                                    .endpoint = deployment.peerListen,
                                    .dataCentre = deployment.dataCentre,
                                    .processorShare = deployment.processorShare});
    for (const membership::Member &member : this->gossip->membership().members()) {
        if (member.id == deployment.daemonId || !daemon::isLive(member)) {
            continue;
        }
        const std::optional<net::TcpEndpoint> endpoint = net::tryParseEndpoint(member.address);
        if (!endpoint) {
            this->log.line("daemon_unusable", telemetry::LogLevel::Warning)
                .field("peer", member.id)
                .field("reason", "its address is not of the form ip:port");
            continue;
        }
        const auto share = this->processorShares.find(member.id);
        next.daemons.emplace(member.id,
                             PeerDaemon{.id = member.id,
                                        .endpoint = *endpoint,
                                        .dataCentre = member.dataCentre,
                                        .processorShare = share == this->processorShares.end() ? 0 : share->second,
                                        .isSuspect = member.state == membership::MemberState::Suspect});
    }
    for (const auto &[id, server] : next.servers) {
        if (!next.primaries.contains(server.service)) {
            const std::string primary = this->primaries.primaryOf(server.service);
            if (!primary.empty()) {
                next.primaries.emplace(server.service, primary);
            }
        }
    }
    next.metadata = this->metadataSnapshot;
    next.coldBound = {.excess = deployment.coldExcess, .slack = deployment.coldSlack};
    next.evacuations = this->evacuations.stages(core::Clock::now());
    this->source->setWatchers(next.regionOfDataCentre.size() * confsync::RelaysPerDataCentre);
    this->addHomes(next);
    for (const auto &[dataCentre, stage] : next.evacuations) {
        this->metrics.evacuationStage(dataCentre).set(static_cast<double>(stage));
    }
    for (const auto &[dataCentre, stage] : this->view->evacuations) {
        if (!next.evacuations.contains(dataCentre)) {
            this->metrics.removeDataCentre(dataCentre);
        }
    }
    const bool isNewConfiguration = next.configuration != this->view->configuration;
    this->view = std::make_shared<const GatewayView>(std::move(next));
    this->viewPublishedAt = core::Clock::now();
    if (isNewConfiguration) {
        // Callers connect as soon as a daemon has started, before the first periodic report updates the shares.
        this->updateShares();
    }
    this->meter.setView(*this->view);
    this->traffic.publish(this->view);
}

net::awaitable<void> GatewayDaemon::tickLoop()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(UseTuple);
        this->mirror.tick(this->fleetStoreContact());
        this->removeLostRegistrations();
        this->tickEvacuations();
    }
}

net::awaitable<void> GatewayDaemon::watchSettings()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(SettingsInterval);
        co_await timer.async_wait(UseTuple);
        this->reloadSettings();
    }
}

void GatewayDaemon::reloadSettings()
{
    try {
        Deployment read = this->adapter.reload();
        if (read.text == this->adapter.deployment.text) {
            return;
        }
        this->log.line("settings_changed");
        // Listening addresses and the daemon's identity cannot change while the process runs.
        this->adapter.deployment.text = read.text;
        this->adapter.deployment.metadataStore = read.metadataStore;
        this->adapter.deployment.promotionService = read.promotionService;
        this->adapter.deployment.seeds = std::move(read.seeds);
        this->adapter.deployment.stopGrace = read.stopGrace;
    } catch (const core::Error &error) {
        this->log.line("settings_unreadable", telemetry::LogLevel::Error).field("reason", error.message);
    }
}

net::awaitable<void> GatewayDaemon::signalLoop()
{
    asio::signal_set signals(this->context, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        auto [error, signal] = co_await signals.async_wait(UseTuple);
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            this->reloadSettings();
            continue;
        }
        co_await this->shutDown();
        co_return;
    }
}

net::awaitable<void> GatewayDaemon::shutDown()
{
    const core::TimePoint start = core::Clock::now();
    const core::Milliseconds grace = this->adapter.deployment.stopGrace;
    this->log.line("stopping").field("grace_ms", grace.count());
    this->leaving = true;
    this->publishView();
    this->broadcastReport();
    asio::co_spawn(this->context, this->lease->stop(), asio::detached);
    asio::steady_timer timer(this->context);
    timer.expires_at(start + BalancerLag);
    co_await timer.async_wait(UseTuple);
    const core::TimePoint transactionEnd = start + grace / 2;
    const core::TimePoint last = start + grace - ExitReserve;
    unsigned remaining = CloseSteps;
    bool accepting = true;
    while (core::Clock::now() < last) {
        // If most daemons of the data centre are stopping, the load balancer keeps sending callers to this daemon.
        // Sessions are therefore accepted until the last step, while there is time left to answer their statements.
        if (accepting && remaining == 1) {
            accepting = false;
            this->traffic.stopAccepting();
        }
        // After the last step, sessions that callers have opened since are closed at every interval.
        this->traffic.closeIdleSessions(remaining);
        remaining = std::max(1U, remaining - 1);
        if (core::Clock::now() >= transactionEnd) {
            this->traffic.abortTransactions();
        }
        timer.expires_after(CloseInterval);
        co_await timer.async_wait(UseTuple);
        const std::size_t open = co_await this->traffic.openWork();
        if (open == 0) {
            break;
        }
    }
    this->gossip->leave();
    this->log.line("left").field("after_ms", core::toMilliseconds(core::Clock::now() - start));
    this->context.stop();
}

}
