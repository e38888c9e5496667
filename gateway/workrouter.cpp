#include "gateway/workrouter.h"

#include "core/error.h"
#include "core/json.h"
#include "gateway/peeroptions.h"
#include "gateway/workmessage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Maximum number of daemons tried for one unit where every daemon may connect: the home, this daemon, and one more
/// daemon with a different network path to the server. Elsewhere the home and all its substitutes are tried.
constexpr std::size_t MaximumCandidates = 3;
/// A daemon that could not reach a server is avoided for this long.
constexpr std::chrono::milliseconds AvoidanceDuration{1'000};
/// Key of the daemons that are avoided for all servers.
constexpr std::string_view AllServers = "*";
/// Time for the round trip to another daemon, added to the timeouts of the unit itself.
constexpr std::chrono::milliseconds TransitTime{300};
/// The home closes idle connections well before the server would, because a connection closed by the server loses a
/// write in transit.
constexpr std::chrono::seconds HomeIdleTimeout{20};
/// Other daemons close their idle connections soon, because many such daemons together would keep the home from opening
/// connections.
constexpr std::chrono::seconds OtherIdleTimeout{1};

/// Result of a unit that a daemon was asked to run and that it may have run.
pooling::UnitResult mayHaveRun(UnitKind kind, std::string reason)
{
    // An open transaction is rolled back if its daemon is lost, and a read has no effect. Only a write or a commit may
    // have taken effect.
    const bool mayPersist = kind == UnitKind::Write || kind == UnitKind::Commit;
    return {.outcome = mayPersist ? UnitOutcome::Unknown : UnitOutcome::NotRun,
            .error = UnitError::ConnectionLost,
            .errorText = std::move(reason)};
}

/// True if the result shows that the server is reachable: the server answered, or the unit only failed to get a slot in
/// time.
bool isServerAnswer(const pooling::UnitResult &result)
{
    switch (result.error) {
    case UnitError::Unreachable:
    case UnitError::ConnectionLost:
    case UnitError::NoAnswer:
    case UnitError::ConnectionLimit:
    case UnitError::WrongServer:
        return false;
    default:
        return true;
    }
}

bool mayTryOtherDaemon(const pooling::UnitResult &result)
{
    return result.outcome == UnitOutcome::NotRun
        && (result.error == UnitError::Unreachable || result.error == UnitError::ConnectionLimit);
}

}

const routing::AllowedRegions WorkRouter::Everywhere;

WorkRouter::WorkRouter(WorkRouterOptions options)
    : options(std::move(options))
    , peers(this->options.executor, peerClientOptions(this->options.meter))
{
}

ConnectionAllowance WorkRouter::allowanceFor(const BackendServer &server) const
{
    const std::vector<std::string> homes = this->homesOf(server.id);
    const bool isHome = !homes.empty() && homes.front() == this->options.deployment.daemonId;
    const ConnectionPlan plan = this->planFor(server);
    return {.connections = isHome ? plan.homeConnections() : plan.otherConnections(),
            .idleTimeout = isHome ? HomeIdleTimeout : OtherIdleTimeout,
            .isHome = isHome,
            .cold = this->view->coldBoundOf(server.service)};
}

ConnectionPlan WorkRouter::planFor(const BackendServer &server) const
{
    const auto service = this->view->configuration->services.find(server.service);
    const unsigned limit = service == this->view->configuration->services.end() ? 0 : service->second.connectionLimit;
    return {limit, this->view->daemons.size()};
}

std::vector<std::string> WorkRouter::homesOf(std::string_view server) const
{
    const auto found = this->view->homes.find(server);
    return found == this->view->homes.end() ? std::vector<std::string>() : found->second;
}

void WorkRouter::setView(std::shared_ptr<const GatewayView> newView)
{
    this->view = std::move(newView);
    for (auto pool = this->byServer.begin(); pool != this->byServer.end();) {
        const BackendServer *const server = this->view->server(pool->first);
        if (server == nullptr || this->view->configuration == nullptr) {
            pool->second->close();
            pool = this->byServer.erase(pool);
            continue;
        }
        pool->second->update(*server, this->allowanceFor(*server));
        pool->second->setEvacuation(this->view->evacuationOf(*server));
        ++pool;
    }
}

std::shared_ptr<PooledServer> WorkRouter::poolOf(const std::string &server)
{
    const auto found = this->byServer.find(server);
    if (found != this->byServer.end()) {
        return found->second;
    }
    const BackendServer *const entry = this->view->server(server);
    if (entry == nullptr || this->view->configuration == nullptr) {
        return nullptr;
    }
    auto pool = std::make_shared<PooledServer>(PooledServerOptions{.executor = this->options.executor,
                                                                   .server = *entry,
                                                                   .allowance = this->allowanceFor(*entry),
                                                                   .links = this->options.links,
                                                                   .log = this->options.log});
    pool->setEvacuation(this->view->evacuationOf(*entry));
    this->byServer.emplace(server, pool);
    return pool;
}

std::vector<std::string>
WorkRouter::candidates(std::string_view server, core::TimePoint now, const routing::AllowedRegions &regions) const
{
    const std::vector<std::string> homes = this->homesOf(server);
    const BackendServer *const entry = this->view->server(server);
    const ConnectionPlan plan = entry == nullptr || this->view->configuration == nullptr
        ? ConnectionPlan(0, this->view->daemons.size())
        : this->planFor(*entry);
    std::vector<std::string> order = plan.order(homes, this->options.deployment.daemonId);
    if (!regions.isEverywhere()) {
        // The caller has sent its request to this daemon already, so that it may stay here in any region.
        const std::string &self = this->options.deployment.daemonId;
        std::erase_if(order, [&](const std::string &daemon) {
            const auto peer = this->view->daemons.find(daemon);
            return daemon != self
                && (peer == this->view->daemons.end()
                    || !regions.allows(this->view->regionOf(peer->second.dataCentre)));
        });
        if (order.empty()) {
            order.push_back(self);
        }
    }
    const auto isAvoided = [&](const std::string &daemon) {
        for (const std::string &scope : {std::string(server), std::string(AllServers)}) {
            const auto avoided = this->avoidedUntil.find({scope, daemon});
            if (avoided != this->avoidedUntil.end() && now < avoided->second) {
                return true;
            }
        }
        return false;
    };
    std::stable_partition(order.begin(), order.end(), [&](const std::string &daemon) { return !isAvoided(daemon); });
    if (plan.mayAllConnect() && order.size() > MaximumCandidates) {
        order.resize(MaximumCandidates);
    }
    return order;
}

net::awaitable<pooling::UnitResult>
WorkRouter::run(pooling::WorkUnit unit, UnitPlace &place, const routing::AllowedRegions &regions)
{
    const core::TimePoint start = core::Clock::now();
    const std::chrono::milliseconds queueTimeout = unit.queueTimeout;
    pooling::UnitResult result{.outcome = UnitOutcome::NotRun, .error = UnitError::Unreachable};
    place.server = unit.server;
    const std::vector<std::string> order = this->candidates(unit.server, start, regions);
    for (const std::string &daemon : order) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(core::Clock::now() - start);
        if (waited > queueTimeout) {
            break;
        }
        unit.queueTimeout = queueTimeout - waited;
        place.daemon = daemon;
        pooling::WorkUnit attempt = unit;
        result = co_await this->runAt(std::move(attempt), place);
        if (!mayTryOtherDaemon(result)) {
            break;
        }
        this->avoidedUntil[{unit.server, daemon}] = core::Clock::now() + AvoidanceDuration;
        if (this->options.log != nullptr) {
            this->options.log->line("unit_moved")
                .field("request", unit.id)
                .field("server", unit.server)
                .field("from_daemon", daemon)
                .field("reason", result.errorText);
        }
    }
    co_return result;
}

net::awaitable<pooling::UnitResult> WorkRouter::runHedged(pooling::WorkUnit unit)
{
    struct Pending
    {
        explicit Pending(const net::Executor &executor)
            : answered(executor, core::TimePoint::max())
        {
        }
        asio::steady_timer answered;
        std::size_t open = 0;
        pooling::UnitResult result{.outcome = UnitOutcome::NotRun, .error = UnitError::Unreachable};
        bool reached = false;
    };
    const auto pending = std::make_shared<Pending>(this->options.executor);
    const std::vector<std::string> order = this->candidates(unit.server, core::Clock::now(), Everywhere);
    pending->open = order.size();
    for (const std::string &daemon : order) {
        const auto attempt = [this, pending, unit, daemon]() -> net::awaitable<void> {
            pooling::WorkUnit copy = unit;
            UnitPlace place{.server = unit.server, .daemon = daemon};
            const pooling::UnitResult result = co_await this->runAt(std::move(copy), std::move(place));
            --pending->open;
            if (!pending->reached) {
                pending->result = result;
                pending->reached = isServerAnswer(result);
            }
            if (pending->reached || pending->open == 0) {
                pending->answered.cancel();
            }
        };
        asio::co_spawn(this->options.executor, attempt, asio::detached);
    }
    if (pending->open > 0) {
        co_await pending->answered.async_wait(UseTuple);
    }
    co_return pending->result;
}

net::awaitable<pooling::UnitResult> WorkRouter::runAt(pooling::WorkUnit unit, UnitPlace place)
{
    if (place.daemon == this->options.deployment.daemonId) {
        co_return co_await this->runForPeer(std::move(unit));
    }
    co_return co_await this->runRemotely(std::move(unit), std::move(place.daemon));
}

net::awaitable<pooling::UnitResult> WorkRouter::runForPeer(pooling::WorkUnit unit)
{
    const std::shared_ptr<PooledServer> pool = this->poolOf(unit.server);
    if (pool == nullptr) {
        co_return pooling::UnitResult{.outcome = UnitOutcome::NotRun,
                                      .error = UnitError::Unreachable,
                                      .errorText = "server is not in the catalogue"};
    }
    const std::string server = unit.server;
    const pooling::UnitResult result = co_await pool->run(std::move(unit));
    const BackendServer *const entry = this->view->server(server);
    if (result.provenPosition && entry != nullptr) {
        const core::BootTime takenAt = core::BootClock::now() - result.proofAge;
        TakenProof &newest = this->takenProofs[entry->service];
        if (newest.takenAt < takenAt) {
            newest = {.position = *result.provenPosition, .takenAt = takenAt};
        }
    }
    co_return result;
}

std::map<std::string, TakenProof, std::less<>> WorkRouter::takeProofs()
{
    return std::exchange(this->takenProofs, {});
}

routing::ServerLoads WorkRouter::serverLoads(core::TimePoint now) const
{
    routing::ServerLoads loads;
    for (const auto &[server, pool] : this->byServer) {
        const std::vector<std::string> homes = this->homesOf(server);
        if (homes.empty() || homes.front() != this->options.deployment.daemonId) {
            continue;
        }
        if (const std::optional<routing::ServerLoad> load = pool->load(now)) {
            loads.emplace(server, *load);
        }
    }
    return loads;
}

net::awaitable<pooling::UnitResult> WorkRouter::runRemotely(pooling::WorkUnit unit, std::string daemon)
{
    const auto peer = this->view->daemons.find(daemon);
    if (peer == this->view->daemons.end()) {
        co_return pooling::UnitResult{
            .outcome = UnitOutcome::NotRun, .error = UnitError::Unreachable, .errorText = "not a live daemon"};
    }
    const net::TcpEndpoint endpoint = peer->second.endpoint;
    const core::Duration timeout = unit.queueTimeout + unit.statementTimeout + TransitTime;
    const core::BootTime sentAt = core::BootClock::now();
    net::HttpRequest request = net::jsonRequest(WorkPath, toJson(unit));
    net::HttpResponse response;
    try {
        response = co_await this->peers.exchange(endpoint, std::move(request), timeout);
    } catch (const core::Error &error) {
        this->avoidedUntil[{std::string(AllServers), daemon}] = core::Clock::now() + AvoidanceDuration;
        if (error.outcome == core::Outcome::NotRun) {
            co_return pooling::UnitResult{
                .outcome = UnitOutcome::NotRun, .error = UnitError::Unreachable, .errorText = error.message};
        }
        co_return mayHaveRun(unit.kind, error.message);
    }
    pooling::UnitResult result = this->readAnswer(unit, daemon, response);
    // The transit time of the response is unknown, so the whole round trip is added to the age.
    if (result.provenPosition) {
        result.proofAge += core::BootClock::now() - sentAt;
    }
    co_return result;
}

pooling::UnitResult
WorkRouter::readAnswer(const pooling::WorkUnit &unit, std::string_view daemon, const net::HttpResponse &response) const
{
    try {
        const boost::json::object body
            = core::valueOrThrow([&response] { return core::parseJsonObject(response.body, core::TextBytes::Any); });
        if (core::outcomeFromName(core::jsonString(body, "outcome")) == core::Outcome::NotRun) {
            return {.outcome = UnitOutcome::NotRun,
                    .error = UnitError::Unreachable,
                    .errorText = core::jsonString(body, "message")};
        }
        return core::valueOrThrow([&body] { return unitResultFromJson(body); });
    } catch (const core::Error &error) {
        if (this->options.metrics != nullptr) {
            this->options.metrics->unreadableMessages(telemetry::Channel::Peer).add();
        }
        if (this->options.log != nullptr) {
            this->options.log->line("work_unreadable", telemetry::LogLevel::Warning)
                .field("request", unit.id)
                .field("daemon", daemon)
                .field("reason", error.message);
        }
        return mayHaveRun(unit.kind, error.message);
    }
}

void WorkRouter::tick(core::TimePoint now)
{
    for (const auto &[server, pool] : this->byServer) {
        pool->tick(now);
    }
    std::erase_if(this->avoidedUntil, [now](const auto &entry) { return entry.second < now; });
}

void WorkRouter::close()
{
    for (const auto &[server, pool] : this->byServer) {
        pool->close();
    }
    this->peers.closeAll();
}

net::PeerClient &WorkRouter::peerClient()
{
    return this->peers;
}

const WorkRouter::PoolMap &WorkRouter::pools() const
{
    return this->byServer;
}

}
