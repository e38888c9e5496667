#pragma once

#include "core/time.h"
#include "queueing/fairschedule.h"
#include "session/logposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Transaction pooling: runs the statements of long-lived caller sessions on the few connections that backend servers
/// accept.
namespace endiveshore::pooling {

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Execute, ///< Executes a prepared statement.
    SetValue, ///< Sets a session value.
    Prepare,
    Deallocate,
    Malformed,
};

/// Definition of a prepared statement. Sessions with equal definitions share one prepared statement per server
/// connection.
struct PreparedStatement
{
    bool writes = false;
    std::string shape; ///< Text of the definition, without the leading READ or WRITE.

    bool operator==(const PreparedStatement &) const = default;
    bool operator<(const PreparedStatement &other) const
    {
        return std::tie(this->writes, this->shape) < std::tie(other.writes, other.shape);
    }
};

/// One statement of a caller.
struct Statement
{
    StatementKind kind = StatementKind::Malformed;
    std::string id; ///< Request id chosen by the caller; sent to the server unchanged.
    std::string text; ///< Text as received; for Execute, the part after the name of the prepared statement.
    std::string name; ///< Name of the session value or prepared statement.
    std::string value; ///< New session value, for SetValue.
    PreparedStatement shape; ///< Definition, for Prepare.
};

/// Session values by name. Before a statement runs, its connection is given exactly the values of the session.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// How a unit of work uses a server connection.
enum class UnitKind {
    ReplicaRead, ///< Runs one read on a server that has received `minimumPosition`.
    PrimaryRead, ///< Runs one read in a transaction, whose begin proves that the server is the primary.
    Write, ///< Runs one write outside a transaction.
    OpenTransaction, ///< Begins a transaction at the primary and runs its first statement.
    OpenReadOnly, ///< Begins a read-only transaction on a server that has received `minimumPosition`.
    InTransaction, ///< Runs a statement in the open transaction of a lease.
    Commit, ///< Commits the transaction of a lease and ends the lease.
    Rollback, ///< Rolls back the transaction of a lease and ends the lease.
    Prove, ///< Begins and rolls back a transaction, which proves the primary's position.
    Status, ///< Queries the server's role and position; the result has one row.
    Pause, ///< Like Status; a replica also stops receiving replication until a Resume or a promotion.
    Resume, ///< Like Status; also ends the pause of a replica.
};

/// One unit of work, sent to the daemon that is the home of a server.
struct WorkUnit
{
    UnitKind kind = UnitKind::ReplicaRead;
    std::string server; ///< Id of the backend server.
    std::string workspace;
    std::string id; ///< Request id of the caller's statement.
    std::string text; ///< Text of the caller's statement; for an execution, the part after the name.
    /// Definition to execute, if the statement executes a prepared statement.
    std::optional<PreparedStatement> prepared;
    SessionValues values;
    session::LogPosition minimumPosition; ///< Position the server must have received; term 0 for none.
    std::string lease; ///< Id of the open transaction, for InTransaction, Commit and Rollback.
    bool endsTransaction = false; ///< For OpenTransaction and OpenReadOnly: the first statement is the commit.
    std::uint64_t pauseTerm = 0; ///< For Pause: a term above those of all servers.
    queueing::Priority urgency = queueing::Priority::Read; ///< Priority class in the queue of the server.
    std::optional<core::PriorityRank> rank; ///< Rank of the route, where operators rank routes.
    std::chrono::milliseconds queueTimeout{}; ///< Timeout for getting a connection and a slot.
    std::chrono::milliseconds statementTimeout{}; ///< Timeout for the server's answer.
    /// Longest time an open transaction may be idle between two statements.
    std::chrono::milliseconds transactionIdleTimeout{};
};

/// Outcome of a unit of work.
enum class UnitOutcome {
    Done,
    ServerError, ///< The server answered with an error, see `error`.
    NotRun, ///< The statement did not reach the server, or its transaction was rolled back.
    Unknown, ///< The statement may have run.
};

/// Errors that routing reacts to. For `Other`, `errorText` holds the server's own code.
enum class UnitError {
    None,
    QueueFull, ///< No slot or connection became free in time.
    Unreachable, ///< This daemon cannot connect to the server.
    ConnectionLimit, ///< The server refused the connection because its connection limit is reached.
    WrongServer, ///< A different server answers at the address.
    ServerBusy, ///< The server's own queue is full. The statement did not run.
    Behind, ///< The server has not received the required position. The statement did not run.
    NotPrimary, ///< The server is not the primary. The statement did not run or was rolled back.
    ConnectionLost, ///< The connection closed before the answer arrived.
    NoAnswer, ///< No answer arrived within the statement timeout.
    UnknownLease, ///< The lease is unknown: its transaction has ended.
    UnknownPrepared, ///< The connection does not know the prepared statement. The statement did not run.
    Failed, ///< The server ran the statement and reported a failure.
    Other,
    Evacuated, ///< The server's data centre is being evacuated. The statement did not run or was rolled back.
    NoAllowedServer, ///< No server is in a region in which the statement may run.
};

struct UnitResult
{
    UnitOutcome outcome = UnitOutcome::NotRun;
    UnitError error = UnitError::None;
    std::string errorText; ///< Error as sent by the server, code first, or a description of the failure.
    std::vector<std::string> rows;
    std::string signature; ///< Signature by the server of a statement that succeeded.
    session::LogPosition position; ///< Position of the server's log after the statement.
    std::string lease; ///< Id of the transaction that the unit opened.
    std::optional<session::LogPosition> provenPosition; ///< Latest position proven by the primary.
    std::chrono::nanoseconds proofAge{}; ///< Age of the proof when the result was produced.
    bool transactionFailed = false; ///< The transaction has failed and can only be ended.
};

}
