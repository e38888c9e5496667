#include "daemon/serverhome.h"

#include "daemon/transactionid.h"

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

// Probes of up to three homes, two connections each, and replication waits use connections besides the pool.
constexpr int MonitoringConnections = 8;
// A transaction that its caller has left keeps a connection and locks.
constexpr core::Milliseconds TransactionIdleLimit{10'000};
constexpr core::Milliseconds TransactionCheckInterval{500};
// A statement that got no answer in this time counts as lost. The connection is closed, and the pool checks the others.
constexpr core::Milliseconds StatementLimit{2'000};
// A statement may need this long at the server, so it is not started later than this before its deadline.
constexpr core::Milliseconds StatementReserve{20};
constexpr core::Milliseconds ConnectionCheckLimit{500};
constexpr core::Milliseconds WaitExchangeMargin{250};

/// Counts a call while it is in scope.
class RunningCall
{
public:
    explicit RunningCall(std::size_t &count)
        : count(count)
    {
        ++this->count;
    }
    ~RunningCall()
    {
        --this->count;
    }
    RunningCall(const RunningCall &) = delete;
    RunningCall &operator=(const RunningCall &) = delete;

private:
    std::size_t &count;
};

/// Closes a connection unless dismissed.
class ConnectionCloser
{
public:
    explicit ConnectionCloser(backend::ServerClient &client)
        : client(&client)
    {
    }
    ~ConnectionCloser()
    {
        if (this->client != nullptr) {
            this->client->close();
        }
    }
    ConnectionCloser(const ConnectionCloser &) = delete;
    ConnectionCloser &operator=(const ConnectionCloser &) = delete;

    void dismiss()
    {
        this->client = nullptr;
    }

private:
    backend::ServerClient *client;
};

/// An old and a new home together must stay under the server's connection limit.
int poolLimit(int connectionLimit)
{
    return std::max(2, (connectionLimit - MonitoringConnections) / 2);
}

core::Duration statementTimeout(core::TimePoint deadline)
{
    return std::min<core::Duration>(StatementLimit, deadline - core::Clock::now());
}

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

/// Connection to one replica for position waits, reopened after failures.
class ReplicaWait : public std::enable_shared_from_this<ReplicaWait>
{
public:
    ReplicaWait(const net::Executor &executor, net::TcpEndpoint endpoint)
        : client(executor)
        , endpoint(endpoint)
    {
    }

    net::awaitable<ReplicationTracker::Progress>
    wait(std::uint64_t term, std::uint64_t position, core::Duration timeout)
    {
        const std::shared_ptr<ReplicaWait> self = this->shared_from_this();
        if (!this->client.isOpen()) {
            co_await this->client.connect(this->endpoint, timeout);
        }
        const core::Duration exchangeTimeout = timeout + WaitExchangeMargin;
        const backend::WaitResult result = co_await this->client.wait(
            static_cast<std::int64_t>(term), static_cast<std::int64_t>(position), timeout, exchangeTimeout);
        ReplicationTracker::Progress progress;
        progress.term = static_cast<std::uint64_t>(result.term);
        progress.received = static_cast<std::uint64_t>(result.received);
        co_return progress;
    }

private:
    backend::ServerClient client;
    net::TcpEndpoint endpoint;
};

}

/// A statement that has left for the server. It keeps its slot and connection until the server has answered, also after
/// the caller's deadline: the server still runs it and counts its slot.
struct ServerHome::SentStatement
{
    SentStatement(std::shared_ptr<ServerHome> owner, backend::ConnectionPool::Lease lease, SlotQueue::Slot slot)
        : home(std::move(owner))
        , counted(this->home->running)
        , answered(this->home->executor)
        , lease(std::move(lease))
        , slot(std::move(slot))
    {
    }

    std::shared_ptr<ServerHome> home; ///< Owns the queue of the slot, so it has to go last.
    RunningCall counted;
    asio::steady_timer answered; ///< Cancelled when the statement has ended.
    backend::ConnectionPool::Lease lease;
    SlotQueue::Slot slot;
    backend::StatementResult result;
    std::exception_ptr failure;
    bool finished = false;
};

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
        // Writes of the older term cannot be confirmed any more.
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
    this->requireHome();
    const core::TimePoint now = core::Clock::now();
    if (this->usableFrom > now) {
        if (this->usableFrom >= call.deadline) {
            throw core::Error(core::ResultCode::NotHome, "the server is being taken over from another daemon");
        }
        asio::steady_timer timer(this->executor, this->usableFrom);
        co_await timer.async_wait(UseTuple);
    }
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

std::size_t ServerHome::activity() const
{
    return this->running + this->transactions.size();
}

const SlotQueue &ServerHome::queue() const
{
    return this->slotQueue;
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

net::awaitable<StatementAnswer> ServerHome::executeOnce(StatementCall call)
{
    if (this->options.server.leaving && call.term == 0) {
        // A leaving primary serves until its replacement is promoted, which takes less than a second.
        throw core::Error(core::ResultCode::NoServer, "the server is leaving");
    }
    SlotQueue::Slot slot
        = co_await this->slotQueue.acquire(call.workspace, priorityOf(call), call.deadline - StatementReserve);
    // The home may have changed during the wait.
    try {
        this->requireHome();
    } catch (const core::Error &) {
        slot.releaseUnused();
        throw;
    }
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
        // A middle box may accept the connection although the server is gone. A failed check leaves the outcome known,
        // a failed write would not.
        co_await this->checkConnection(lease.client(), call.deadline);
    }
    const auto sent = std::make_shared<SentStatement>(this->shared_from_this(), std::move(lease), std::move(slot));
    asio::co_spawn(this->executor, this->awaitAnswer(sent, std::move(request)), asio::detached);
    sent->answered.expires_at(call.deadline);
    if (!sent->finished) {
        co_await sent->answered.async_wait(UseTuple);
    }
    if (!sent->finished) {
        throw core::Error(core::ResultCode::AnswerLost, "the server did not answer before the deadline");
    }
    if (sent->failure) {
        std::rethrow_exception(sent->failure);
    }
    const backend::StatementResult result = std::move(sent->result);
    StatementAnswer answer = this->answerOf(result);
    if (result.state == backend::StatementResult::State::Behind) {
        throw core::Error(core::ResultCode::ReplicaBehind,
                          "server " + answer.server + " has not applied the session's position");
    }
    if (result.state == backend::StatementResult::State::Diverged) {
        throw core::Error(core::ResultCode::SessionAhead,
                          "the history of server " + answer.server + " lacks the session's position");
    }
    co_await this->confirm(answer, result, call);
    co_return answer;
}

net::awaitable<void> ServerHome::awaitAnswer(std::shared_ptr<SentStatement> sent, backend::StatementCall request)
{
    const core::TimePoint openedAt = sent->lease.openedAt();
    try {
        sent->result = co_await sent->lease.client().statement(std::move(request), StatementLimit);
    } catch (const core::Error &error) {
        sent->failure = std::current_exception();
        if (error.code == core::ResultCode::AnswerLost) {
            this->pool.condemnOlderThan(openedAt);
        }
    }
    sent->finished = true;
    sent->lease = backend::ConnectionPool::Lease();
    sent->slot.release();
    sent->answered.cancel();
}

net::awaitable<void> ServerHome::checkConnection(backend::ServerClient &client, core::TimePoint deadline)
{
    try {
        co_await client.status(std::min<core::Duration>(ConnectionCheckLimit, deadline - core::Clock::now()));
    } catch (const core::Error &error) {
        throw core::Error(core::ResultCode::BackendUnreachable, "connection check: " + error.message);
    }
}

net::awaitable<StatementAnswer> ServerHome::executeInTransaction(StatementCall call)
{
    const std::shared_ptr<Transaction> transaction = this->useTransaction(call);
    transaction->busy = true;
    std::exception_ptr failure;
    backend::StatementResult result;
    try {
        SlotQueue::Slot slot = co_await this->slotQueue.acquire(
            call.workspace, queueing::Priority::TransactionInProgress, call.deadline - StatementReserve);
        backend::StatementCall request;
        request.term = static_cast<std::int64_t>(transaction->term);
        request.statement = call.statement.as_object();
        request.readOnly = call.readOnly;
        request.requestId = call.requestId;
        request.workspace = call.workspace;
        request.transaction = call.transaction;
        result = co_await transaction->lease.client().statement(std::move(request), statementTimeout(call.deadline));
    } catch (...) {
        failure = std::current_exception();
    }
    transaction->busy = false;
    transaction->lastUse = core::Clock::now();
    if (failure) {
        if (!transaction->lease.client().isOpen()) {
            this->transactions.erase(call.transaction);
        }
        std::rethrow_exception(failure);
    }
    StatementAnswer answer = this->answerOf(result);
    // Nothing of an open transaction may enter a session token.
    answer.sessionSafe = false;
    co_return answer;
}

net::awaitable<StatementAnswer> ServerHome::begin(StatementCall call)
{
    this->requireHome();
    const std::size_t transactionLimit = static_cast<std::size_t>(
        std::max(1, poolLimit(this->options.server.connectionLimit) - this->options.server.slots));
    if (this->transactions.size() >= transactionLimit) {
        throw core::Error(core::ResultCode::QueueFull, "too many open transactions at the server");
    }
    const std::string id = makeTransactionId(this->options.memberId, this->options.serverKey);
    backend::ConnectionPool::Lease lease = co_await this->pool.acquire(call.deadline - core::Clock::now());
    auto transaction = std::make_shared<Transaction>(std::move(lease));
    transaction->workspace = call.workspace;
    transaction->term = call.term;
    transaction->lastUse = core::Clock::now();
    co_await transaction->lease.client().begin(
        static_cast<std::int64_t>(call.term), call.workspace, id, statementTimeout(call.deadline));
    this->transactions.emplace(id, transaction);
    if (!this->expiryRunning) {
        this->expiryRunning = true;
        asio::co_spawn(this->executor, this->expireTransactions(), asio::detached);
    }
    StatementAnswer answer;
    answer.server = this->options.serverKey;
    answer.role = "primary";
    answer.sessionSafe = false;
    answer.result = id;
    co_return answer;
}

net::awaitable<StatementAnswer> ServerHome::commit(StatementCall call)
{
    const std::shared_ptr<Transaction> transaction = this->useTransaction(call);
    transaction->busy = true;
    this->transactions.erase(call.transaction);
    // A connection with an open transaction must not return to the pool: unless the commit is known to have ended the
    // transaction, the connection is closed and the server aborts it.
    ConnectionCloser closer(transaction->lease.client());
    SlotQueue::Slot slot = co_await this->slotQueue.acquire(
        call.workspace, queueing::Priority::TransactionInProgress, call.deadline - StatementReserve);
    const backend::StatementResult result = co_await transaction->lease.client().commit(
        call.transaction, call.requestId, statementTimeout(call.deadline));
    closer.dismiss();
    slot.release();
    StatementAnswer answer = this->answerOf(result);
    call.term = transaction->term;
    co_await this->confirm(answer, result, call);
    co_return answer;
}

net::awaitable<StatementAnswer> ServerHome::rollback(StatementCall call)
{
    const std::shared_ptr<Transaction> transaction = this->useTransaction(call);
    transaction->busy = true;
    this->transactions.erase(call.transaction);
    ConnectionCloser closer(transaction->lease.client());
    co_await transaction->lease.client().rollback(call.transaction, statementTimeout(call.deadline));
    closer.dismiss();
    StatementAnswer answer;
    answer.server = this->options.serverKey;
    answer.sessionSafe = false;
    co_return answer;
}

net::awaitable<void> ServerHome::expireTransactions()
{
    const std::shared_ptr<ServerHome> self = this->shared_from_this();
    asio::steady_timer timer(this->executor);
    while (!this->closed && !this->transactions.empty()) {
        timer.expires_after(TransactionCheckInterval);
        co_await timer.async_wait(UseTuple);
        const core::TimePoint now = core::Clock::now();
        std::erase_if(this->transactions, [now](const auto &item) {
            const Transaction &transaction = *item.second;
            if (transaction.busy || now - transaction.lastUse < TransactionIdleLimit) {
                return false;
            }
            // The server aborts a transaction whose connection closes.
            transaction.lease.client().close();
            return true;
        });
    }
    this->expiryRunning = false;
}

net::awaitable<void>
ServerHome::confirm(StatementAnswer &answer, const backend::StatementResult &result, const StatementCall &call)
{
    if (!result.primary) {
        // A replica holds only what the primary also holds, so its position is confirmed.
        co_return;
    }
    const std::uint64_t term = static_cast<std::uint64_t>(result.term);
    const std::shared_ptr<ReplicationTracker> replication = this->trackerFor(term);
    if (call.readOnly) {
        answer.sessionSafe = answer.position.position <= replication->confirmedPosition();
        co_return;
    }
    // An answer recorded in an earlier term is durable once a replica follows the current term, whose first entry
    // comes after the term's start.
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
        throw core::Error(core::ResultCode::ReplicationUnconfirmed, "no replica confirmed the write in time");
    }
}

std::shared_ptr<ServerHome::Transaction> ServerHome::useTransaction(const StatementCall &call)
{
    const auto found = this->transactions.find(call.transaction);
    if (found == this->transactions.end()) {
        throw core::Error(core::ResultCode::UnknownTransaction, "the transaction is not open");
    }
    if (found->second->workspace != call.workspace) {
        throw core::Error(core::ResultCode::WorkspaceMismatch, "the transaction belongs to another workspace");
    }
    if (found->second->busy) {
        throw core::Error(core::ResultCode::MalformedRequest, "the transaction runs another statement");
    }
    return found->second;
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
    // The label is the term of the entry at the position, which can be older than the server's term.
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

void ServerHome::requireHome() const
{
    if (this->closed || !this->isHome()) {
        throw core::Error(core::ResultCode::NotHome,
                          "this daemon is not the home of server " + this->options.serverKey);
    }
}

}
