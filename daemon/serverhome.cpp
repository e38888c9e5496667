#include "daemon/serverhome.h"

#include "daemon/replicawait.h"
#include "daemon/serverhomedetail.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr core::Milliseconds ConnectionCheckTimeout{500};

queueing::Priority priorityOf(const StatementCall &call)
{
    if (!call.transaction.empty()) {
        return queueing::Priority::TransactionInProgress;
    }
    if (!call.readOnly) {
        return queueing::Priority::Write;
    }
    return call.staleRead ? queueing::Priority::StaleRead : queueing::Priority::Read;
}

}

ServerHome::ServerHome(net::Executor executor,
                       ServerHomeOptions options,
                       HomeCheck isHome,
                       SlotQueue::WaitObserver observer)
    : executor(executor)
    , options(std::move(options))
    , isHome(std::move(isHome))
    , slotQueue(executor, static_cast<unsigned>(this->options.server.slots), std::move(observer))
    , pool(executor,
           this->options.server.endpoint,
           backend::ConnectionPoolOptions{.limit = poolLimit(this->options.server.connectionLimit)})
{
}

void ServerHome::update(const FleetView &view)
{
    const auto server = view.servers.find(this->options.serverKey);
    if (server == view.servers.end()) {
        return;
    }
    const auto home = view.homes.find(this->options.serverKey);
    if (home != view.homes.end() && home->second.actsFrom) {
        this->usableFrom = *home->second.actsFrom;
    }
    this->slotQueue.account().setLimit(static_cast<unsigned>(server->second.slots));
    this->options.server.leaving = server->second.leaving;
    this->otherServers.clear();
    for (const auto &[key, other] : view.servers) {
        const bool sameGroup = other.service == server->second.service && other.database == server->second.database;
        if (!sameGroup || key == this->options.serverKey) {
            continue;
        }
        this->otherServers.push_back(other.endpoint);
    }
    const auto service = view.catalogue->services.find(server->second.service);
    if (service != view.catalogue->services.end()) {
        for (const document::Workspace &workspace : service->second->workspaces) {
            this->slotQueue.setWeight(workspace.name, workspace.weight);
        }
    }
    const auto group = view.groups.find(groupKey(server->second.service, server->second.database));
    if (this->tracker && group != view.groups.end() && group->second.term > this->tracker->term()) {
        // Writes of the older term can no longer be confirmed.
        this->tracker->stop();
        this->tracker.reset();
    }
    this->slotQueue.dispatch();
}

net::awaitable<StatementAnswer> ServerHome::execute(StatementCall call)
{
    const std::shared_ptr<ServerHome> self = this->shared_from_this();
    const RunningCall counted(this->running);
    if (!call.transaction.empty()) {
        co_return co_await this->executeInTransaction(std::move(call));
    }
    co_await this->waitUntilUsable(call.deadline);
    co_return co_await this->executeOnce(std::move(call));
}

net::awaitable<StatementAnswer> ServerHome::transact(TransactionStep step, StatementCall call)
{
    using Method = net::awaitable<StatementAnswer> (ServerHome::*)(StatementCall call);
    static constexpr Method Methods[] = {&ServerHome::begin, &ServerHome::commit, &ServerHome::rollback};
    const std::shared_ptr<ServerHome> self = this->shared_from_this();
    const RunningCall counted(this->running);
    co_return co_await (this->*Methods[static_cast<std::size_t>(step)])(std::move(call));
}

bool ServerHome::holdsTransaction(const std::string &transaction) const
{
    return this->transactions.contains(transaction);
}

bool ServerHome::holdsLease() const
{
    return this->options.holdsLease();
}

std::uint64_t ServerHome::homeEpoch() const
{
    return this->options.homeEpoch;
}

std::size_t ServerHome::activeOperations() const
{
    return this->running + this->transactions.size();
}

unsigned ServerHome::slotsInUse()
{
    return this->slotQueue.account().inUse();
}

backend::ConnectionPoolCounters ServerHome::connectionCounters() const
{
    return this->pool.counters();
}

void ServerHome::close()
{
    this->closed = true;
    for (const auto &[id, transaction] : this->transactions) {
        // The server aborts a transaction whose connection closes.
        transaction->lease.client().close();
    }
    this->transactions.clear();
    if (this->tracker) {
        this->tracker->stop();
    }
    this->pool.close();
}

net::awaitable<void> ServerHome::waitUntilUsable(core::TimePoint deadline)
{
    this->requireHome();
    if (this->usableFrom <= core::Clock::now()) {
        co_return;
    }
    if (this->usableFrom >= deadline) {
        throw core::Error(core::ResultCode::NotHome, "this daemon is still taking the server over from another daemon");
    }
    asio::steady_timer timer(this->executor, this->usableFrom);
    co_await timer.async_wait(UseTuple);
}

net::awaitable<StatementAnswer> ServerHome::executeOnce(StatementCall call)
{
    if (this->options.server.leaving && call.term == 0) {
        // Calls for a primary (term above 0) are still served while its VM leaves, because its replacement is promoted
        // within a second.
        throw core::Error(core::ResultCode::NoServer, "the VM of the server is leaving");
    }
    SlotQueue::Slot slot
        = co_await this->slotQueue.acquire(call.workspace, priorityOf(call), call.deadline - StatementStartMargin);
    // The home may have moved to another daemon during the wait.
    this->requireHomeOrRelease(slot);
    backend::StatementCall request;
    request.term = static_cast<std::int64_t>(call.term);
    if (call.statement.is_object()) {
        request.statement = call.statement.as_object();
    }
    request.readOnly = call.readOnly;
    request.requestId = call.requestId;
    request.workspace = call.workspace;
    request.minPosition = static_cast<std::int64_t>(call.required.position);
    request.minTerm = static_cast<std::int64_t>(call.required.term);
    backend::ConnectionPool::Lease lease = co_await this->pool.acquire(call.deadline - core::Clock::now());
    if (!call.readOnly && !lease.isReused()) {
        // A middlebox may accept the connection although the server is unavailable. If the check fails, the write
        // did not run; if the write itself failed, its outcome would be unknown.
        co_await this->checkConnection(lease.client(), call.deadline);
    }
    // Opening a connection takes time as well, and the daemon may have been suspended meanwhile.
    this->requireHomeOrRelease(slot);
    const auto exchange = std::make_shared<Exchange>(this->shared_from_this(), std::move(slot));
    exchange->lease = std::move(lease);
    exchange->request = std::move(request);
    const backend::StatementResult result = co_await this->exchange(exchange, call.deadline);
    StatementAnswer answer = this->answerOf(result);
    if (result.state == backend::StatementResult::State::Behind) {
        throw core::Error(core::ResultCode::ReplicaBehind,
                          "server " + answer.server + " has not applied the session's position");
    }
    if (result.state == backend::StatementResult::State::Diverged) {
        throw core::Error(core::ResultCode::SessionAhead,
                          "the log of server " + answer.server + " does not contain the session's position");
    }
    co_await this->confirm(answer, result, call);
    co_return answer;
}

net::awaitable<backend::StatementResult> ServerHome::exchange(std::shared_ptr<Exchange> exchange,
                                                              core::TimePoint deadline)
{
    exchange->ended.expires_at(deadline);
    asio::co_spawn(this->executor, this->runExchange(exchange), asio::detached);
    if (!exchange->finished) {
        co_await exchange->ended.async_wait(UseTuple);
    }
    if (!exchange->finished) {
        throw core::Error(core::ResultCode::AnswerLost,
                          "the server had not answered the statement by the deadline of the request");
    }
    if (exchange->failure) {
        std::rethrow_exception(exchange->failure);
    }
    co_return std::move(exchange->result);
}

net::awaitable<void> ServerHome::runExchange(std::shared_ptr<Exchange> exchange)
{
    const RunningCall counted(this->running);
    backend::ServerClient &client
        = exchange->transaction ? exchange->transaction->lease.client() : exchange->lease->client();
    try {
        exchange->result = co_await client.statement(std::move(exchange->request), StatementAnswerTimeout);
    } catch (const core::Error &error) {
        exchange->failure = std::current_exception();
        if (error.code == core::ResultCode::AnswerLost && exchange->lease) {
            this->pool.evictOlderThan(exchange->lease->openedAt());
        }
    } catch (...) {
        exchange->failure = std::current_exception();
    }
    if (exchange->abandoned) {
        // The server aborts a transaction whose connection closes.
        client.close();
    }
    exchange->finished = true;
    exchange->slot.release();
    exchange->lease.reset();
    exchange->ended.cancel();
}

net::awaitable<void> ServerHome::checkConnection(backend::ServerClient &client, core::TimePoint deadline)
{
    try {
        co_await client.status(std::min<core::Duration>(ConnectionCheckTimeout, deadline - core::Clock::now()));
    } catch (const core::Error &error) {
        throw core::Error(core::ResultCode::BackendUnreachable, "connection check: " + error.message);
    }
}

net::awaitable<void>
ServerHome::confirm(StatementAnswer &answer, const backend::StatementResult &result, const StatementCall &call)
{
    if (!result.primary) {
        // A replica holds only entries that the primary holds too, so its position is confirmed.
        co_return;
    }
    const std::uint64_t term = static_cast<std::uint64_t>(result.term);
    const std::shared_ptr<ReplicationTracker> replication = this->trackerFor(term);
    if (call.readOnly) {
        answer.sessionSafe = answer.position.position <= replication->confirmedPosition();
        co_return;
    }
    // A replayed answer may have been recorded in an earlier term. Its write is durable once a replica follows the
    // current term, that is, once the replica has received the first entry after the term's start.
    std::uint64_t position = static_cast<std::uint64_t>(result.position);
    if (!answer.termStarts.empty()) {
        const auto newest
            = std::max_element(answer.termStarts.begin(),
                               answer.termStarts.end(),
                               [](const auto &left, const auto &right) { return left.term < right.term; });
        if (newest->term > 1) {
            position = std::max(position, newest->start + 1);
        }
    }
    const bool confirmed = co_await replication->waitConfirmed(position, call.deadline);
    if (!confirmed) {
        throw core::Error(core::ResultCode::ReplicationUnconfirmed,
                          "no replica confirmed the write before the deadline");
    }
}

StatementAnswer ServerHome::answerOf(const backend::StatementResult &result) const
{
    StatementAnswer answer;
    answer.result = result.result;
    answer.server = this->options.serverKey;
    answer.role = result.primary ? "primary" : "replica";
    answer.replayed = result.replayed;
    answer.lagMilliseconds = result.lagMs;
    answer.position.position = static_cast<std::uint64_t>(result.position);
    for (const backend::TermStart &termStart : result.termStarts) {
        answer.termStarts.push_back(
            {.term = static_cast<std::uint64_t>(termStart.term), .start = static_cast<std::uint64_t>(termStart.start)});
    }
    // The position carries the term of its log entry, which can be older than the server's term.
    answer.position.term = static_cast<std::uint64_t>(result.term);
    std::uint64_t entryTerm = 0;
    for (const session::TermStart &termStart : answer.termStarts) {
        if (termStart.start < answer.position.position) {
            entryTerm = std::max(entryTerm, termStart.term);
        }
    }
    if (entryTerm > 0) {
        answer.position.term = entryTerm;
    }
    return answer;
}

std::shared_ptr<ReplicationTracker> ServerHome::trackerFor(std::uint64_t term)
{
    if (this->tracker && this->tracker->term() == term) {
        return this->tracker;
    }
    if (this->tracker) {
        this->tracker->stop();
    }
    std::vector<ReplicationTracker::WaitForPosition> replicas;
    for (const net::TcpEndpoint &endpoint : this->otherServers) {
        auto replica = std::make_shared<ReplicaWait>(this->executor, endpoint);
        replicas.push_back([replica](std::uint64_t waitTerm, std::uint64_t position, core::Duration timeout) {
            return replica->wait(waitTerm, position, timeout);
        });
    }
    this->tracker = std::make_shared<ReplicationTracker>(this->executor, term, std::move(replicas));
    return this->tracker;
}

void ServerHome::requireHomeOrRelease(SlotQueue::Slot &slot) const
{
    try {
        this->requireHome();
    } catch (const core::Error &) {
        slot.releaseUnused();
        throw;
    }
}

void ServerHome::requireLease(Transaction &transaction, SlotQueue::Slot &slot) const
{
    if (this->holdsLease()) {
        return;
    }
    slot.releaseUnused();
    // The server aborts a transaction whose connection closes.
    transaction.lease.client().close();
    throw core::Error(core::ResultCode::TransactionAborted,
                      "the daemon of the transaction was suspended and is no longer the home of the server");
}

void ServerHome::requireHome() const
{
    if (this->closed || !this->isHome()) {
        throw core::Error(core::ResultCode::NotHome,
                          "this daemon is not the home of server " + this->options.serverKey);
    }
}

}
