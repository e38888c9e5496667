#include "daemon/serverhomedetail.h"
#include "daemon/transactionid.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Transactions of ServerHome. A transaction is pinned to one connection from begin to commit or rollback.
namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// A transaction abandoned by its caller holds a connection and locks, so it is aborted after this time without a call.
constexpr core::Milliseconds TransactionIdleTimeout{10'000};
constexpr core::Milliseconds TransactionCheckInterval{500};

/// RAII guard that closes a connection unless dismissed.
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

}

net::awaitable<StatementAnswer> ServerHome::executeInTransaction(StatementCall call)
{
    const std::shared_ptr<Transaction> transaction = this->useTransaction(call);
    transaction->busy = true;
    std::exception_ptr failure;
    backend::StatementResult result;
    std::shared_ptr<Exchange> exchange;
    try {
        SlotQueue::Slot slot = co_await this->slotQueue.acquire(
            call.workspace, queueing::Priority::TransactionInProgress, call.deadline - StatementStartMargin);
        this->requireLease(*transaction, slot);
        exchange = std::make_shared<Exchange>(this->shared_from_this(), std::move(slot));
        exchange->transaction = transaction;
        backend::StatementCall &request = exchange->request;
        request.term = static_cast<std::int64_t>(transaction->term);
        request.statement = call.statement.as_object();
        request.readOnly = call.readOnly;
        request.requestId = call.requestId;
        request.workspace = call.workspace;
        request.transaction = call.transaction;
        result = co_await this->exchange(exchange, call.deadline);
    } catch (...) {
        failure = std::current_exception();
    }
    transaction->busy = false;
    transaction->lastUse = core::Clock::now();
    // The server may still run the statement, which keeps its slot until the answer; the connection closes with it.
    const bool running = exchange && !exchange->finished;
    if (transaction->isRolledBack && !running) {
        // The server aborts a transaction whose connection closes.
        transaction->lease.client().close();
    }
    if (failure) {
        if (running) {
            exchange->abandoned = true;
        }
        if (running || !transaction->lease.client().isOpen()) {
            this->transactions.erase(call.transaction);
        }
        std::rethrow_exception(failure);
    }
    StatementAnswer answer = this->answerOf(result);
    // Positions of an uncommitted transaction must not enter a session token.
    answer.sessionSafe = false;
    co_return answer;
}

net::awaitable<StatementAnswer> ServerHome::begin(StatementCall call)
{
    // Statements of an open transaction do not wait for the end of the handover, so the transaction begins after it.
    co_await this->waitUntilUsable(call.deadline);
    const std::size_t transactionLimit = static_cast<std::size_t>(
        std::max(1, poolLimit(this->options.server.connectionLimit) - this->options.server.slots));
    if (this->transactions.size() + this->beginning >= transactionLimit) {
        throw core::Error(core::ResultCode::QueueFull, "too many open transactions at the server");
    }
    const RunningCall begins(this->beginning);
    const std::string id = makeTransactionId(this->options.memberId, this->options.serverKey);
    backend::ConnectionPool::Lease lease = co_await this->pool.acquire(call.deadline - core::Clock::now());
    this->requireHome();
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
    // A connection with an open transaction must not return to the pool. Unless the commit is known to have ended the
    // transaction, the connection is closed, and the server aborts the transaction.
    ConnectionCloser closer(transaction->lease.client());
    SlotQueue::Slot slot = co_await this->slotQueue.acquire(
        call.workspace, queueing::Priority::TransactionInProgress, call.deadline - StatementStartMargin);
    this->requireLease(*transaction, slot);
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
    const std::shared_ptr<Transaction> transaction = this->findTransaction(call);
    this->transactions.erase(call.transaction);
    StatementAnswer answer;
    answer.server = this->options.serverKey;
    answer.sessionSafe = false;
    if (transaction->busy) {
        // The caller has given up a statement that still runs. The transaction can no longer be committed and ends with
        // the statement; its locks would otherwise stay until the idle timeout.
        transaction->isRolledBack = true;
        co_return answer;
    }
    transaction->busy = true;
    ConnectionCloser closer(transaction->lease.client());
    co_await transaction->lease.client().rollback(call.transaction, statementTimeout(call.deadline));
    closer.dismiss();
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
            if (transaction.busy || now - transaction.lastUse < TransactionIdleTimeout) {
                return false;
            }
            // The server aborts a transaction whose connection closes.
            transaction.lease.client().close();
            return true;
        });
    }
    this->expiryRunning = false;
}

std::shared_ptr<ServerHome::Transaction> ServerHome::useTransaction(const StatementCall &call) const
{
    std::shared_ptr<Transaction> transaction = this->findTransaction(call);
    if (transaction->busy) {
        throw core::Error(core::ResultCode::MalformedRequest, "another call of the transaction is still running");
    }
    return transaction;
}

std::shared_ptr<ServerHome::Transaction> ServerHome::findTransaction(const StatementCall &call) const
{
    const auto found = this->transactions.find(call.transaction);
    if (found == this->transactions.end()) {
        throw core::Error(core::ResultCode::UnknownTransaction, "the transaction is not open");
    }
    if (found->second->workspace != call.workspace) {
        throw core::Error(core::ResultCode::WorkspaceMismatch, "the transaction belongs to another workspace");
    }
    return found->second;
}

}
