#pragma once

#include "core/error.h"
#include "core/time.h"
#include "net/httpclient.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::backend {

/// Start of a term in a server's log: entries after position `start` belong to the term.
struct TermStart
{
    std::int64_t term = 0;
    std::int64_t start = 0;

    bool operator==(const TermStart &other) const = default;
};

/// Response to GET /status.
struct ServerStatus
{
    std::string server;
    std::string database;
    bool primary = false;
    std::int64_t term = 0;
    std::int64_t fencedTerm = 0;
    std::int64_t position = 0; ///< Last applied position of the log.
    std::int64_t received = 0; ///< Last received position of the log.
    std::int64_t lagMs = 0;
    std::int64_t slotsInUse = 0;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::int64_t connectionLimit = 0;
    std::vector<TermStart> termStarts;
};

struct StatementCall
{
    std::int64_t term = 0; ///< Expected term of the primary; 0 for reads at any server.
    boost::json::object statement;
    bool readOnly = false;
    std::string requestId;
    std::string workspace;
    std::string transaction;
    std::int64_t minPosition = 0;
    std::int64_t minTerm = 0;
};

struct StatementResult
{
    enum class State {
        Done,
        Behind, ///< Not run: the server has not applied the requested position yet.
        Diverged, ///< Not run: the requested position is not in the server's history.
    };

    State state = State::Done;
    boost::json::value result;
    std::int64_t term = 0;
    std::int64_t position = 0;
    bool replayed = false;
    bool primary = false;
    std::int64_t lagMs = 0;
    std::vector<TermStart> termStarts;
};

struct WaitResult
{
    bool reached = false;
    std::int64_t term = 0;
    std::int64_t received = 0;
};

struct FenceResult
{
    bool granted = false;
    std::int64_t fencedTerm = 0;
    std::string owner;
    std::int64_t lastTerm = 0;
    std::int64_t received = 0;
};

struct PromoteResult
{
    bool promoted = false;
    std::int64_t term = 0;
    std::int64_t position = 0;
};

/// The server refused a call because of its role or term; the call did not run.
class TermChangedError : public core::Error
{
public:
    TermChangedError(std::string reason, std::int64_t term)
        : core::Error(core::ResultCode::TermChanged, "the server refused the call: " + reason)
        , reason(std::move(reason))
        , term(term)
    {
    }

    std::string reason; ///< "wrong_term", "not_primary" or "fenced".
    std::int64_t term; ///< Highest term known to the server.
};

/// Client of one backend server over one connection. Only one call may be pending at a time.
///
/// All calls throw core::Error: BackendUnreachable (not run), AnswerLost (unknown), TermChangedError (not run),
/// QueueFull (not run; the server has no free slot), BadStatement, TransactionAborted (not run; a conflict, or the
/// transaction is not open on this connection). A failed exchange closes the connection.
class ServerClient
{
public:
    explicit ServerClient(const net::Executor &executor);

    net::awaitable<void> connect(net::TcpEndpoint endpoint, core::Duration timeout);
    bool isOpen() const;
    void close();

    net::awaitable<StatementResult> statement(StatementCall call, core::Duration timeout);
    net::awaitable<void>
    begin(std::int64_t term, std::string workspace, std::string transaction, core::Duration timeout);
    net::awaitable<StatementResult> commit(std::string transaction, std::string requestId, core::Duration timeout);
    net::awaitable<void> rollback(std::string transaction, core::Duration timeout);
    net::awaitable<ServerStatus> status(core::Duration timeout);

    /// Makes the server wait for at most @p waitTime until the server has received @p position of @p term.
    net::awaitable<WaitResult>
    wait(std::int64_t term, std::int64_t position, core::Duration waitTime, core::Duration timeout);
    net::awaitable<FenceResult> fence(std::int64_t term, std::string owner, core::Duration timeout);
    net::awaitable<PromoteResult> promote(std::int64_t term, std::string owner, core::Duration timeout);
    net::awaitable<void> follow(std::int64_t term, std::string primaryAddress, core::Duration timeout);

private:
    net::awaitable<boost::json::object> call(net::HttpRequest request, core::Duration timeout);

    net::HttpClientConnection connection;
};

}
