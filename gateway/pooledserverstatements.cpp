#include "gateway/pooledserver.h"

#include "gateway/pooledserverdetail.h"

#include <algorithm>

/// Commands that PooledServer sends on one connection: session values, prepared statements, transactions and
/// statements.
namespace endiveshore::gateway {

using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;

namespace {

/// Timeout of commands that occupy no slot and are answered within one round trip.
constexpr std::chrono::milliseconds ControlTimeout{450};
/// Signature of answers to commands that are not statements of callers.
constexpr std::string_view UnsignedAnswer = "-";

bool isWriteOutcome(UnitKind kind)
{
    return kind == UnitKind::Write || kind == UnitKind::Commit;
}

/// Errors by which the server guarantees that the statement did not run.
bool isNotRunError(UnitError error)
{
    switch (error) {
    case UnitError::ServerBusy:
    case UnitError::Behind:
    case UnitError::NotPrimary:
    case UnitError::WrongServer:
    case UnitError::ConnectionLimit:
    case UnitError::UnknownPrepared:
        return true;
    default:
        return false;
    }
}

/// States in which a statement that succeeded can leave its connection.
bool isPossibleState(const pooling::WorkUnit &unit, ServerState state)
{
    switch (unit.kind) {
    case UnitKind::Write:
    case UnitKind::ReplicaRead:
    case UnitKind::Commit:
        return state == ServerState::Idle;
    default:
        return (state == ServerState::Idle) == unit.endsTransaction;
    }
}

pooling::UnitResult errorResult(const ServerReply &reply)
{
    return {.outcome = isNotRunError(reply.error) ? UnitOutcome::NotRun : UnitOutcome::ServerError,
            .error = reply.error,
            .errorText = reply.errorText,
            .position = reply.position,
            .transactionFailed = reply.state == ServerState::TransactionFailed};
}

}

net::awaitable<pooling::UnitResult> PooledServer::prepareConnection(Connection &connection, const Unit &unit)
{
    std::vector<ServerCommand> commands;
    const auto isDropped = [&](const auto &entry) { return !unit.values.contains(entry.first); };
    if (std::ranges::any_of(connection.values, isDropped)) {
        commands.push_back({.kind = CommandKind::Reset});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : unit.values) {
        const auto present = connection.values.find(name);
        if (present == connection.values.end() || present->second != value) {
            commands.push_back({.kind = CommandKind::SetValue, .name = name, .value = value});
        }
    }
    if (unit.prepared && !connection.prepared.contains(*unit.prepared)) {
        std::string name = "p" + std::to_string(++this->lastPrepared);
        commands.push_back({.kind = CommandKind::Prepare, .name = name, .shape = *unit.prepared});
        connection.prepared.emplace(*unit.prepared, std::move(name));
    }
    if (commands.empty()) {
        co_return Result{.outcome = UnitOutcome::Done};
    }
    connection.values = unit.values;
    const std::size_t expected = commands.size();
    const std::vector<ServerReply> replies = co_await connection.link->exchange(std::move(commands), ControlTimeout);
    for (const ServerReply &reply : replies) {
        if (reply.isError) {
            // The state of the connection is unknown now, so it must not serve any session.
            connection.link->close();
            co_return notRun(reply.error, reply.errorText);
        }
    }
    if (replies.size() < expected) {
        co_return notRun(UnitError::ConnectionLost,
                         "connection lost while session values or prepared statements were set up");
    }
    co_return Result{.outcome = UnitOutcome::Done};
}

net::awaitable<pooling::UnitResult> PooledServer::beginTransaction(Connection &connection, const Unit &unit)
{
    const bool readOnly = unit.kind == UnitKind::OpenReadOnly;
    std::vector<ServerCommand> commands;
    commands.push_back({.kind = readOnly ? CommandKind::BeginReadOnly : CommandKind::Begin,
                        .minimumPosition = readOnly ? unit.minimumPosition : session::LogPosition()});
    const core::BootTime sentAt = core::BootClock::now();
    const std::vector<ServerReply> replies = co_await connection.link->exchange(std::move(commands), ControlTimeout);
    if (replies.empty()) {
        this->loadMeter.fail(core::Clock::now());
        co_return notRun(UnitError::ConnectionLost, "connection lost while the transaction began");
    }
    this->recordAnswer();
    const ServerReply &reply = replies.front();
    if (reply.isError) {
        if (reply.state != ServerState::Idle) {
            connection.link->close();
        }
        Result result = errorResult(reply);
        result.outcome = UnitOutcome::NotRun;
        result.transactionFailed = false;
        co_return result;
    }
    if (!readOnly) {
        this->recordProof(reply.position, sentAt);
    }
    co_return Result{.outcome = UnitOutcome::Done, .position = reply.position};
}

ServerCommand PooledServer::statementCommand(const Connection &connection, const Unit &unit) const
{
    ServerCommand command{.kind = CommandKind::CallerStatement, .id = unit.id, .text = unit.text};
    if (unit.prepared) {
        command.kind = CommandKind::CallerExecute;
        command.name = connection.prepared.at(*unit.prepared);
    }
    if (unit.kind == UnitKind::ReplicaRead) {
        command.minimumPosition = unit.minimumPosition;
    }
    return command;
}

net::awaitable<pooling::UnitResult>
PooledServer::runStatement(Connection &connection, const Unit &unit, bool endWithRollback)
{
    std::vector<ServerCommand> commands;
    commands.push_back(this->statementCommand(connection, unit));
    if (endWithRollback) {
        commands.push_back({.kind = CommandKind::Rollback});
    }
    const core::TimePoint sentAt = core::Clock::now();
    const std::size_t expected = commands.size();
    const routing::LoadMeter::StatementId measured = this->loadMeter.begin(sentAt);
    std::vector<ServerReply> replies = co_await connection.link->exchange(std::move(commands), unit.statementTimeout);
    const bool isFailure
        = replies.size() < expected || (replies.front().isError && replies.front().error == UnitError::Failed);
    this->loadMeter.end(measured, !isFailure, core::Clock::now());
    if (replies.size() < expected) {
        // It is not known which of the answers is missing, so that none of them counts.
        const bool timedOut = core::Clock::now() - sentAt >= unit.statementTimeout;
        const UnitError error = timedOut ? UnitError::NoAnswer : UnitError::ConnectionLost;
        co_return Result{.outcome = isWriteOutcome(unit.kind) ? UnitOutcome::Unknown : UnitOutcome::NotRun,
                         .error = error,
                         .errorText
                         = timedOut ? "no answer within the statement timeout" : "connection lost before the answer"};
    }
    this->recordAnswer();
    ServerReply &reply = replies.front();
    if (reply.isError) {
        if (reply.error == UnitError::UnknownPrepared && unit.prepared) {
            connection.prepared.erase(*unit.prepared);
        }
        co_return errorResult(reply);
    }
    if (reply.signature.empty() || reply.signature == UnsignedAnswer || !isPossibleState(unit, reply.state)) {
        // The answer belongs to another command, and later answers on this connection would be shifted as well.
        connection.link->close();
        co_return Result{.outcome = isWriteOutcome(unit.kind) ? UnitOutcome::Unknown : UnitOutcome::NotRun,
                         .error = UnitError::ConnectionLost,
                         .errorText = "the answer carries no signature or belongs to another statement"};
    }
    co_return Result{.outcome = UnitOutcome::Done,
                     .rows = std::move(reply.rows),
                     .signature = std::move(reply.signature),
                     .position = reply.position,
                     .transactionFailed = reply.state == ServerState::TransactionFailed};
}

net::awaitable<void> PooledServer::rollBack(std::shared_ptr<Connection> connection)
{
    const std::shared_ptr<PooledServer> self = this->shared_from_this();
    bool clean = false;
    // The server rolls back when its connection closes, so nothing is sent once the data centre gets no commands.
    if (connection->link->isOpen() && routing::mayQueryStatus(this->evacuation)) {
        std::vector<ServerCommand> commands;
        commands.push_back({.kind = CommandKind::Rollback});
        const std::vector<ServerReply> replies
            = co_await connection->link->exchange(std::move(commands), ControlTimeout);
        clean = !replies.empty() && replies.front().state == ServerState::Idle;
    }
    this->keepOrDrop(connection, clean);
}

net::awaitable<pooling::UnitResult> PooledServer::queryStatus(Connection &connection, const Unit &unit)
{
    const CommandKind kind = unit.kind == UnitKind::Pause ? CommandKind::Pause
        : unit.kind == UnitKind::Resume                   ? CommandKind::Resume
                                                          : CommandKind::Status;
    std::vector<ServerCommand> commands;
    commands.push_back({.kind = kind, .term = unit.pauseTerm});
    std::vector<ServerReply> replies = co_await connection.link->exchange(std::move(commands), ControlTimeout);
    if (replies.empty()) {
        co_return notRun(UnitError::ConnectionLost, "connection lost while the server status was queried");
    }
    this->recordAnswer();
    if (replies.front().isError) {
        co_return errorResult(replies.front());
    }
    co_return Result{.outcome = UnitOutcome::Done, .rows = std::move(replies.front().rows)};
}

}
