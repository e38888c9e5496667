#pragma once

#include "core/error.h"
#include "gateway/serverlink.h"
#include "session/freshnessproofs.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// In-memory backend server. Records the commands it receives and simulates the failures that a test sets.
struct FakeBackend
{
    struct Seen
    {
        std::size_t connection = 0;
        CommandKind kind = CommandKind::Begin;
        std::string id;
        std::string text;
        pooling::SessionValues values; ///< Session values of the connection when the command arrived.
        bool inTransaction = false;
    };

    bool isPrimary = true;
    session::LogPosition position{.term = 3, .position = 100};
    std::size_t connectionLimit = 100;
    std::chrono::milliseconds work{0};
    std::size_t loseAnswers = 0; ///< Number of caller statements that run but are not answered.
    std::size_t closeAfterAnswers = 0; ///< Number of caller statements after whose answer the connection closes.
    std::size_t unsignedAnswers = 0; ///< Number of caller statements that are answered without a signature.
    std::size_t wrongStates = 0; ///< Number of caller statements whose answer reports an impossible state.
    std::size_t lostRollbacks = 0; ///< Number of rollbacks after whose loss the connection closes.
    std::vector<std::string> rows = {}; ///< Rows of every answer to a caller statement.
    std::string failure = {}; ///< Text of the error that answers every caller statement; empty for none.
    std::size_t refuse = 0; ///< Number of connections that fail as unreachable.
    std::chrono::milliseconds connectTime{0};
    std::size_t open = 0;
    std::size_t mostOpen = 0;
    std::size_t opened = 0;
    std::size_t running = 0;
    std::size_t mostRunning = 0;
    std::vector<Seen> seen;

    std::vector<Seen> statements() const
    {
        std::vector<Seen> found;
        for (const Seen &entry : this->seen) {
            if (entry.kind == CommandKind::CallerStatement || entry.kind == CommandKind::CallerExecute) {
                found.push_back(entry);
            }
        }
        return found;
    }
};

class FakeLink : public ServerLink
{
public:
    FakeLink(net::Executor executor, std::shared_ptr<FakeBackend> backend)
        : executor(std::move(executor))
        , backend(std::move(backend))
    {
    }

    ~FakeLink() override
    {
        this->close();
    }

    net::awaitable<ServerReply> open(LinkTarget, core::Duration) override
    {
        if (this->backend->connectTime > core::Duration::zero()) {
            boost::asio::steady_timer connecting(this->executor, this->backend->connectTime);
            co_await connecting.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        if (this->backend->refuse > 0) {
            --this->backend->refuse;
            throw core::Error(core::ResultCode::BackendUnreachable, "refused");
        }
        if (this->backend->open >= this->backend->connectionLimit) {
            co_return ServerReply{
                .isError = true, .error = pooling::UnitError::ConnectionLimit, .errorText = "TOOMANY"};
        }
        this->connected = true;
        this->number = ++this->backend->opened;
        ++this->backend->open;
        this->backend->mostOpen = std::max(this->backend->mostOpen, this->backend->open);
        co_return ServerReply();
    }

    net::awaitable<std::vector<ServerReply>> exchange(std::vector<ServerCommand> commands,
                                                      core::Duration timeout) override
    {
        std::vector<ServerReply> replies;
        for (const ServerCommand &command : commands) {
            if (!this->connected) {
                break;
            }
            const bool isCaller
                = command.kind == CommandKind::CallerStatement || command.kind == CommandKind::CallerExecute;
            if (isCaller) {
                co_await this->runStatement();
            }
            ServerReply reply = this->answer(command);
            if (command.kind == CommandKind::Rollback && this->backend->lostRollbacks > 0) {
                --this->backend->lostRollbacks;
                this->close();
                break;
            }
            if (isCaller) {
                this->distort(reply);
            }
            if (isCaller && this->backend->loseAnswers > 0) {
                --this->backend->loseAnswers;
                boost::asio::steady_timer silence(this->executor, timeout);
                co_await silence.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
                this->close();
                break;
            }
            replies.push_back(std::move(reply));
            if (isCaller && this->backend->closeAfterAnswers > 0) {
                --this->backend->closeAfterAnswers;
                this->close();
            }
        }
        co_return replies;
    }

    bool isOpen() const override
    {
        return this->connected;
    }

    bool isReusable() const override
    {
        return this->connected;
    }

    void close() override
    {
        if (this->connected) {
            this->connected = false;
            --this->backend->open;
        }
    }

private:
    net::awaitable<void> runStatement()
    {
        ++this->backend->running;
        this->backend->mostRunning = std::max(this->backend->mostRunning, this->backend->running);
        boost::asio::steady_timer work(this->executor, this->backend->work);
        co_await work.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        --this->backend->running;
    }

    /// Changes the answer to a caller's statement as the test asks for.
    void distort(ServerReply &reply)
    {
        if (!this->backend->failure.empty()) {
            reply.isError = true;
            reply.error = pooling::UnitError::Failed;
            reply.errorText = this->backend->failure;
        }
        reply.rows = this->backend->rows;
        if (this->backend->unsignedAnswers > 0) {
            --this->backend->unsignedAnswers;
            reply.signature.clear();
        }
        if (this->backend->wrongStates > 0) {
            --this->backend->wrongStates;
            reply.state = reply.state == ServerState::Idle ? ServerState::InTransaction : ServerState::Idle;
        }
    }

    ServerReply answer(const ServerCommand &command)
    {
        ServerReply reply{.position = this->backend->position};
        this->backend->seen.push_back({.connection = this->number,
                                       .kind = command.kind,
                                       .id = command.id,
                                       .text = command.text,
                                       .values = this->values,
                                       .inTransaction = this->inTransaction});
        const bool writes = command.text.starts_with("WRITE");
        const bool needsPrimary
            = command.kind == CommandKind::Begin || writes || (this->inTransaction && !this->readOnly);
        if (command.kind == CommandKind::Rollback) {
            this->inTransaction = false;
        } else if (needsPrimary && !this->backend->isPrimary) {
            reply.isError = true;
            reply.error = pooling::UnitError::NotPrimary;
            reply.errorText = "READONLY";
        } else if (session::isBefore(this->backend->position, command.minimumPosition)) {
            reply.isError = true;
            reply.error = pooling::UnitError::Behind;
            reply.errorText = "LAGGING";
        } else if (command.kind == CommandKind::Begin || command.kind == CommandKind::BeginReadOnly) {
            this->inTransaction = true;
            this->readOnly = command.kind == CommandKind::BeginReadOnly;
        } else if (command.kind == CommandKind::Reset) {
            this->values.clear();
        } else if (command.kind == CommandKind::SetValue) {
            this->values[command.name] = command.value;
        } else if (command.text == "COMMIT") {
            this->inTransaction = false;
            reply.signature = "signed";
        } else {
            reply.signature = "signed";
        }
        reply.state = !this->inTransaction ? ServerState::Idle
            : reply.isError                ? ServerState::TransactionFailed
                                           : ServerState::InTransaction;
        return reply;
    }

    net::Executor executor;
    std::shared_ptr<FakeBackend> backend;
    std::size_t number = 0;
    bool connected = false;
    bool inTransaction = false;
    bool readOnly = false;
    pooling::SessionValues values;
};

}
