#pragma once

#include "core/boottime.h"
#include "gateway/configuration.h"
#include "gateway/serverlink.h"
#include "pooling/admissionqueue.h"
#include "pooling/connectiontracker.h"
#include "pooling/slottracker.h"
#include "telemetry/decisionlog.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace endiveshore::gateway {

/// What a daemon may keep of a server's connections.
struct ConnectionAllowance
{
    unsigned connections = 1; ///< Most that this daemon opens.
    core::Duration idleTimeout = std::chrono::seconds(20); ///< An idle connection is closed after this time.
};

struct PooledServerOptions
{
    net::Executor executor;
    BackendServer server;
    ConnectionAllowance allowance;
    ServerLinkFactory links;
    telemetry::DecisionLog *log = nullptr;
};

/// What a daemon does with one backend server.
struct PooledServerCounters
{
    std::uint64_t units = 0;
    std::uint64_t opened = 0;
    std::uint64_t openFailures = 0;
    std::uint64_t connectionRefusals = 0; ///< By the server's connection limit.
    std::uint64_t queueRefusals = 0;
};

/// One backend server's connections and slots, as far as this daemon uses them, and the queue in front of them. All
/// calls are made on the executor.
class PooledServer : public std::enable_shared_from_this<PooledServer>
{
public:
    explicit PooledServer(PooledServerOptions options);

    /// Runs one unit of work. Never throws for failures of the server; the result says what became of the unit.
    net::awaitable<pooling::UnitResult> run(pooling::WorkUnit unit);

    /// Takes over a changed entry or allowance.
    void update(const BackendServer &server, ConnectionAllowance allowance);

    /// Ends idle connections and transactions that rest for too long. To be called every 100 ms or so.
    void tick(core::TimePoint now);

    /// Ends all connections; waiting units are answered as not run.
    void close();

    const BackendServer &server() const;
    const PooledServerCounters &counters() const;
    std::size_t openConnections() const;
    std::size_t queued() const;
    std::size_t openTransactions() const;

private:
    struct Connection
    {
        pooling::ConnectionId id = 0;
        std::unique_ptr<ServerLink> link;
        std::string workspace;
        pooling::SessionValues values;
        std::map<pooling::PreparedStatement, std::string> prepared; ///< Names on this connection.
    };

    struct Lease
    {
        std::shared_ptr<Connection> connection;
        core::TimePoint idleUntil;
        bool busy = false;
    };

    struct Ticket
    {
        explicit Ticket(const net::Executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<pooling::AdmissionQueue::Admitted> admitted;
    };

    /// A slot in use; returned when it goes out of scope.
    class Slot;

    using Unit = pooling::WorkUnit;
    using Result = pooling::UnitResult;

    net::awaitable<Result> runAdmitted(Unit unit, pooling::UnitNeed need);
    net::awaitable<Result> runOnLease(Unit unit);
    net::awaitable<Result> endTransaction(Unit unit);
    net::awaitable<Result> runProxyCommand(Unit unit);
    net::awaitable<Result> queryStatus(Connection &connection, const Unit &unit);
    net::awaitable<std::optional<Slot>> admit(const Unit &unit, pooling::UnitNeed need);
    net::awaitable<Result> obtainConnection(std::string workspace, bool transaction, std::shared_ptr<Connection> &out);
    net::awaitable<Result> openConnection(Connection &opened);
    Result openFailed(pooling::ConnectionId connection, std::string failure);
    net::awaitable<Result> prepareConnection(Connection &connection, const Unit &unit);
    net::awaitable<Result> beginTransaction(Connection &connection, const Unit &unit);
    net::awaitable<Result> runStatement(Connection &connection, const Unit &unit, bool endWithRollback);
    net::awaitable<void> rollBack(std::shared_ptr<Connection> connection);
    ServerCommand statementCommand(const Connection &connection, const Unit &unit) const;
    void keepOrDrop(const std::shared_ptr<Connection> &connection, bool reusable);
    void dispatch();
    void finishSlot(const pooling::AdmissionQueue::Admitted &unit);
    void recordAnswer();
    void recordProof(session::LogPosition position, core::BootTime takenAt);
    void attachProof(Result &result) const;

    PooledServerOptions options;
    pooling::ConnectionTracker connectionTracker;
    pooling::AdmissionQueue queue;
    pooling::SlotTracker slotTracker;
    std::map<pooling::TicketId, std::shared_ptr<Ticket>> tickets;
    std::map<pooling::ConnectionId, std::shared_ptr<Connection>> idle;
    std::map<std::string, Lease, std::less<>> leases;
    std::optional<std::pair<session::LogPosition, core::BootTime>> latestProof;
    pooling::TicketId lastTicket = 0;
    std::uint64_t lastPrepared = 0;
    std::optional<core::TimePoint> answeredAt;
    core::TimePoint unreachableUntil;
    PooledServerCounters counts;
    bool closed = false;
};

}
