#include "daemon/trafficthread.h"

#include "core/hashing.h"
#include "core/json.h"
#include "daemon/transactionid.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

constexpr core::Milliseconds PeerExchangeTimeout{1'000};
constexpr core::Milliseconds AbandonTimeout{1'000};

}

TrafficThread::TrafficThread(TrafficOptions options, TrafficCallbacks callbacks, std::size_t index, TrafficPool &pool)
    : work(this->context.get_executor())
    , view(std::make_shared<const FleetView>())
    , pool(pool)
    , options(options)
    , registry(
          this->context.get_executor(),
          options.memberId,
          [this](const std::string &serverKey) { return &this->pool.owner(serverKey) == this; },
          callbacks.homeCheck,
          callbacks.queueWait,
          callbacks.homeDecision,
          callbacks.homeReleased)
    , peers(this->context.get_executor(), net::PeerClientOptions{.onRefused = callbacks.peerRefused})
    , homeClient(
          options.memberId,
          this->peers,
          [this](StatementCall call) { return this->executeLocally(std::move(call)); },
          [this](TransactionStep step, StatementCall call) { return this->transactLocally(step, std::move(call)); })
    , router(
          StatementRouterOptions{.dataCentre = options.dataCentre,
                                 .readFromReplicas = options.readFromReplicas,
                                 .seed = core::stableHash(options.memberId) + index},
          [this] { return this->view; },
          this->homeClient,
          callbacks.routeDecision)
    , frontend(CallerFrontendOptions{.sessionSecrets = options.sessionSecrets},
               CallerFrontendCallbacks{.view = [this] { return this->view; },
                                       .admit = callbacks.admit,
                                       .isDraining = callbacks.isDraining,
                                       .finished = callbacks.finished,
                                       .abandonTransaction
                                       = [this](StatementCall call) { this->abandonTransaction(std::move(call)); }},
               this->router)
{
    this->server = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &) { return this->frontend.handle(std::move(request)); });
}

TrafficThread::~TrafficThread()
{
    this->stop();
}

void TrafficThread::start()
{
    this->server->listen(this->context.get_executor(), this->options.listen, true);
    this->thread = std::thread([this] { this->context.run(); });
}

void TrafficThread::stop()
{
    this->context.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

net::Executor TrafficThread::executor()
{
    return this->context.get_executor();
}

void TrafficThread::setView(std::shared_ptr<const FleetView> newView)
{
    asio::post(this->context, [this, newView = std::move(newView)] {
        this->view = newView;
        this->registry.setView(newView);
    });
}

HomeRegistry &TrafficThread::homes()
{
    return this->registry;
}

net::awaitable<boost::json::object>
TrafficThread::exchangeWithPeer(std::string memberId, std::string path, boost::json::object request)
{
    const auto member = this->view->members.find(memberId);
    if (member == this->view->members.end()) {
        throw core::Error(core::ResultCode::PeerUnreachable, "unknown member " + memberId);
    }
    const net::TcpEndpoint endpoint = member->second;
    net::HttpRequest message = net::jsonRequest(path, request);
    const net::HttpResponse response = co_await this->peers.exchange(endpoint, std::move(message), PeerExchangeTimeout);
    boost::json::object answer = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    throwIfError(response.status, answer);
    co_return answer;
}

net::awaitable<StatementAnswer> TrafficThread::executeForPeer(StatementCall call)
{
    const std::shared_ptr<const FleetView> current = this->view;
    const auto home = current->homes.find(call.server);
    const bool moved = home != current->homes.end() && home->second.member != this->options.memberId;
    if (call.transaction.empty() && moved && call.hops == 0) {
        // The sender does not know yet that the home has moved, for example during a planned stop of this daemon.
        ++call.hops;
        co_return co_await this->homeClient.execute(*current, std::move(call));
    }
    co_return co_await this->executeLocally(std::move(call));
}

net::awaitable<StatementAnswer> TrafficThread::transactForPeer(TransactionStep step, StatementCall call)
{
    const std::shared_ptr<const FleetView> current = this->view;
    const auto home = current->homes.find(call.server);
    const bool moved = home != current->homes.end() && home->second.member != this->options.memberId;
    if (step == TransactionStep::Begin && moved && call.hops == 0) {
        ++call.hops;
        co_return co_await this->homeClient.transact(*current, step, std::move(call));
    }
    co_return co_await this->transactLocally(step, std::move(call));
}

void TrafficThread::abandonTransaction(StatementCall call)
{
    call.deadline = core::Clock::now() + AbandonTimeout;
    const auto rollBack = [this, call = std::move(call)]() -> net::awaitable<void> {
        const std::shared_ptr<const FleetView> current = this->view;
        StatementCall copy = call;
        try {
            co_await this->homeClient.transact(*current, TransactionStep::Rollback, std::move(copy));
        } catch (const core::Error &) {
            // The transaction has ended already, or it ends with the idle timeout of its home.
            co_return;
        }
    };
    asio::co_spawn(this->context, rollBack, asio::detached);
}

net::HttpServer &TrafficThread::callerServer()
{
    return *this->server;
}

net::awaitable<StatementAnswer> TrafficThread::executeLocally(StatementCall call)
{
    co_return co_await this->pool.execute(std::move(call));
}

net::awaitable<StatementAnswer> TrafficThread::transactLocally(TransactionStep step, StatementCall call)
{
    co_return co_await this->pool.transact(step, std::move(call));
}

TrafficPool::TrafficPool(TrafficOptions options, TrafficCallbacks callbacks)
{
    for (int index = 0; index < options.threads; ++index) {
        this->threads.push_back(
            std::make_unique<TrafficThread>(options, callbacks, static_cast<std::size_t>(index), *this));
    }
}

void TrafficPool::publish(std::shared_ptr<const FleetView> view)
{
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        thread->setView(view);
    }
}

TrafficThread &TrafficPool::owner(std::string_view serverKey)
{
    return *this->threads[core::stableHash(serverKey) % this->threads.size()];
}

TrafficThread &TrafficPool::threadFor(const StatementCall &call)
{
    if (call.transaction.empty()) {
        return this->owner(call.server);
    }
    return *this->threads[transactionServerHash(call.transaction) % this->threads.size()];
}

net::awaitable<StatementAnswer> TrafficPool::execute(StatementCall call)
{
    TrafficThread &thread = this->threadFor(call);
    co_return co_await asio::co_spawn(thread.executor(), thread.homes().execute(std::move(call)), asio::use_awaitable);
}

net::awaitable<StatementAnswer> TrafficPool::transact(TransactionStep step, StatementCall call)
{
    TrafficThread &thread = this->threadFor(call);
    co_return co_await asio::co_spawn(
        thread.executor(), thread.homes().transact(step, std::move(call)), asio::use_awaitable);
}

net::awaitable<std::size_t> TrafficPool::activeOperations()
{
    std::size_t total = 0;
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        const auto count = [&thread]() -> net::awaitable<std::size_t> { co_return thread->homes().activeOperations(); };
        total += co_await asio::co_spawn(thread->executor(), count(), asio::use_awaitable);
    }
    co_return total;
}

std::size_t TrafficPool::activeRequests()
{
    std::size_t total = 0;
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        total += thread->callerServer().activeRequests();
    }
    return total;
}

std::vector<TrafficThread *> TrafficPool::allThreads()
{
    std::vector<TrafficThread *> result;
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        result.push_back(thread.get());
    }
    return result;
}

void TrafficPool::start()
{
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        thread->start();
    }
}

void TrafficPool::stopAccepting()
{
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        thread->callerServer().stop();
    }
}

void TrafficPool::stop()
{
    for (const std::unique_ptr<TrafficThread> &thread : this->threads) {
        thread->stop();
    }
}

}
