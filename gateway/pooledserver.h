#pragma once

#include "core/boottime.h"
#include "gateway/configuration.h"
#include "gateway/serverlink.h"
#include "limits/coldlimit.h"
#include "pooling/admissionqueue.h"
#include "pooling/connectiontracker.h"
#include "pooling/slottracker.h"
#include "routing/evacuation.h"
#include "routing/loadmeter.h"
#include "telemetry/decisionlog.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <memory>
#include <set>

namespace endiveshore::gateway {

/// Limits on the connections of one daemon to a backend server.
struct ConnectionAllowance
{
    unsigned connections = 1; ///< Maximum number of open connections.
    core::Duration idleTimeout = std::chrono::seconds(20); ///< Idle connections are closed after this time.
    bool isHome = true; ///< This daemon is the home of the server.
    limits::ColdBound cold = {}; ///< Statements that the server may get from all daemons while it is cold.
};

struct PooledServerOptions
{
    net::Executor executor;
    BackendServer server;
    ConnectionAllowance allowance;
    ServerLinkFactory links;
    telemetry::DecisionLog *log = nullptr;
};

/// Counters of one daemon's work on one backend server.
struct PooledServerCounters
{
    std::uint64_t units = 0;
    std::uint64_t opened = 0;
    std::uint64_t openFailures = 0;
    std::uint64_t connectionRefusals = 0; ///< Connections that the server refused because of its connection limit.
    std::uint64_t queueRefusals = 0;
};

/// Refusals of queued units by the rank of their route.
using RankRefusals = std::array<std::uint64_t, core::PriorityRanks>;

/// Pool of this daemon's connections to one backend server, with the queue of units of work that wait for connections
/// and slots. All calls must be made on the executor.
class PooledServer : public std::enable_shared_from_this<PooledServer>
{
public:
    explicit PooledServer(PooledServerOptions options);

    /// Runs one unit of work. Failures of the server are reported in the result, not thrown.
    net::awaitable<pooling::UnitResult> run(pooling::WorkUnit unit);

    /// Applies a changed catalogue entry or allowance.
    void update(const BackendServer &server, ConnectionAllowance allowance);

    /// Applies the stage of the evacuation of the server's data centre. In a stage that allows no statements, queued
    /// units end as not run and open transactions are rolled back.
    void setEvacuation(routing::EvacuationStage stage);

    /// Closes connections and rolls back transactions that exceeded their idle timeout. To be called about every 100
    /// ms.
    void tick(core::TimePoint now);

    /// Closes all connections; queued units end as not run.
    void close();

    const BackendServer &server() const;
    const PooledServerCounters &counters() const;
    std::size_t openConnections() const;
    std::size_t queued() const;
    std::size_t openTransactions() const;

    /// Load of the server by the units of this daemon; nothing if it is about idle.
    std::optional<routing::ServerLoad> load(core::TimePoint now) const;

    /// Ranked units that the queue has refused since the last call.
    RankRefusals takeRankRefusals();

private:
    struct Connection
    {
        pooling::ConnectionId id = 0;
        std::unique_ptr<ServerLink> link;
        std::string workspace;
        pooling::SessionValues values;
        /// Name of each prepared statement on this connection.
        std::map<pooling::PreparedStatement, std::string> prepared;
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

    /// RAII guard of a slot.
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
    /// True if the evacuation of the data centre does not allow @p unit any more.
    bool refuses(const Unit &unit) const;
    /// Result of a unit that admit() did not admit.
    Result notAdmitted(const Unit &unit) const;
    void endEvacuatedWork();
    void updateColdLimit();
    void dispatch();
    void countRefusal(const Unit &unit);
    void finishSlot(const pooling::AdmissionQueue::Admitted &unit);
    void recordAnswer();
    void recordProof(session::LogPosition position, core::BootTime takenAt);
    void attachProof(Result &result) const;

    PooledServerOptions options;
    pooling::ConnectionTracker connectionTracker;
    pooling::AdmissionQueue queue;
    pooling::SlotTracker slotTracker;
    routing::LoadMeter loadMeter;
    std::map<pooling::TicketId, std::shared_ptr<Ticket>> tickets;
    std::map<pooling::ConnectionId, std::shared_ptr<Connection>> idle;
    std::map<std::string, Lease, std::less<>> leases;
    std::optional<std::pair<session::LogPosition, core::BootTime>> latestProof;
    pooling::TicketId lastTicket = 0;
    std::uint64_t lastPrepared = 0;
    std::optional<core::TimePoint> answeredAt;
    core::TimePoint unreachableUntil;
    PooledServerCounters counts;
    RankRefusals rankRefusals{};
    limits::ColdLimit coldLimit;
    bool closed = false;
    routing::EvacuationStage evacuation = routing::EvacuationStage::None;
};

}
