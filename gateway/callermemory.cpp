#include "gateway/callersession.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Memory of a caller's session: what it asks of the budget, and what it does when the budget refuses or closes it.
namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::Statement;
using pooling::StatementKind;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Copies of a message that exist while it is served: its line, its statement, the unit of work and the command.
constexpr std::size_t MessageCopies = 5;
/// Copies of the session values that exist while a statement is served.
constexpr std::size_t ValueCopies = 3;

}

net::awaitable<bool> CallerSession::awaitMemory(std::size_t bytes)
{
    asio::steady_timer granted(this->context->executor, core::TimePoint::max());
    this->memoryGranted = false;
    this->memoryWait = &granted;
    this->context->budget.wait(*this, bytes);
    co_await granted.async_wait(UseTuple);
    this->memoryWait = nullptr;
    co_return this->memoryGranted;
}

void CallerSession::apply(limits::CallerVerdict verdict, limits::CloseReason reason)
{
    this->memoryGranted = verdict == limits::CallerVerdict::Resume;
    if (verdict == limits::CallerVerdict::Refuse) {
        this->noteBudgetRefusal("message");
    }
    if (verdict == limits::CallerVerdict::Close) {
        if (this->context->metrics != nullptr) {
            this->context->metrics->callersClosed(limits::closeReasonName(reason)).add();
        }
        if (this->context->log != nullptr) {
            boost::system::error_code ignored;
            this->context->log->line("caller_closed", telemetry::LogLevel::Warning)
                .field("reason", limits::closeReasonName(reason))
                .field("phase", limits::callerPhaseName(this->phase()))
                .field("held_bytes", this->heldBytes())
                .field("address", this->socket.remote_endpoint(ignored).address().to_string())
                .field("database", this->database)
                .field("in_transaction", this->inTransaction());
        }
        this->close();
    }
    if (this->memoryWait != nullptr) {
        this->memoryWait->cancel();
    }
}

std::size_t CallerSession::servingCost(std::size_t bytes) const
{
    return bytes * MessageCopies + this->keptBytes() * ValueCopies;
}

bool CallerSession::isSingleRead(const Statement &statement) const
{
    if (this->transaction || statement.kind != StatementKind::Execute) {
        return !this->transaction && statement.kind == StatementKind::Read;
    }
    const auto shape = this->prepared.find(statement.name);
    return shape != this->prepared.end() && !shape->second.writes;
}

void CallerSession::chargeRows(CallerReply &reply, bool mayRefuse)
{
    std::size_t bytes = reply.errorText.size();
    for (const std::string &row : reply.rows) {
        bytes += sizeof(row) + row.size();
    }
    // The rows and the text of the answer exist at the same time while it is encoded.
    const std::size_t needed = this->input.held() + 2 * bytes;
    if (this->context->budget.tryHold(*this, needed)) {
        return;
    }
    this->context->budget.notePressure();
    if (mayRefuse) {
        this->noteBudgetRefusal("answer");
        reply = this->errorReply(CallerError::Overloaded);
    }
}

void CallerSession::noteBudgetRefusal(std::string_view what) const
{
    if (this->context->metrics != nullptr) {
        this->context->metrics->callersRefused(what).add();
    }
    if (this->context->log != nullptr) {
        this->context->log->line("caller_refused", telemetry::LogLevel::Warning)
            .field("what", what)
            .field("held_bytes", this->heldBytes())
            .field("all_held_bytes", this->context->budget.heldBytes())
            .field("database", this->database);
    }
}

bool CallerSession::keep(std::size_t bytes, std::size_t replaced)
{
    if (bytes <= replaced) {
        this->context->budget.dropKept(*this, replaced - bytes);
        return true;
    }
    if (!this->context->budget.tryKeep(*this, bytes - replaced)) {
        this->noteBudgetRefusal("value");
        return false;
    }
    return true;
}

}
