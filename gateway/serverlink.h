#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "pooling/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// Commands to a backend server, in the order in which a connection sends them.
enum class CommandKind {
    Begin,
    BeginReadOnly,
    Rollback,
    Reset, ///< Drops session values and prepared statements.
    SetValue,
    Prepare,
    Status,
    Pause, ///< Stops a replica from receiving.
    Resume,
    CallerStatement, ///< Text of a caller, unchanged.
    CallerExecute, ///< Execution of a prepared statement under the name that it has on the connection.
};

struct ServerCommand
{
    CommandKind kind = CommandKind::CallerStatement;
    std::string id = {}; ///< Of the caller's statement; empty for commands of the proxy.
    std::string text = {}; ///< Of the caller's statement.
    std::string name = {}; ///< Of the session value or prepared statement.
    std::string value = {};
    pooling::PreparedStatement shape = {};
    session::LogPosition minimumPosition = {}; ///< Term 0: none. For reads and the start of transactions.
    std::uint64_t term = 0; ///< Of a pause.
};

enum class ServerState {
    Idle,
    InTransaction,
    TransactionFailed,
};

/// Answer to one command.
struct ServerReply
{
    bool isError = false;
    pooling::UnitError error = pooling::UnitError::None;
    std::string errorText; ///< Code and text as sent.
    std::vector<std::string> rows;
    std::string signature;
    ServerState state = ServerState::Idle;
    session::LogPosition position;
};

/// What a server says of itself.
struct ServerStatus
{
    bool isPrimary = false;
    std::uint64_t term = 0;
    session::LogPosition received;
    core::Milliseconds lag{};
};

struct LinkTarget
{
    net::TcpEndpoint endpoint;
    std::string service;
    std::string serverId;
    std::string workspace;
};

/// One connection to a backend server. Not thread-safe; one exchange at a time. After an error the link is closed.
class ServerLink
{
public:
    virtual ~ServerLink() = default;

    /// Connects and announces the workspace. The reply has no rows; an error reply leaves the link closed. Throws
    /// core::Error(BackendUnreachable) if no answer comes within @p timeout.
    virtual net::awaitable<ServerReply> open(LinkTarget target, core::Duration timeout) = 0;

    /// Sends @p commands in one write and returns their replies in order. Stops early, with fewer replies, if the
    /// connection ends or @p timeout passes; the link is closed then.
    virtual net::awaitable<std::vector<ServerReply>> exchange(std::vector<ServerCommand> commands,
                                                              core::Duration timeout)
        = 0;

    virtual bool isOpen() const = 0;
    virtual void close() = 0;
};

using ServerLinkFactory = std::function<std::unique_ptr<ServerLink>(const net::Executor &executor)>;

/// Reads the answer to CommandKind::Status; nothing if it has another form.
using StatusReader = std::function<std::optional<ServerStatus>(const ServerReply &reply)>;

}
