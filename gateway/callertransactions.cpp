#include "gateway/callersession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// Transactions of a caller's session.
namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::Statement;
using pooling::StatementKind;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;
using pooling::UnitResult;
using pooling::WorkUnit;

namespace {

/// Timeout for rolling back a transaction; after it the server connection is closed.
constexpr std::chrono::milliseconds RollbackTimeout{500};

}

net::awaitable<CallerReply> CallerSession::begin(Statement statement)
{
    if (this->transaction) {
        co_return this->errorReply(CallerError::Malformed);
    }
    Transaction opened{.readOnly = statement.kind == StatementKind::BeginReadOnly};
    const std::optional<CallerError> refused = co_await this->admit(opened.context);
    if (refused) {
        co_return this->errorReply(*refused);
    }
    this->transaction = std::move(opened);
    co_return this->proxyReply();
}

WorkUnit CallerSession::transactionUnit(UnitKind kind, std::string id) const
{
    const Transaction &open = *this->transaction;
    const core::Milliseconds timeout = open.context.route.statementTimeout;
    return {.kind = kind,
            .server = open.place.server,
            .workspace = open.context.workspace,
            .id = std::move(id),
            .values = this->values,
            .lease = open.lease,
            .urgency = urgencyOf(open.context.route),
            .rank = this->context->view->rankOf(open.context.route),
            .queueTimeout = timeout,
            .statementTimeout = timeout,
            .transactionIdleTimeout = open.context.transactionIdleTimeout};
}

net::awaitable<CallerReply> CallerSession::runInTransaction(WorkUnit unit)
{
    Transaction &open = *this->transaction;
    StatementOutcome outcome;
    if (open.aborted) {
        open.failed = true;
        co_return this->errorReply(CallerError::Aborted);
    }
    if (open.lease.empty()) {
        OperationContext operation = open.context;
        operation.values = &this->values;
        operation.sessionPosition = this->position;
        operation.startedAt = this->receivedAt;
        unit.kind = UnitKind::OpenTransaction;
        outcome = co_await this->context->runner->run(std::move(operation), std::move(unit), open.readOnly);
        open.lease = outcome.result.lease;
        open.place = outcome.place;
        this->returnUnusedRate(open.context.workspace, outcome);
    } else {
        WorkUnit next = this->transactionUnit(UnitKind::InTransaction, std::move(unit.id));
        next.text = std::move(unit.text);
        next.prepared = std::move(unit.prepared);
        UnitPlace place = open.place;
        outcome = co_await this->context->runner->continueTransaction(std::move(place), std::move(next));
    }
    const UnitResult &result = outcome.result;
    open.failed = result.outcome != UnitOutcome::Done || result.transactionFailed;
    if (result.transactionFailed) {
        open.lease.clear();
    }
    if (result.outcome == UnitOutcome::NotRun || result.outcome == UnitOutcome::Unknown) {
        const bool neverStarted = open.lease.empty() && !result.transactionFailed;
        const bool overloaded
            = neverStarted && (result.error == UnitError::QueueFull || result.error == UnitError::Evacuated);
        if (result.error == UnitError::NoAllowedServer) {
            co_return this->errorReply(CallerError::NoAllowedServer);
        }
        co_return this->errorReply(overloaded ? CallerError::Overloaded : CallerError::Aborted);
    }
    co_return this->reply(result, true);
}

net::awaitable<CallerReply> CallerSession::commit(Statement statement)
{
    if (!this->transaction) {
        co_return this->errorReply(CallerError::Malformed);
    }
    if (this->transaction->failed || this->transaction->aborted) {
        this->endTransaction();
        co_return this->errorReply(CallerError::Aborted);
    }
    if (this->transaction->lease.empty()) {
        // A commit must return a server's signature, so a transaction without statements is opened and committed on a
        // server.
        co_return co_await this->commitEmpty(std::move(statement));
    }
    WorkUnit unit = this->transactionUnit(UnitKind::Commit, std::move(statement.id));
    unit.text = std::move(statement.text);
    UnitPlace place = this->transaction->place;
    this->transaction->lease.clear();
    const StatementOutcome outcome
        = co_await this->context->runner->continueTransaction(std::move(place), std::move(unit));
    this->transaction.reset();
    const UnitResult &result = outcome.result;
    if (result.outcome == UnitOutcome::Done) {
        this->position = session::laterOf(this->position, result.position);
    }
    if (result.outcome == UnitOutcome::NotRun) {
        co_return this->errorReply(CallerError::Aborted);
    }
    co_return this->reply(result, true);
}

net::awaitable<CallerReply> CallerSession::commitEmpty(Statement statement)
{
    Transaction &open = *this->transaction;
    OperationContext operation = open.context;
    operation.values = &this->values;
    operation.sessionPosition = this->position;
    operation.startedAt = this->receivedAt;
    WorkUnit unit{.kind = UnitKind::OpenTransaction,
                  .id = std::move(statement.id),
                  .text = std::move(statement.text),
                  .endsTransaction = true};
    const StatementOutcome outcome
        = co_await this->context->runner->run(std::move(operation), std::move(unit), open.readOnly);
    this->transaction.reset();
    if (outcome.result.outcome == UnitOutcome::NotRun) {
        // The server may have committed without its answer reaching the caller.
        const CallerError lost
            = outcome.result.error == UnitError::NoAnswer ? CallerError::TimedOut : CallerError::InDoubt;
        co_return this->errorReply(outcome.mayHaveRun ? lost : CallerError::Aborted);
    }
    co_return this->reply(outcome.result, true);
}

net::awaitable<CallerReply> CallerSession::rollback(Statement)
{
    this->endTransaction();
    co_return this->proxyReply();
}

CallerReply CallerSession::deny(CallerError error, StatementKind statement)
{
    if (statement == StatementKind::Commit) {
        this->endTransaction();
    } else if (this->transaction) {
        this->rollBackOnServer();
        this->transaction->failed = true;
    }
    return this->errorReply(error);
}

void CallerSession::endTransaction()
{
    this->rollBackOnServer();
    this->transaction.reset();
}

void CallerSession::rollBackOnServer()
{
    if (!this->transaction || this->transaction->lease.empty()) {
        return;
    }
    WorkUnit unit = this->transactionUnit(UnitKind::Rollback, {});
    unit.queueTimeout = RollbackTimeout;
    unit.statementTimeout = RollbackTimeout;
    this->transaction->lease.clear();
    // The caller does not wait for the rollback: the home closes the server connection if the rollback takes too long.
    auto finish = [context = this->context, place = this->transaction->place, unit = std::move(unit)]() mutable
        -> net::awaitable<void> { co_await context->runner->continueTransaction(std::move(place), std::move(unit)); };
    asio::co_spawn(this->context->executor, std::move(finish), asio::detached);
}

}
