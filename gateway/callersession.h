#pragma once

#include "gateway/callerprotocol.h"
#include "gateway/operationrunner.h"
#include "gateway/rateclient.h"
#include "limits/callerbudget.h"
#include "net/linedecoder.h"
#include "telemetry/metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace endiveshore::gateway {

/// Objects shared by the sessions of one traffic thread.
struct SessionContext
{
    net::Executor executor;
    const CallerProtocol *protocol = nullptr;
    OperationRunner *runner = nullptr;
    RateClient *rates = nullptr;
    std::shared_ptr<const GatewayView> view;
    telemetry::DecisionLog *log = nullptr;
    telemetry::Metrics *metrics = nullptr;
    limits::CallerBudget budget{limits::callerLimits(0, 0), std::make_shared<limits::CallerTotals>()};
};

/// One long-lived connection of a caller with its session values, prepared statements and transaction. Runs on one
/// traffic thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>, public limits::CallerAccount
{
public:
    CallerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);
    ~CallerSession() override;
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Serves statements until the connection closes.
    net::awaitable<void> serve();

    /// True if no statement is being served and no transaction is open.
    bool isIdle() const;

    bool inTransaction() const;

    /// Closes the connection now if it is idle, otherwise after the current statement or transaction.
    void closeWhenIdle();

    /// Marks an open transaction as aborted, so that its next statement fails, and closes the connection: at once if no
    /// statement is running, otherwise after the transaction has ended.
    void abortTransaction();

    /// Closes the connection at once.
    void close();

    void apply(limits::CallerVerdict verdict, limits::CloseReason reason) override;

private:
    struct Transaction
    {
        bool readOnly = false;
        bool failed = false;
        bool aborted = false; ///< Aborted because this daemon is stopping.
        std::string lease; ///< Lease id at the home; empty before the first statement.
        UnitPlace place;
        OperationContext context; ///< Route and workspace from the time when the transaction began.
    };

    using Handler = net::awaitable<CallerReply> (CallerSession::*)(pooling::Statement statement);
    static Handler handlerOf(pooling::StatementKind kind);

    /// Message of the caller, or what takes its place.
    struct Received
    {
        std::string line;
        bool refused = false; ///< The memory for the message is used up; it was dropped.
    };

    /// Returns nothing once the connection has ended.
    net::awaitable<std::optional<Received>> readLine();
    /// Waits until the session may hold @p bytes for messages and answers. Returns false if it may not in time or is
    /// closed.
    net::awaitable<bool> awaitMemory(std::size_t bytes);
    /// Bytes that the session takes while it serves a message of @p bytes.
    std::size_t servingCost(std::size_t bytes) const;
    /// Charges the session for the rows of @p reply. A read whose rows do not fit in the memory is refused instead, if
    /// @p mayRefuse.
    void chargeRows(CallerReply &reply, bool mayRefuse);
    /// True if @p statement reads outside a transaction, so that nothing is kept if it fails.
    bool isSingleRead(const pooling::Statement &statement) const;
    net::awaitable<bool> write(std::string text);
    /// Answers a message that exceeds the limit, and reads on for a while so that the caller gets the answer before its
    /// connection is reset.
    net::awaitable<void> refuseLongMessage();
    net::awaitable<bool> start(const CallerMessage &message, bool isRefused);
    net::awaitable<void> awaitConfiguration();
    net::awaitable<CallerReply> answer(pooling::Statement statement);
    net::awaitable<CallerReply> begin(pooling::Statement statement);
    net::awaitable<CallerReply> commit(pooling::Statement statement);
    /// Commits a transaction without statements.
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
    /// Refuses a statement with @p error. An open transaction fails, or ends if @p statement was to commit it.
    CallerReply deny(CallerError error, pooling::StatementKind statement);
    /// Rolls back the open transaction on its server, if it has reached one, without waiting for the server.
    void rollBackOnServer();
    void endTransaction();
    /// Gives an admitted operation back to the rate of @p workspace if no server ran the operation.
    void returnUnusedRate(const std::string &workspace, const StatementOutcome &outcome);
    std::optional<CallerError> checkAccess(OperationContext &context) const;
    /// Error with which the configuration in force refuses further work of the session. A transaction keeps the route
    /// with which it began, but not the key: a key that was withdrawn, or now belongs to another workspace, ends it.
    std::optional<CallerError> accessError() const;
    /// Workspace of the session's key, or that of callers without a known key if @p route is open to them.
    std::optional<std::string_view> workspaceOn(const Route &route) const;
    pooling::WorkUnit transactionUnit(pooling::UnitKind kind, std::string id) const;
    CallerReply reply(pooling::UnitResult result, bool writes);
    CallerReply errorReply(CallerError error) const;
    /// Reply to a statement that the proxy answers without a server.
    CallerReply proxyReply() const;
    SessionState state() const;
    /// Charges the session for a session value or prepared statement of @p bytes in place of one of @p replaced bytes.
    /// Returns false if the memory is used up.
    bool keep(std::size_t bytes, std::size_t replaced);
    /// Logs and counts what the budget refused, @p what being "message", "answer" or "value".
    void noteBudgetRefusal(std::string_view what) const;
    void logRefusal(const std::string &request, const CallerReply &reply) const;

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<SessionContext> context;
    net::LineDecoder input;
    std::string database;
    std::string key;
    pooling::SessionValues values;
    std::map<std::string, pooling::PreparedStatement, std::less<>> prepared;
    session::LogPosition position; ///< Latest position of the session's own commits.
    std::optional<Transaction> transaction;
    boost::asio::steady_timer *memoryWait = nullptr; ///< Pending wait for memory.
    bool memoryGranted = false; ///< Result of the last wait for memory.
    core::TimePoint receivedAt; ///< When the current statement was received.
    bool started = false;
    bool busy = false;
    bool closing = false;
};

}
