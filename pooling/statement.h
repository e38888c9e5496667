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

/// Transaction pooling: statements of long caller sessions over the scarce connections of backend servers.
namespace endiveshore::pooling {

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Execute, ///< Of a prepared statement.
    SetValue, ///< Sets a session value.
    Prepare,
    Deallocate,
    Malformed,
};

/// A prepared statement as its session defined it. Sessions with equal definitions share it on a server connection.
struct PreparedStatement
{
    bool writes = false;
    std::string shape;

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
    std::string id; ///< Chosen by the caller; travels to the server unchanged.
    std::string text; ///< As received. Of an Execute, the part after the name of the prepared statement.
    std::string name; ///< Of a session value or a prepared statement.
    std::string value; ///< Of SetValue.
    PreparedStatement shape; ///< Of Prepare.
};

/// Session values by name. A statement runs only on a connection with exactly the values of its session.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// How a unit of work uses a server connection.
enum class UnitKind {
    ReplicaRead, ///< One read on a server whose log covers `minimumPosition`.
    PrimaryRead, ///< One read inside a transaction of its own, which proves that the server leads.
    Write, ///< One write outside a transaction.
    OpenTransaction, ///< Begins a transaction at the primary and runs its first statement.
    OpenReadOnly, ///< Begins a read-only transaction on a server whose log covers `minimumPosition`.
    InTransaction, ///< Runs a statement on the connection of a lease.
    Commit, ///< Commits the transaction of a lease, which ends.
    Rollback, ///< Rolls back the transaction of a lease, which ends.
    Prove, ///< Begins and rolls back a transaction, which proves the primary's position.
    Status, ///< Asks the server for its role and position; the answer is the only row.
    Pause, ///< Like Status; a replica also stops receiving until it resumes or a server is promoted.
    Resume, ///< Like Status; ends a pause.
};

/// One unit of work for the home of a server.
struct WorkUnit
{
    UnitKind kind = UnitKind::ReplicaRead;
    std::string server; ///< Id.
    std::string workspace;
    std::string id; ///< Of the caller's statement.
    std::string text; ///< Of the caller's statement; of an execution, the part after the name.
    std::optional<PreparedStatement> prepared; ///< Set for the execution of a prepared statement.
    SessionValues values;
    session::LogPosition minimumPosition; ///< Term 0: none.
    std::string lease; ///< Of the transaction, for InTransaction, Commit and Rollback.
    std::uint64_t pauseTerm = 0; ///< For Pause: above every term that the servers have.
    queueing::Priority urgency = queueing::Priority::Read; ///< Class in the queues of servers.
    std::chrono::milliseconds queueTimeout{}; ///< Longest wait for a connection and a slot.
    std::chrono::milliseconds statementTimeout{}; ///< Longest wait for the server's answer.
    std::chrono::milliseconds transactionIdleTimeout{}; ///< Of a transaction between two statements.
};

/// What became of a unit.
enum class UnitOutcome {
    Done,
    ServerError, ///< The server answered with an error; `error` says which.
    NotRun, ///< Nothing reached the server, or the transaction that it ran in was rolled back.
    Unknown, ///< The statement may have run.
};

/// Errors with a meaning for routing. `Other` keeps the server's own code in `errorText`.
enum class UnitError {
    None,
    QueueFull, ///< No slot or connection in time.
    Unreachable, ///< No connection to the server, or none from this daemon.
    ConnectionLimit, ///< The server refuses further connections.
    WrongServer, ///< Another server runs at the address.
    ServerBusy, ///< The server's own queue is full. The statement has not run.
    Behind, ///< The server's log lacks the position. The statement has not run.
    NotPrimary, ///< The server does not lead. The statement has not run or was rolled back.
    ConnectionLost, ///< The connection ended before the answer.
    NoAnswer, ///< No answer within the statement's limit.
    UnknownLease, ///< The transaction has ended.
    UnknownPrepared, ///< The connection does not know the prepared statement. It has not run.
    Failed, ///< The server ran the statement and reports a failure.
    Other,
};

struct UnitResult
{
    UnitOutcome outcome = UnitOutcome::NotRun;
    UnitError error = UnitError::None;
    std::string errorText; ///< As the server worded it, code first.
    std::vector<std::string> rows;
    std::string signature; ///< Of the server, for a statement that succeeded.
    session::LogPosition position; ///< Of the server's log after the statement.
    std::string lease; ///< Of the transaction that the unit opened.
    std::optional<session::LogPosition> provenPosition; ///< Proved by the primary.
    std::chrono::nanoseconds proofAge{}; ///< Of the proof when the result was made.
    bool transactionFailed = false; ///< The transaction can only be ended.
};

}
