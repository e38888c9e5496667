#pragma once

#include "gateway/callerprotocol.h"
#include "gateway/operationrunner.h"
#include "gateway/rateclient.h"
#include "telemetry/metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace endiveshore::gateway {

/// What the sessions of one traffic thread share.
struct SessionContext
{
    net::Executor executor;
    const CallerProtocol *protocol = nullptr;
    OperationRunner *runner = nullptr;
    RateClient *rates = nullptr;
    std::shared_ptr<const GatewayView> view;
    telemetry::DecisionLog *log = nullptr;
    telemetry::Metrics *metrics = nullptr;
};

/// One long connection of a caller: its session values, prepared statements and transaction. Lives on one traffic
/// thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);

    /// Serves the connection until it ends.
    net::awaitable<void> serve();

    /// True if no statement is being served and no transaction is open.
    bool isIdle() const;

    /// True if a transaction is open.
    bool inTransaction() const;

    /// Closes the connection now if it is idle, else after the statement or transaction in progress.
    void closeWhenIdle();

    /// Rolls back an open transaction at its next statement, or now if it rests, and closes the connection.
    void abortTransaction();

    /// Closes the connection at once.
    void close();

private:
    struct Transaction
    {
        bool readOnly = false;
        bool failed = false;
        bool aborted = false; ///< By a stop of this daemon.
        std::string lease; ///< Empty before the first statement.
        UnitPlace place;
        OperationContext context; ///< The route as it was when the transaction began.
    };

    using Handler = net::awaitable<CallerReply> (CallerSession::*)(pooling::Statement statement);
    static Handler handlerOf(pooling::StatementKind kind);

    net::awaitable<std::optional<std::string>> readLine();
    net::awaitable<bool> write(std::string text);
    net::awaitable<bool> start(const CallerMessage &message);
    net::awaitable<void> awaitConfiguration();
    net::awaitable<CallerReply> answer(pooling::Statement statement);
    net::awaitable<CallerReply> begin(pooling::Statement statement);
    net::awaitable<CallerReply> commit(pooling::Statement statement);
    net::awaitable<CallerReply> commitEmpty(pooling::Statement statement);
    net::awaitable<CallerReply> rollback(pooling::Statement statement);
    net::awaitable<CallerReply> runStatement(pooling::Statement statement);
    net::awaitable<CallerReply> setValue(pooling::Statement statement);
    net::awaitable<CallerReply> prepare(pooling::Statement statement);
    net::awaitable<CallerReply> deallocate(pooling::Statement statement);
    net::awaitable<CallerReply> refuse(pooling::Statement statement);
    net::awaitable<CallerReply> runSingle(pooling::WorkUnit unit, bool writes);
    net::awaitable<CallerReply> runInTransaction(pooling::WorkUnit unit);
    net::awaitable<std::optional<CallerError>> admit(OperationContext &context);
    net::awaitable<void> endTransaction();
    /// Returns the operation's share of the rate if no server has run it.
    void returnUnusedRate(const std::string &workspace, const pooling::UnitResult &result);
    std::optional<CallerError> checkAccess(OperationContext &context) const;
    pooling::WorkUnit transactionUnit(pooling::UnitKind kind, std::string id) const;
    CallerReply reply(const pooling::UnitResult &result, bool writes);
    CallerReply errorReply(CallerError error) const;
    CallerReply proxyReply() const;
    SessionState state() const;
    void logRefusal(const std::string &request, const CallerReply &reply) const;

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<SessionContext> context;
    std::string input;
    std::string database;
    std::string key;
    pooling::SessionValues values;
    std::map<std::string, pooling::PreparedStatement, std::less<>> prepared;
    session::LogPosition position; ///< Of the session's own commits.
    std::optional<Transaction> transaction;
    core::TimePoint receivedAt; ///< Of the statement being served.
    bool started = false;
    bool busy = false;
    bool closing = false;
};

}
