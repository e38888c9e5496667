#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "standins/databaseledger.h"
#include "standins/databasestate.h"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace endiveshore::standins {

struct DatabaseServerOptions
{
    std::string id;
    std::string database;
    net::TcpEndpoint listen;
    std::map<std::string, std::string> peers; ///< Other servers of the group: id to "ip:port".
    std::string primary; ///< Id of the primary of term 1.
    std::int64_t slots = 5; ///< Maximum number of concurrent statements; further statements get status 429.
    std::int64_t connectionLimit = 30; ///< Maximum number of open connections that count against the limit.
    std::int64_t connectMs = 10; ///< Delay of the first request on a connection that counts against the limit.
    std::int64_t statementMs = 2; ///< Duration of a statement.
    std::int64_t replicationDelayMs = 0; ///< Delay before entries of the primary count as received.
    std::int64_t applyDelayMs = 0; ///< Delay before received entries are applied.
    std::string journalFile; ///< Preserves log and terms across a restart; if empty, a restart loses them.
};

/// HTTP server for a DatabaseState: stands in for one backend server of a database group. All work runs on one thread.
///
/// A connection counts against the limit from its first request on, unless that request is a log pull of a group peer
/// or a call of the test harness (/control, /ledger). Requests on a connection above the limit get status 503.
class DatabaseServer
{
public:
    DatabaseServer(net::asio::io_context &context, DatabaseServerOptions options);
    ~DatabaseServer();

    /// Binds the listening address and starts to pull the log. Throws boost::system::system_error, or
    /// core::Error for an unusable journal.
    void start();

private:
    struct Connection;
    struct PathHandler;
    using Request = boost::json::object;
    using Answer = net::awaitable<net::HttpResponse>;

    Answer handle(net::HttpRequest request, net::HttpConnection &connection);
    void connectionClosed(net::HttpConnection &connection);
    bool admit(Connection &connection, std::string_view path);

    Answer statement(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer begin(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer commit(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer rollback(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer status(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer wait(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer fence(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer promote(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer follow(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer log(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer control(const Request &request, const net::HttpHeaders &headers, Connection &connection);
    Answer ledger(const Request &request, const net::HttpHeaders &headers, Connection &connection);

    void openJournal();
    net::HttpResponse refuse(const StatementAnswer &answer) const;
    net::HttpResponse refuse(Refusal refusal) const;
    net::HttpResponse statementAnswer(const StatementAnswer &answer) const;
    net::awaitable<void> sleep(std::int64_t milliseconds);
    net::awaitable<void> waitForChange(std::int64_t deadlineMs);
    void notifyChange();
    void restartPull();
    net::awaitable<void> pullLog();
    net::awaitable<void> receiveBatch(LogBatch batch, std::uint64_t generation, std::int64_t delayMs);
    net::awaitable<void> applyAfterDelay(std::int64_t position, std::int64_t delayMs);

    net::asio::io_context &context;
    DatabaseServerOptions options;
    DatabaseState state;
    DatabaseLedger requestLedger;
    std::ofstream journal;
    std::shared_ptr<net::HttpServer> server;
    std::list<net::asio::steady_timer *> waiters;
    net::HttpClientConnection pullConnection;
    int slotsInUse = 0;
    int connections = 0;
    std::uint64_t pullGeneration = 0; ///< Rises when the primary or pull position changes; older batches are dropped.
};

}
