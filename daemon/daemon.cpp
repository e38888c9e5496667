#include "daemon/daemon.h"

#include "core/hashing.h"
#include "core/json.h"
#include "daemon/daemondetail.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <csignal>

/// Construction of the daemon's services and the callbacks that connect them.
namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::vector<std::string> endpointTexts(const std::vector<net::TcpEndpoint> &endpoints)
{
    std::vector<std::string> texts;
    for (const net::TcpEndpoint &endpoint : endpoints) {
        texts.push_back(endpointText(endpoint));
    }
    return texts;
}

telemetry::LogOptions logOptions(const DaemonSettings &settings)
{
    telemetry::LogOptions options;
    options.format = telemetry::logFormatFromName(settings.logFormat);
    options.level = telemetry::logLevelFromName(settings.logLevel);
    options.output = settings.logOutput;
    options.daemon = settings.id;
    options.linesPerSecond = settings.logLinesPerSecond;
    return options;
}

}

Daemon::Daemon(DaemonSettings daemonSettings)
    : settings(std::move(daemonSettings))
    , log(logOptions(this->settings))
    , lease(this->settings.id, membership::HomeLeaseOptions{.handoverWait = this->settings.handoverWait})
    , catalogueBuilder([this](std::string_view key, std::string_view problem) {
        this->log.line("configuration", telemetry::LogLevel::Error).field("key", key).field("problem", problem);
    })
    , freshness(this->settings.id, core::Clock::now())
    , view(std::make_shared<const FleetView>())
    , tickTimer(this->control)
    , signals(this->control, SIGTERM, SIGINT)
{
    this->state.selfId = this->settings.id;
    this->state.expectsMembers = !this->settings.seeds.empty() || this->settings.vmList.has_value();
    this->createServices();
}

Daemon::~Daemon()
{
    if (this->traffic) {
        this->traffic->stop();
    }
}

int Daemon::run()
{
    if (!this->settings.metricsListen.empty()) {
        this->metrics.expose(this->settings.metricsListen);
    }
    this->gossip->start();
    // Clears the draining state that an earlier process of this daemon may have announced.
    membership::StateValue serving;
    serving.version = static_cast<std::int64_t>(startIncarnation());
    this->gossip->setState(std::string(DrainingStatePrefix) + this->settings.id, serving);
    this->publishView();
    this->peerFrontend->listen(this->settings.peerListen);
    this->admin->listen(this->control.get_executor(), this->settings.adminListen);
    this->configuration->start();
    this->traffic->start();
    this->admission->start();
    if (this->vmList) {
        asio::co_spawn(this->control, this->pollVmList(), asio::detached);
    }
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            asio::co_spawn(this->control, this->drain(), asio::detached);
        }
    });
    this->scheduleTick();
    this->log.line("start")
        .field("data_centre", this->settings.dataCentre)
        .field("listen", endpointText(this->settings.listen));
    this->control.run();
    this->traffic->stop();
    return 0;
}

TrafficCallbacks Daemon::trafficCallbacks()
{
    TrafficCallbacks callbacks;
    callbacks.homeCheck = [this](std::uint64_t epoch) {
        const core::TimePoint validUntil{core::Duration(this->leaseValidUntil.load())};
        return epoch == this->homeEpoch.load() && core::Clock::now() < validUntil;
    };
    callbacks.admit = [this](std::string service, std::string workspace, core::TimePoint deadline) {
        return this->admission->acquire(groupKey(service, workspace), deadline);
    };
    callbacks.isDraining = [this] { return this->drainStarted.load(); };
    callbacks.finished = [this](const FinishedRequest &request) {
        this->metrics.statements(request.outcome).add();
        if (request.code != core::ResultCode::Ok) {
            this->metrics.refusals(request.code).add();
        }
        if (request.read) {
            const auto source = request.fromReplica ? telemetry::ReadSource::Replica : telemetry::ReadSource::Primary;
            this->metrics.reads(source).add();
        }
    };
    callbacks.queueWait = [this](core::Duration waited) { this->metrics.queueTime().observe(waited); };
    callbacks.routeDecision = [this](const StatementRouter::Decision &decision) {
        auto line = this->log.line("route");
        if (!line.isActive()) {
            return;
        }
        line.field("database", decision.database)
            .field("route", decision.route)
            .field("workspace", decision.workspace)
            .field("chosen", decision.chosen)
            .field("reason", decision.reason)
            .list("passed_over", decision.passedOver);
    };
    callbacks.homeDecision = [this](const std::string &server, std::string_view decision, std::string_view reason) {
        this->log.line("placement").field("server", server).field("decision", decision).field("reason", reason);
    };
    callbacks.homeReleased = [this](const std::string &server) {
        this->metrics.removeServer(server);
        asio::co_spawn(this->control, this->releaseServer(server), asio::detached);
    };
    callbacks.peerRefused = [this](const net::TcpEndpoint &endpoint) {
        asio::post(this->control, [this, endpoint] { this->gossip->reportRefused(endpoint); });
    };
    return callbacks;
}

void Daemon::createServices()
{
    TrafficOptions trafficOptions;
    trafficOptions.memberId = this->settings.id;
    trafficOptions.dataCentre = this->settings.dataCentre;
    trafficOptions.listen = this->settings.listen;
    trafficOptions.sessionSecrets = this->settings.sessionSecrets;
    trafficOptions.readFromReplicas = this->settings.readFromReplicas;
    trafficOptions.threads = this->settings.trafficThreads;
    this->traffic = std::make_unique<TrafficPool>(trafficOptions, this->trafficCallbacks());
    this->peerFrontend = std::make_unique<PeerFrontend>(this->control.get_executor(), *this->traffic);
    net::PeerClientOptions peerOptions;
    peerOptions.onRefused = [this](const net::TcpEndpoint &endpoint) { this->gossip->reportRefused(endpoint); };
    this->peers = std::make_unique<net::PeerClient>(this->control.get_executor(), peerOptions);
    this->admin = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &) { return this->handleAdmin(std::move(request)); });
    if (this->settings.vmList) {
        this->vmList = std::make_unique<store::VmListClient>(*this->settings.vmList);
    }
    this->createAdmission();
    this->createGossip();
    this->createConfiguration();
    this->createFailover();
    this->registerPeerHandlers();
}

void Daemon::createConfiguration()
{
    store::StoreClientOptions storeOptions;
    storeOptions.endpoints = {this->settings.store};
    this->store = std::make_shared<store::StoreClient>(this->control.get_executor(), storeOptions);
    ConfigurationCallbacks callbacks;
    callbacks.isRelay = [this] { return this->relay; };
    callbacks.peers = [this] { return this->livePeers; };
    callbacks.exchange = [this](std::string memberId, json::object request) {
        return this->exchangeWithPeer(std::move(memberId), "/peer/config", std::move(request));
    };
    callbacks.revisionRaised = [this](const confsync::EntryStore &entries) { this->rebuildCatalogue(entries); };
    callbacks.onApplyFailed = [this](std::string_view reason) {
        this->log.line("configuration_not_applied", telemetry::LogLevel::Error)
            .field("revision", this->configuration->revision())
            .field("reason", reason);
    };
    callbacks.onPullFailed = [this](std::string_view memberId, std::string_view reason) {
        this->log.line("configuration_pull_failed", telemetry::LogLevel::Warning)
            .field("member", memberId)
            .field("revision", this->configuration->revision())
            .field("reason", reason);
    };
    ConfigurationOptions options;
    options.seed = core::stableHash(this->settings.id);
    auto source = std::make_shared<StoreClientSource>(this->store,
                                                      StoreClientSourceOptions{.watchSilence = options.watchSilence});
    this->configuration
        = std::make_shared<ConfigurationService>(this->control.get_executor(), std::move(source), options, callbacks);
}

void Daemon::createGossip()
{
    GossipServiceOptions options;
    options.gossip.id = this->settings.id;
    options.gossip.address = endpointText(this->settings.peerListen);
    options.gossip.dataCentre = this->settings.dataCentre;
    options.gossip.region = this->settings.region;
    options.gossip.incarnation = startIncarnation();
    options.gossip.seed = core::stableHash(this->settings.id);
    options.gossip.seeds = endpointTexts(this->settings.seeds);
    options.listen = net::parseUdpEndpoint(endpointText(this->settings.peerListen));
    GossipCallbacks callbacks;
    callbacks.onMember = [this](const membership::MemberEvent &event) { this->onMember(event); };
    callbacks.onRevision = [this](const membership::RevisionUpdate &update) {
        this->configuration->onRevisionAnnounced(update.memberId, static_cast<std::int64_t>(update.revision));
    };
    callbacks.onState = [this](const membership::StateUpdate &update) { this->onState(update); };
    this->gossip = std::make_shared<GossipService>(this->control.get_executor(), options, callbacks);
}

void Daemon::createFailover()
{
    FailoverCallbacks callbacks;
    callbacks.exchange = [this](std::string memberId, json::object request) {
        return this->exchangeWithPeer(std::move(memberId), "/peer/suspect", std::move(request));
    };
    callbacks.primaryChanged
        = [this](const std::string &group, std::int64_t term, const std::string &server, bool mustAnnounce) {
              this->onPrimaryChanged(group, term, server, mustAnnounce);
          };
    callbacks.statusChanged = [this](const GroupStatus &status) { this->onGroupStatus(status); };
    callbacks.decisionMade = [this](const std::string &group, const failover::LogDecision &decision) {
        this->log.line("failover")
            .field("database", group)
            .field("decision", decision.decision)
            .field("reason", decision.reason)
            .field("passed_over", decision.alternatives);
    };
    failover::MonitorOptions options;
    options.probeInterval = this->settings.probeInterval;
    this->failover = std::make_unique<FailoverService>(
        this->control.get_executor(), this->settings.id, this->settings.dataCentre, callbacks, options);
}

void Daemon::createAdmission()
{
    // The first traffic thread owns the rate shares of all workspaces; other threads post their requests to it.
    TrafficThread *thread = this->traffic->allThreads().front();
    if (this->settings.rateMode == RateMode::Static) {
        this->admission = std::make_unique<StaticAdmission>(thread->executor());
        return;
    }
    this->admission = std::make_unique<ShareAdmission>(
        thread->executor(), this->settings.id, [thread](std::string memberId, json::object request) {
            return thread->exchangeWithPeer(std::move(memberId), "/peer/shares", std::move(request));
        });
}

void Daemon::registerPeerHandlers()
{
    this->peerFrontend->addTrafficHandler(
        "/peer/shares", [this](json::object request) { return this->admission->serve(std::move(request)); });
    this->peerFrontend->addHandler("/peer/release", [this](json::object request) -> net::awaitable<json::object> {
        this->lease.release(
            core::Clock::now(), core::jsonString(request, "server"), core::jsonString(request, "member"));
        this->scheduleViewUpdate();
        co_return json::object();
    });
    this->peerFrontend->addHandler(
        "/peer/suspect", [this](json::object request) { return this->failover->handleSuspect(std::move(request)); });
    this->peerFrontend->addHandler("/peer/config", [this](json::object request) -> net::awaitable<json::object> {
        co_return this->configuration->answer(request);
    });
}

}
