#include "daemon/daemon.h"

#include "confsync/relays.h"
#include "core/hashing.h"
#include "core/json.h"
#include "daemon/statementrouter.h"
#include "net/bytecounter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <sys/resource.h>

namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds TickInterval{50};
constexpr core::Milliseconds VmListInterval{1'000};
constexpr core::Milliseconds PeerControlTimeout{2'000};
constexpr core::Milliseconds DrainPollInterval{20};

// Keys of the gossip state.
constexpr std::string_view PrimaryStatePrefix = "primary/";
constexpr std::string_view DrainingStatePrefix = "draining/";
constexpr std::string_view LeavingServerStatePrefix = "leaving/";

std::string endpointText(const net::TcpEndpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::vector<std::string> endpointTexts(const std::vector<net::TcpEndpoint> &endpoints)
{
    std::vector<std::string> texts;
    for (const net::TcpEndpoint &endpoint : endpoints) {
        texts.push_back(endpointText(endpoint));
    }
    return texts;
}

/// Rises with each start on a clock that VMs share well enough: restarts of one daemon are seconds apart.
std::uint64_t startIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<core::Milliseconds>(now).count());
}

double threadCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

bool isLive(const membership::Member &member)
{
    return member.state == membership::MemberState::Alive || member.state == membership::MemberState::Suspect;
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

TrafficHooks Daemon::trafficHooks()
{
    TrafficHooks hooks;
    hooks.homeCheck = [this](std::uint64_t epoch) {
        const core::TimePoint validUntil{core::Duration(this->leaseValidUntil.load())};
        return epoch == this->homeEpoch.load() && core::Clock::now() < validUntil;
    };
    hooks.admit = [this](std::string service, std::string workspace, core::TimePoint deadline) {
        return this->admission->acquire(groupKey(service, workspace), deadline);
    };
    hooks.leaving = [this] { return this->leaving.load(); };
    hooks.finished = [this](const FinishedRequest &request) {
        this->metrics.statements(request.outcome).add();
        if (request.code != core::ResultCode::Ok) {
            this->metrics.refusals(request.code).add();
        }
        if (request.read) {
            const auto source = request.fromReplica ? telemetry::ReadSource::Replica : telemetry::ReadSource::Primary;
            this->metrics.reads(source).add();
        }
    };
    hooks.queueWait = [this](core::Duration waited) { this->metrics.queueTime().observe(waited); };
    hooks.routeDecision = [this](const StatementRouter::Decision &decision) {
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
    hooks.homeDecision = [this](const std::string &server, std::string_view decision, std::string_view reason) {
        this->log.line("placement").field("server", server).field("decision", decision).field("reason", reason);
    };
    hooks.homeReleased = [this](const std::string &server) {
        asio::co_spawn(this->control, this->releaseServer(server), asio::detached);
    };
    hooks.peerRefused = [this](const net::TcpEndpoint &endpoint) {
        asio::post(this->control, [this, endpoint] { this->gossip->reportRefused(endpoint); });
    };
    return hooks;
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
    this->traffic = std::make_unique<TrafficPool>(trafficOptions, this->trafficHooks());
    this->peerFrontend = std::make_unique<PeerFrontend>(this->control.get_executor(), *this->traffic);
    net::PeerClientOptions peerOptions;
    peerOptions.onRefused = [this](const net::TcpEndpoint &endpoint) { this->gossip->reportRefused(endpoint); };
    this->peers = std::make_unique<net::PeerClient>(this->control.get_executor(), peerOptions);
    this->admin = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &) { return this->handleAdmin(std::move(request)); });
    if (this->settings.vmList) {
        this->vmList = std::make_unique<platform::VmListClient>(*this->settings.vmList);
    }
    this->createAdmission();
    this->createGossip();
    this->createConfiguration();
    this->createFailover();
    this->registerPeerHandlers();
}

void Daemon::createConfiguration()
{
    platform::StoreClientOptions storeOptions;
    storeOptions.endpoints = {this->settings.store};
    this->store = std::make_shared<platform::StoreClient>(this->control.get_executor(), storeOptions);
    ConfigurationCallbacks callbacks;
    callbacks.isRelay = [this] { return this->relay; };
    callbacks.peers = [this] { return this->livePeers; };
    callbacks.exchange = [this](std::string memberId, json::object request) {
        return this->exchangeWithPeer(std::move(memberId), "/peer/config", std::move(request));
    };
    callbacks.revisionRaised = [this](const confsync::EntryStore &entries) { this->rebuildCatalogue(entries); };
    ConfigurationOptions options;
    options.seed = core::stableHash(this->settings.id);
    this->configuration
        = std::make_shared<ConfigurationService>(this->control.get_executor(), this->store, options, callbacks);
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
    callbacks.onRevision = [this](const membership::RevisionRise &rise) {
        this->configuration->noticeRevision(rise.memberId, static_cast<std::int64_t>(rise.revision));
    };
    callbacks.onState = [this](const membership::StateRise &rise) { this->onState(rise); };
    this->gossip = std::make_shared<GossipService>(this->control.get_executor(), options, callbacks);
}

void Daemon::createFailover()
{
    FailoverCallbacks callbacks;
    callbacks.askPeer = [this](std::string memberId, json::object request) {
        return this->exchangeWithPeer(std::move(memberId), "/peer/suspect", std::move(request));
    };
    callbacks.primaryChanged
        = [this](const std::string &group, std::int64_t term, const std::string &server, bool spread) {
              this->onPrimaryChanged(group, term, server, spread);
          };
    callbacks.statusChanged = [this](const GroupStatus &status) {
        this->metrics.term(status.database).set(static_cast<double>(status.term));
        for (const MonitoredServer &server : status.servers) {
            if (server.answered && server.report.primary) {
                this->metrics.position(status.database).set(static_cast<double>(server.report.position));
            }
        }
    };
    callbacks.decided = [this](const std::string &group, const failover::LogDecision &decision) {
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
    // The shares of all workspaces are owned by the first traffic thread; the others reach them by posting.
    TrafficThread *thread = this->traffic->all().front();
    if (this->settings.rateMode == RateMode::Static) {
        this->admission = std::make_unique<StaticAdmission>(thread->executor());
        return;
    }
    this->admission = std::make_unique<ShareAdmission>(
        thread->executor(), this->settings.id, [thread](std::string memberId, json::object request) {
            return thread->askPeer(std::move(memberId), "/peer/shares", std::move(request));
        });
}

void Daemon::registerPeerHandlers()
{
    this->peerFrontend->addTrafficHandler(
        "/peer/shares", [this](json::object request) { return this->admission->serve(std::move(request)); });
    this->peerFrontend->addHandler("/peer/release", [this](json::object request) -> net::awaitable<json::object> {
        this->lease.release(
            core::Clock::now(), core::jsonString(request, "server"), core::jsonString(request, "member"));
        this->markChanged();
        co_return json::object();
    });
    this->peerFrontend->addHandler(
        "/peer/suspect", [this](json::object request) { return this->failover->handleSuspect(std::move(request)); });
    this->peerFrontend->addHandler("/peer/config", [this](json::object request) -> net::awaitable<json::object> {
        co_return this->configuration->answer(request);
    });
}

void Daemon::scheduleTick()
{
    this->tickTimer.expires_after(TickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || this->stopped) {
            return;
        }
        this->tick();
        this->scheduleTick();
    });
}

void Daemon::tick()
{
    const core::TimePoint now = core::Clock::now();
    if (this->lease.heartbeat(now)) {
        // The new epoch is visible before the lease is renewed below, so no traffic thread can use the old homes.
        this->state.homeEpoch = ++this->homeEpoch;
        this->log.line("placement", telemetry::LogLevel::Warning)
            .field("decision", "drop_all_homes")
            .field("reason", "the control thread was paused");
        this->markChanged();
    }
    if (this->lease.confirm(now, this->gossip->membership().lastConfirmation())) {
        this->log.line("placement").field("decision", "resume_homes").field("reason", "another daemon has answered");
        this->markChanged();
    }
    this->leaseValidUntil = this->lease.validUntil().time_since_epoch().count();
    this->updateIsolation(now);
    this->metrics.controlCpu().raiseTo(threadCpuSeconds());
}

void Daemon::markChanged()
{
    if (this->viewScheduled) {
        return;
    }
    // Several changes of one turn of the event loop lead to one view.
    this->viewScheduled = true;
    asio::post(this->control, [this] {
        this->viewScheduled = false;
        this->publishView();
    });
}

void Daemon::publishView()
{
    this->state.members = this->gossip->membership().members();
    std::vector<std::string> memberIds;
    for (const membership::Member &member : this->state.members) {
        memberIds.push_back(member.id);
    }
    this->freshness.setMembers(memberIds);
    this->updateRoles();
    this->view = buildFleetView(this->state, this->lease, core::Clock::now());
    this->traffic->publish(this->view);
    this->admission->setView(this->view);
    this->updateMonitoredGroups();
}

void Daemon::onPrimaryChanged(const std::string &group, std::int64_t term, const std::string &server, bool spread)
{
    GroupView &known = this->state.primaries[group];
    if (static_cast<std::uint64_t>(term) > known.term) {
        known = {.term = static_cast<std::uint64_t>(term), .primaryServer = server};
        this->log.line("placement")
            .field("database", group)
            .field("decision", "primary")
            .field("server", server)
            .field("term", term)
            .field("reason", spread ? "own failover decision" : "announced");
        this->markChanged();
    }
    if (spread) {
        membership::StateValue value;
        value.number = term;
        value.text = server;
        value.version = term;
        this->gossip->setState(std::string(PrimaryStatePrefix) + group, value);
    }
}

net::awaitable<void> Daemon::releaseServer(std::string serverKey)
{
    const auto home = this->view->homes.find(serverKey);
    if (home == this->view->homes.end() || home->second.own) {
        co_return;
    }
    const std::string newHome = home->second.member;
    json::object request;
    request["server"] = serverKey;
    request["member"] = this->settings.id;
    try {
        co_await this->exchangeWithPeer(newHome, "/peer/release", std::move(request));
        this->log.line("placement")
            .field("server", serverKey)
            .field("decision", "released")
            .field("reason", "work ended")
            .field("to", newHome);
    } catch (const core::Error &error) {
        // The new home then waits for the end of the handover time.
        this->log.line("placement", telemetry::LogLevel::Warning)
            .field("server", serverKey)
            .field("decision", "release_lost")
            .field("reason", error.message);
    }
}

void Daemon::updateMonitoredGroups()
{
    if (!this->view->ready) {
        return;
    }
    std::map<std::string, std::string> dataCentres;
    for (const membership::Member &member : this->state.members) {
        dataCentres[member.id] = member.dataCentre;
    }
    std::set<std::string> monitored;
    for (const auto &[name, service] : this->view->catalogue->services) {
        for (const document::Database &database : service->databases) {
            failover::GroupDescription group{
                .database = groupKey(name, database.name), .servers = {}, .initialPrimary = database.initialPrimary};
            std::set<std::string> own;
            std::set<std::string> leavingServers;
            std::map<std::string, failover::PeerHome> others;
            for (const document::BackendServer &server : database.servers) {
                group.servers.push_back({.id = server.id, .address = server.address, .dataCentre = server.dataCentre});
                if (this->state.leavingServers.contains(server.address)) {
                    leavingServers.insert(server.id);
                }
                const auto home = this->view->homes.find(serverKey(name, server.id));
                if (home == this->view->homes.end()) {
                    continue;
                }
                if (home->second.own) {
                    own.insert(server.id);
                    continue;
                }
                failover::PeerHome &peer = others[home->second.member];
                peer.daemon = home->second.member;
                peer.dataCentre = dataCentres[home->second.member];
                peer.servers.push_back(server.id);
            }
            if (own.empty()) {
                continue;
            }
            std::vector<failover::PeerHome> peerHomes;
            for (auto &[member, peer] : others) {
                peerHomes.push_back(std::move(peer));
            }
            monitored.insert(group.database);
            this->failover->setGroup(group, std::move(own), std::move(peerHomes));
            this->failover->setLeaving(group.database, std::move(leavingServers));
        }
    }
    for (const std::string &group : this->monitoredGroups) {
        if (!monitored.contains(group)) {
            this->failover->removeGroup(group);
        }
    }
    this->monitoredGroups = std::move(monitored);
}

void Daemon::rebuildCatalogue(const confsync::EntryStore &entries)
{
    std::vector<CatalogueEntry> live;
    entries.visit(ConfigurationPrefix, [&live](std::string_view key, const confsync::Entry &entry) {
        live.push_back({.key = key, .value = entry.value, .version = static_cast<std::uint64_t>(entry.version)});
    });
    const auto revision = static_cast<std::uint64_t>(entries.revision());
    this->state.catalogue = this->catalogueBuilder.build(revision, live);
    this->gossip->setConfigRevision(revision, this->relay);
    this->metrics.configurationRevision().set(static_cast<double>(revision));
    this->log.line("configuration")
        .field("revision", revision)
        .field("services", this->state.catalogue->services.size());
    this->markChanged();
}

void Daemon::onMember(const membership::MemberEvent &event)
{
    this->log.line("membership")
        .field("member", event.member.id)
        .field("state", membership::memberStateName(event.member.state))
        .field("incarnation", event.member.incarnation);
    if (event.kind == membership::MemberEventKind::Left) {
        this->lease.memberLeft(event.member.id);
    }
    if (event.kind == membership::MemberEventKind::Joined || event.kind == membership::MemberEventKind::AliveAgain) {
        this->lease.memberReturned(event.member.id);
    }
    this->markChanged();
}

void Daemon::onState(const membership::StateRise &rise)
{
    const std::string_view key = rise.key;
    if (key.starts_with(PrimaryStatePrefix)) {
        const std::string group(key.substr(PrimaryStatePrefix.size()));
        this->failover->announced(group, rise.value.number, rise.value.text);
        this->onPrimaryChanged(group, rise.value.number, rise.value.text, false);
    } else if (key.starts_with(DrainingStatePrefix)) {
        const std::string member(key.substr(DrainingStatePrefix.size()));
        if (rise.value.number == 0) {
            this->state.draining.erase(member);
        } else {
            this->state.draining.insert(member);
        }
    } else if (key.starts_with(LeavingServerStatePrefix)) {
        const std::string address(key.substr(LeavingServerStatePrefix.size()));
        if (rise.value.number == 0) {
            this->state.leavingServers.erase(address);
        } else {
            this->state.leavingServers.insert(address);
        }
    }
    this->markChanged();
}

void Daemon::updateIsolation(core::TimePoint now)
{
    if (this->configuration->lastStoreConfirmation() != core::TimePoint::min()) {
        this->freshness.storeConfirmed(this->configuration->lastStoreConfirmation());
    }
    const bool seesMajority = this->gossip->membership().seesMajority(now);
    if (seesMajority) {
        this->freshness.majorityConfirmed(now);
    }
    if (seesMajority != this->state.seesMajority) {
        this->state.seesMajority = seesMajority;
        this->markChanged();
    }
    const bool isolated = this->freshness.isolated(now);
    if (isolated == this->state.isolated) {
        return;
    }
    this->state.isolated = isolated;
    this->log.line("isolation", isolated ? telemetry::LogLevel::Warning : telemetry::LogLevel::Info)
        .field("isolated", isolated)
        .field("reason",
               isolated ? "neither the store nor a majority of members was reached in time" : "contact restored");
    this->markChanged();
}

net::awaitable<void> Daemon::pollVmList()
{
    asio::steady_timer timer(this->control);
    while (!this->stopped) {
        if (this->relay) {
            try {
                const platform::VmList list = co_await this->vmList->fetch();
                for (const platform::Vm &vm : list.vms) {
                    if (vm.kind != platform::VmKind::Backend) {
                        continue;
                    }
                    const bool known = this->state.leavingServers.contains(vm.address);
                    if (vm.leaving == known) {
                        continue;
                    }
                    membership::StateValue value;
                    value.number = vm.leaving ? 1 : 0;
                    value.version = list.revision;
                    const std::string key = std::string(LeavingServerStatePrefix) + vm.address;
                    this->gossip->setState(key, value);
                    this->onState({.key = key, .value = value});
                    this->log.line("placement")
                        .field("server", vm.address)
                        .field("decision", vm.leaving ? "leave" : "return")
                        .field("reason", "VM list");
                }
            } catch (const core::Error &error) {
                this->log.line("vm_list", telemetry::LogLevel::Warning).field("error", error.message);
            }
        }
        timer.expires_after(VmListInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void Daemon::updateRoles()
{
    // Derived once per change of the membership: the roles are asked for many times a second.
    std::vector<std::string> inDataCentre;
    std::vector<std::string> far;
    this->livePeers.clear();
    for (const membership::Member &member : this->state.members) {
        if (!isLive(member)) {
            continue;
        }
        const bool near = member.dataCentre == this->settings.dataCentre;
        if (near && !this->state.draining.contains(member.id)) {
            inDataCentre.push_back(member.id);
        }
        if (member.id != this->settings.id) {
            (near ? this->livePeers : far).push_back(member.id);
        }
    }
    this->livePeers.insert(this->livePeers.end(), far.begin(), far.end());
    this->relay = !this->settings.relayConfiguration
        || confsync::isRelay(this->settings.id, this->settings.dataCentre, inDataCentre);
}

net::awaitable<json::object> Daemon::exchangeWithPeer(std::string memberId, std::string path, json::object request)
{
    const auto member = this->view->members.find(memberId);
    net::TcpEndpoint endpoint;
    if (member != this->view->members.end()) {
        endpoint = member->second;
    } else {
        // Before the first view is published the membership is the only source.
        for (const membership::Member &known : this->gossip->membership().members()) {
            if (known.id == memberId) {
                endpoint = net::parseEndpoint(known.address);
            }
        }
    }
    if (endpoint.port() == 0) {
        throw core::Error(core::ResultCode::PeerUnreachable, "unknown member " + memberId);
    }
    net::HttpRequest message = net::jsonRequest(path, request);
    const net::HttpResponse response = co_await this->peers->exchange(endpoint, std::move(message), PeerControlTimeout);
    json::object answer = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    throwIfError(response.status, answer);
    co_return answer;
}

net::awaitable<net::HttpResponse> Daemon::handleAdmin(net::HttpRequest request)
{
    if (request.method != "GET" || request.target != "/admin/status") {
        co_return net::errorResponse(core::ResultCode::UnknownPath, core::Outcome::NotRun, "unknown path or method");
    }
    const json::object body = this->status();
    co_return net::jsonResponse(200, body);
}

json::object Daemon::status() const
{
    json::array members;
    for (const membership::Member &member : this->gossip->membership().members()) {
        members.push_back(json::object{{"id", member.id},
                                       {"data_centre", member.dataCentre},
                                       {"state", membership::memberStateName(member.state)},
                                       {"revision", member.configRevision}});
    }
    json::object homes;
    for (const auto &[server, home] : this->view->homes) {
        homes[server] = home.member;
    }
    json::object primaries;
    for (const auto &[group, primary] : this->view->groups) {
        primaries[group] = json::object{{"term", primary.term}, {"server", primary.primaryServer}};
    }
    const net::UdpCounters &counters = this->gossip->counters();
    return {
        {"daemon", this->settings.id},
        {"data_centre", this->settings.dataCentre},
        {"revision", this->view->catalogue ? this->view->catalogue->revision : 0},
        {"ready", this->view->ready},
        {"isolated", this->view->isolated},
        {"leaving", this->leaving.load()},
        {"relay", this->relay},
        {"members", std::move(members)},
        {"homes", std::move(homes)},
        {"primaries", std::move(primaries)},
        {"control_cpu_s", threadCpuSeconds()},
        {"gossip_bytes", counters.bytesIn + counters.bytesOut},
        {"control_bytes", counters.bytesIn + counters.bytesOut + net::threadBytes()},
        {"store_calls", this->store->callCount()},
    };
}

net::awaitable<void> Daemon::drain()
{
    const core::TimePoint start = core::Clock::now();
    const core::TimePoint end = start + this->settings.drainLimit;
    this->log.line("shutdown").field("phase", "drain").field("reason", "stop signal");
    this->leaving = true;
    membership::StateValue draining;
    draining.number = 1;
    draining.version = static_cast<std::int64_t>(startIncarnation());
    const std::string key = std::string(DrainingStatePrefix) + this->settings.id;
    this->gossip->setState(key, draining);
    this->state.draining.insert(this->settings.id);
    this->markChanged();
    asio::steady_timer timer(this->control);
    timer.expires_after(this->settings.drainLag);
    co_await timer.async_wait(UseTuple);
    this->traffic->stopAccepting();
    while (core::Clock::now() < end) {
        const std::size_t activity = co_await this->traffic->activity();
        if (activity == 0 && this->traffic->activeRequests() == 0) {
            break;
        }
        timer.expires_after(DrainPollInterval);
        co_await timer.async_wait(UseTuple);
    }
    this->peerFrontend->stop();
    this->gossip->leave();
    this->log.line("shutdown")
        .field("phase", "exit")
        .field("duration_ms", core::toMilliseconds(core::Clock::now() - start));
    this->stopped = true;
    this->configuration->stop();
    this->failover->stop();
    this->admission->stop();
    this->control.stop();
}

}
