#pragma once

#include "backend/connectionpool.h"
#include "daemon/fleetview.h"
#include "daemon/homeclient.h"
#include "daemon/replicationtracker.h"
#include "daemon/slotqueue.h"
#include "daemon/statementcall.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::daemon {

struct ServerHomeOptions
{
    std::string memberId; ///< Id of this daemon; prefix of transaction ids.
    std::string serverKey;
    ServerView server;
    std::uint64_t homeEpoch = 0; ///< Epoch of the daemon's homes in which this home was taken.
    /// Returns false once the daemon was suspended for longer than its lease. Another daemon may use all slots of the
    /// server from then on, so that open transactions must not go on. After an orderly change of home they may.
    std::function<bool()> holdsLease = [] { return true; };
};

/// Queue, slots, connections and open transactions of one backend server, held by the server's home daemon. Runs on one
/// executor.
class ServerHome : public std::enable_shared_from_this<ServerHome>
{
public:
    /// Returns true while this daemon may send statements to the server.
    using HomeCheck = std::function<bool()>;

    ServerHome(net::Executor executor, ServerHomeOptions options, HomeCheck isHome, SlotQueue::WaitObserver observer);

    /// Applies the group's term, the addresses of its servers, the slot limit and the weights of the workspaces.
    void update(const FleetView &view);

    /// Runs a statement. A write returns only after a replica has received it in the same term. Throws core::Error.
    net::awaitable<StatementAnswer> execute(StatementCall call);

    /// Begins, commits or rolls back a transaction on a pinned connection. Throws core::Error.
    net::awaitable<StatementAnswer> transact(TransactionStep step, StatementCall call);

    /// True if @p transaction is open at this home.
    bool holdsTransaction(const std::string &transaction) const;

    /// False once the daemon was suspended for longer than its lease: the work of this home must end at once.
    bool holdsLease() const;

    std::uint64_t homeEpoch() const;

    /// Number of running or waiting calls and open transactions; zero once drained.
    std::size_t activeOperations() const;

    unsigned slotsInUse();
    backend::ConnectionPoolCounters connectionCounters() const;

    /// Ends replication waits, aborts open transactions and closes idle connections.
    void close();

private:
    struct Transaction
    {
        explicit Transaction(backend::ConnectionPool::Lease lease)
            : lease(std::move(lease))
        {
        }
        backend::ConnectionPool::Lease lease;
        std::string workspace;
        std::uint64_t term = 0;
        core::TimePoint lastUse;
        bool busy = false;
        bool isRolledBack = false; ///< The caller has rolled it back while a statement was running.
    };

    struct Exchange;

    /// Waits until the statements of the former home have ended. Throws core::Error(NotHome) if this daemon is not the
    /// home or if the wait would exceed @p deadline.
    net::awaitable<void> waitUntilUsable(core::TimePoint deadline);
    net::awaitable<StatementAnswer> executeOnce(StatementCall call);
    net::awaitable<backend::StatementResult> exchange(std::shared_ptr<Exchange> exchange, core::TimePoint deadline);
    net::awaitable<void> runExchange(std::shared_ptr<Exchange> exchange);
    net::awaitable<void> checkConnection(backend::ServerClient &client, core::TimePoint deadline);
    net::awaitable<StatementAnswer> executeInTransaction(StatementCall call);
    net::awaitable<StatementAnswer> begin(StatementCall call);
    net::awaitable<StatementAnswer> commit(StatementCall call);
    net::awaitable<StatementAnswer> rollback(StatementCall call);
    net::awaitable<void> expireTransactions();
    net::awaitable<void>
    confirm(StatementAnswer &answer, const backend::StatementResult &result, const StatementCall &call);
    /// The open transaction of @p call. Throws core::Error(UnknownTransaction or WorkspaceMismatch).
    std::shared_ptr<Transaction> findTransaction(const StatementCall &call) const;
    /// As findTransaction(). Throws core::Error(MalformedRequest) as well if another call of the transaction is
    /// running.
    std::shared_ptr<Transaction> useTransaction(const StatementCall &call) const;
    StatementAnswer answerOf(const backend::StatementResult &result) const;
    std::shared_ptr<ReplicationTracker> trackerFor(std::uint64_t term);
    void requireHome() const;
    void requireHomeOrRelease(SlotQueue::Slot &slot) const;
    /// Closes the connection of @p transaction and throws core::Error(TransactionAborted) unless the lease is held.
    void requireLease(Transaction &transaction, SlotQueue::Slot &slot) const;

    net::Executor executor;
    ServerHomeOptions options;
    HomeCheck isHome;
    SlotQueue slotQueue;
    backend::ConnectionPool pool;
    std::vector<net::TcpEndpoint> otherServers;
    std::shared_ptr<ReplicationTracker> tracker;
    std::map<std::string, std::shared_ptr<Transaction>> transactions;
    core::TimePoint usableFrom;
    std::size_t running = 0;
    std::size_t beginning = 0; ///< Transactions that are being opened; they count towards the limit.
    bool expiryRunning = false;
    bool closed = false;
};

}
