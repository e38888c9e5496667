#include "gateway/trafficcore.h"

#include "confsync/deltamessage.h"
#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "core/storepoint.h"
#include "gateway/workmessage.h"
#include "net/tcplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <span>

namespace endiveshore::gateway {

namespace asio = boost::asio;

namespace {

/// Time for which the store may hold entries of an older copy that nobody has written or removed since.
constexpr std::chrono::minutes CopyLifetime{1};

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds TickInterval{25};
/// Interval between log lines on a workspace's rate pool that is used up.
constexpr std::chrono::milliseconds PoolLogInterval{1'000};
constexpr int StatusOk = 200;

/// The counts from rank 0 to the last rank with operations, separated by commas.
std::string countsText(std::span<const std::uint64_t> counts)
{
    std::string text;
    std::size_t used = 0;
    for (const std::uint64_t count : counts) {
        text += (text.empty() ? "" : ",") + std::to_string(count);
        used = count > 0 ? text.size() : used;
    }
    text.resize(used);
    return text;
}

WorkRouterOptions routerOptions(const TrafficCoreOptions &options, const net::Executor &executor)
{
    return {.executor = executor,
            .deployment = options.deployment,
            .links = options.links,
            .log = options.log,
            .metrics = options.metrics,
            .meter = options.meter};
}

}

TrafficCore::TrafficCore(TrafficCoreOptions options)
    : options(std::move(options))
    , guard(asio::make_work_guard(this->context))
    , router(routerOptions(this->options, this->context.get_executor()))
    , runner(this->context.get_executor(),
             this->router,
             OperationRunnerOptions{.log = this->options.log,
                                    .metrics = this->options.metrics,
                                    .onNotPrimary = this->options.onNotPrimary,
                                    .seed = core::stableHash(this->options.deployment.daemonId)})
    , rates(this->context.get_executor(),
            this->options.deployment.daemonId,
            this->router.peerClient(),
            this->options.deployment.ordersByPriority)
    , callerTotals(std::make_shared<limits::CallerTotals>())
    , sessionContext(std::make_shared<SessionContext>())
{
    this->sessionContext->executor = this->context.get_executor();
    this->sessionContext->protocol = this->options.protocol;
    this->sessionContext->runner = &this->runner;
    this->sessionContext->rates = &this->rates;
    this->sessionContext->view = this->view;
    this->sessionContext->log = this->options.log;
    this->sessionContext->metrics = this->options.metrics;
    this->sessionContext->budget = limits::CallerBudget(this->options.deployment.callerLimits, this->callerTotals);
    this->sessionContext->budget.tick(core::Clock::now());
}

TrafficCore::~TrafficCore()
{
    this->stop();
}

void TrafficCore::start()
{
    this->acceptor.emplace(
        net::openAcceptor(this->context.get_executor(), this->options.deployment.callerListen, false));
    this->peerServer = std::make_shared<net::PeerServer>(
        [this](net::HttpRequest request) { return this->servePeer(std::move(request)); });
    this->peerServer->listen(this->context.get_executor(), this->options.deployment.peerListen);
    asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
    asio::co_spawn(this->context, this->tickLoop(), asio::detached);
    asio::co_spawn(this->context, this->logPoolsLoop(), asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
}

void TrafficCore::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    asio::post(this->context, [this] {
        boost::system::error_code ignored;
        this->acceptor->close(ignored);
        this->peerServer->stop();
        for (const std::shared_ptr<CallerSession> &session : this->sessions) {
            session->close();
        }
        this->router.close();
        this->context.stop();
    });
    this->thread.join();
}

net::awaitable<void> TrafficCore::acceptLoop()
{
    while (true) {
        std::optional<asio::ip::tcp::socket> socket = co_await net::acceptNext(*this->acceptor);
        if (!socket) {
            co_return;
        }
        if (!this->sessionContext->budget.admit()) {
            this->refuseSession(*socket);
            continue;
        }
        const auto session = std::make_shared<CallerSession>(std::move(*socket), this->sessionContext);
        this->sessions.insert(session);
        asio::co_spawn(this->context, session->serve(), [this, session](const std::exception_ptr &failure) {
            this->sessions.erase(session);
            if (failure) {
                session->close();
                this->options.log->line("session_failed", telemetry::LogLevel::Error);
            }
        });
    }
}

void TrafficCore::refuseSession(asio::ip::tcp::socket &socket) const
{
    if (this->options.metrics != nullptr) {
        this->options.metrics->callersRefused("session").add();
    }
    boost::system::error_code ignored;
    this->options.log->line("caller_refused", telemetry::LogLevel::Warning)
        .field("what", "session")
        .field("sessions", this->callerTotals->sessions())
        .field("address", socket.remote_endpoint(ignored).address().to_string());
}

net::awaitable<void> TrafficCore::tickLoop()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(TickInterval);
        auto [error] = co_await timer.async_wait(UseTuple);
        if (error) {
            co_return;
        }
        const core::TimePoint now = core::Clock::now();
        this->router.tick(now);
        this->runner.tick(now);
        this->sessionContext->budget.tick(now);
        if (this->options.metrics != nullptr) {
            this->options.metrics->callerHeldBytes().set(static_cast<double>(this->callerTotals->bytes()));
        }
    }
}

net::awaitable<void> TrafficCore::logPoolsLoop()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(PoolLogInterval);
        auto [error] = co_await timer.async_wait(UseTuple);
        if (error) {
            co_return;
        }
        for (const auto &[workspace, use] : this->rates.limiter().takeExhaustedPools()) {
            telemetry::DecisionLog::Line line = this->options.log->line("rate_pool_used_up");
            line.field("workspace", workspace)
                .field("rate_per_s", use.limits.ratePerSecond)
                .field("burst", use.limits.burst)
                .field("granted", use.granted)
                .field("refused", use.refused);
            if (this->rates.limiter().ordersByPriority()) {
                line.field("granted_by_priority", countsText(use.grantedByRank))
                    .field("refused_by_priority", countsText(use.refusedByRank));
            }
        }
        this->logRankRefusals();
    }
}

void TrafficCore::logRankRefusals()
{
    for (const auto &[id, pool] : this->router.pools()) {
        const RankRefusals refusals = pool->takeRankRefusals();
        for (std::size_t rank = 0; rank < refusals.size(); ++rank) {
            if (refusals[rank] == 0) {
                continue;
            }
            this->options.log->line("server_queue_refused")
                .field("server", id)
                .field("rank", rank)
                .field("refused", refusals[rank])
                .field("queued", pool->queued());
        }
    }
}

net::awaitable<net::HttpResponse> TrafficCore::servePeer(net::HttpRequest request)
{
    try {
        net::awaitable<net::HttpResponse> served = this->servePath(request);
        co_return co_await std::move(served);
    } catch (const core::Error &error) {
        if (error.code == core::ResultCode::MalformedRequest && this->options.metrics != nullptr) {
            this->options.metrics->unreadableMessages(telemetry::Channel::Peer).add();
        }
        throw;
    }
}

net::awaitable<net::HttpResponse> TrafficCore::servePath(const net::HttpRequest &request)
{
    if (request.target == MetadataPath) {
        co_return net::jsonResponse(StatusOk, this->answerMetadata(request));
    }
    if (request.target == RatePath) {
        const boost::json::object body = core::valueOrThrow([&request] { return core::parseJsonObject(request.body); });
        co_return net::jsonResponse(StatusOk, this->rates.serve(body));
    }
    if (request.target != WorkPath) {
        co_return net::errorResponse(core::ResultCode::UnknownPath, core::Outcome::NotRun, request.target);
    }
    pooling::WorkUnit unit = core::valueOrThrow([&request]() -> boost::leaf::result<pooling::WorkUnit> {
        BOOST_LEAF_AUTO(body, core::parseJsonObject(request.body, core::TextBytes::Any));
        return workUnitFromJson(body);
    });
    const pooling::UnitResult result = co_await this->router.runForPeer(std::move(unit));
    co_return net::jsonResponse(StatusOk, toJson(result));
}

boost::json::object TrafficCore::answerMetadata(const net::HttpRequest &request) const
{
    const std::shared_ptr<const confsync::EntryStore> known = this->view->metadata;
    if (known == nullptr) {
        throw core::Error(core::ResultCode::NotReady, "metadata has not been loaded yet");
    }
    return core::valueOrThrow([&]() -> boost::leaf::result<boost::json::object> {
        BOOST_LEAF_AUTO(body, core::parseJsonObject(request.body));
        BOOST_LEAF_AUTO(answer, confsync::answerDeltaRequest(*known, body));
        this->addUnstored(body, answer);
        return answer;
    });
}

/// Adds what the sender of a request for entries cannot know from the entries alone, since the store has come back from
/// an older copy.
void TrafficCore::addUnstored(const boost::json::object &request, boost::json::object &answer) const
{
    const GatewayView &known = *this->view;
    // Daemons of an earlier version do not state the version of their configuration.
    if (known.configuration == nullptr || !request.contains(ConfigurationVersionMember)) {
        return;
    }
    answer.emplace(VersionInForceMember, known.configuration->version);
    const auto version = static_cast<std::uint64_t>(core::jsonInteger(request, ConfigurationVersionMember));
    const core::StorePoint since = core::StorePoint::fromOrder(core::jsonInteger(request, "since"));
    const core::StorePoint own = core::StorePoint::fromOrder(known.metadata->revision());
    const bool isAhead = since > own;
    if (version < known.configuration->version && (isAhead || !known.isConfigurationStored)) {
        answer.emplace(ConfigurationMember, *known.configurationText);
    }
    const bool mayHoldCopy = since.era > own.era || (known.copyAt && core::Clock::now() - *known.copyAt < CopyLifetime);
    if (mayHoldCopy && !known.departedServers.empty()) {
        answer.emplace(DepartedServersMember, boost::json::value_from(known.departedServers));
    }
}

void TrafficCore::publish(std::shared_ptr<const GatewayView> newView)
{
    asio::post(this->context, [this, newView = std::move(newView)] {
        const bool changedRates = this->view->configuration != newView->configuration;
        this->view = newView;
        this->sessionContext->view = newView;
        this->router.setView(newView);
        this->runner.setView(newView);
        this->rates.setView(newView);
        if (changedRates) {
            this->updateRates();
        }
    });
}

void TrafficCore::publishShares(std::shared_ptr<const DaemonShares> newShares)
{
    asio::post(this->context, [this, newShares = std::move(newShares)] {
        this->shares = newShares;
        this->updateRates();
    });
}

void TrafficCore::updateRates()
{
    if (this->view->configuration != nullptr) {
        this->rates.limiter().update(*this->view->configuration, *this->shares, core::Clock::now());
    }
}

net::awaitable<pooling::UnitResult> TrafficCore::runHedged(pooling::WorkUnit unit)
{
    co_return co_await asio::co_spawn(this->context, this->router.runHedged(std::move(unit)), asio::use_awaitable);
}

net::awaitable<TrafficReport> TrafficCore::takeReport()
{
    const auto take = [this]() -> net::awaitable<TrafficReport> {
        RateLimiter &limiter = this->rates.limiter();
        co_return TrafficReport{.demand = limiter.takeDemand(),
                                .urgentDemand = limiter.takeUrgentDemand(),
                                .poolRequests = limiter.takePoolRequests(),
                                .proofs = this->router.takeProofs(),
                                .serverLoads = this->options.deployment.placesReadsByLoad
                                    ? this->router.serverLoads(core::Clock::now())
                                    : routing::ServerLoads()};
    };
    co_return co_await asio::co_spawn(this->context, take, asio::use_awaitable);
}

void TrafficCore::recordProofs(std::map<std::string, TakenProof, std::less<>> proofs)
{
    asio::post(this->context, [this, proofs = std::move(proofs)] {
        for (const auto &[service, proof] : proofs) {
            this->runner.recordProof(service, proof.position, proof.takenAt);
        }
    });
}

void TrafficCore::recordServerLoads(routing::ServerLoads loads)
{
    asio::post(this->context,
               [this, loads = std::move(loads)] { this->runner.recordServerLoads(loads, core::Clock::now()); });
}

void TrafficCore::stopAccepting()
{
    asio::post(this->context, [this] {
        boost::system::error_code ignored;
        this->acceptor->close(ignored);
    });
}

void TrafficCore::closeIdleSessions(unsigned parts)
{
    asio::post(this->context, [this, parts] {
        const std::vector<std::shared_ptr<CallerSession>> open(this->sessions.begin(), this->sessions.end());
        const std::size_t count = (open.size() + parts - 1) / parts;
        for (std::size_t index = 0; index < count; ++index) {
            open[index]->closeWhenIdle();
        }
    });
}

void TrafficCore::abortTransactions()
{
    asio::post(this->context, [this] {
        const std::vector<std::shared_ptr<CallerSession>> open(this->sessions.begin(), this->sessions.end());
        for (const std::shared_ptr<CallerSession> &session : open) {
            session->abortTransaction();
        }
    });
}

net::awaitable<std::size_t> TrafficCore::openWork()
{
    const auto count = [this]() -> net::awaitable<std::size_t> {
        std::size_t leases = 0;
        for (const auto &[server, pool] : this->router.pools()) {
            leases += pool->openTransactions();
        }
        co_return this->sessions.size() + this->peerServer->activeRequests() + leases;
    };
    co_return co_await asio::co_spawn(this->context, count, asio::use_awaitable);
}

}
