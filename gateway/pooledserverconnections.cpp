#include "gateway/pooledserver.h"

#include "core/error.h"
#include "gateway/pooledserverdetail.h"

/// Connection handling of PooledServer: taking, opening, keeping and closing connections.
namespace endiveshore::gateway {

using pooling::UnitError;
using pooling::UnitOutcome;

namespace {

/// Opening takes one or two round trips and a handshake of up to 30 ms, which waits in the server's queue.
constexpr std::chrono::milliseconds OpenTimeout{700};
/// After a failure to connect, units that need a new connection fail immediately for this long, instead of each waiting
/// for its own attempt.
constexpr std::chrono::milliseconds UnreachableHold{150};
/// After a refusal because of the server's connection limit, no new connections are opened for this long. A server
/// drops the connections of an unreachable daemon after 3 s, those of a stopped daemon at once.
constexpr std::chrono::milliseconds ConnectionRefusalHold{250};
/// A server that answered within this time counts as running, even if new connections fail.
constexpr std::chrono::milliseconds RecentAnswerAge{400};

}

net::awaitable<pooling::UnitResult>
PooledServer::obtainConnection(std::string workspace, bool transaction, std::shared_ptr<Connection> &out)
{
    const std::optional<pooling::ConnectionChoice> choice = this->connectionTracker.take(workspace, transaction);
    this->dispatch();
    if (!choice) {
        co_return notRun(UnitError::QueueFull, "no connection is free");
    }
    if (choice->evicted) {
        this->idle.erase(*choice->evicted);
    }
    if (choice->kind == pooling::ConnectionChoice::Kind::Reuse) {
        const auto found = this->idle.find(choice->connection);
        std::shared_ptr<Connection> reused = found == this->idle.end() ? nullptr : found->second;
        this->idle.erase(choice->connection);
        if (reused != nullptr && reused->link->isReusable()) {
            out = std::move(reused);
            co_return Result{.outcome = UnitOutcome::Done};
        }
    }
    auto opened = std::make_shared<Connection>();
    opened->id = choice->connection;
    opened->workspace = std::move(workspace);
    const Result result = co_await this->openConnection(*opened);
    if (result.outcome == UnitOutcome::Done) {
        out = std::move(opened);
    }
    co_return result;
}

net::awaitable<pooling::UnitResult> PooledServer::openConnection(Connection &opened)
{
    opened.link = this->options.links(this->options.executor);
    ServerReply reply;
    std::string failure;
    if (core::Clock::now() < this->unreachableUntil) {
        failure = "server was unreachable a moment ago";
    } else {
        LinkTarget target{.endpoint = this->options.server.endpoint,
                          .service = this->options.server.service,
                          .serverId = this->options.server.id,
                          .workspace = opened.workspace};
        try {
            reply = co_await opened.link->open(std::move(target), OpenTimeout);
        } catch (const core::Error &error) {
            failure = error.message;
        }
    }
    if (!failure.empty()) {
        co_return this->openFailed(opened.id, std::move(failure));
    }
    if (reply.isError) {
        this->connectionTracker.remove(opened.id);
        if (reply.error == UnitError::ConnectionLimit) {
            ++this->counts.connectionRefusals;
            this->connectionTracker.blockNewConnections(core::Clock::now() + ConnectionRefusalHold);
        }
        co_return notRun(reply.error == UnitError::Other ? UnitError::Unreachable : reply.error, reply.errorText);
    }
    ++this->counts.opened;
    this->connectionTracker.opened(opened.id);
    this->recordAnswer();
    this->dispatch();
    co_return Result{.outcome = UnitOutcome::Done};
}

pooling::UnitResult PooledServer::openFailed(pooling::ConnectionId connection, std::string failure)
{
    ++this->counts.openFailures;
    this->connectionTracker.remove(connection);
    // An overloaded server drops new connections while it still answers on open ones.
    const core::TimePoint now = core::Clock::now();
    const bool isRunning = this->answeredAt && RecentAnswerAge > now - *this->answeredAt;
    if (isRunning && this->connectionTracker.open() > 0) {
        this->connectionTracker.blockNewConnections(now + ConnectionRefusalHold);
        return notRun(UnitError::ConnectionLimit, std::move(failure));
    }
    this->unreachableUntil = now + UnreachableHold;
    this->coldLimit.recordUnreachable(now);
    return notRun(UnitError::Unreachable, std::move(failure));
}

void PooledServer::keepOrDrop(const std::shared_ptr<Connection> &connection, bool reusable)
{
    const bool keep = reusable && !this->closed && this->connectionTracker.open() <= this->options.allowance.connections
        && connection->link->isOpen();
    if (keep) {
        this->connectionTracker.release(connection->id, core::Clock::now());
        this->idle.emplace(connection->id, connection);
    } else {
        connection->link->close();
        this->connectionTracker.remove(connection->id);
    }
    this->dispatch();
}

}
