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

/// Commands to a backend server.
enum class CommandKind {
    Begin,
    BeginReadOnly,
    Rollback,
    Reset, ///< Drops session values and prepared statements.
    SetValue,
    Prepare,
    Status,
    Pause, ///< Stops replication on a replica.
    Resume,
    CallerStatement, ///< Statement of a caller, sent unchanged.
    CallerExecute, ///< Execution of a prepared statement under its name on the connection.
};

struct ServerCommand
{
    CommandKind kind = CommandKind::CallerStatement;
    std::string id = {}; ///< Request id of the caller's statement; empty for commands of the proxy.
    std::string text = {}; ///< Text of the caller's statement.
    std::string name = {}; ///< Name of the session value or prepared statement.
    std::string value = {};
    pooling::PreparedStatement shape = {};
    /// Position the server must have received, for reads and BeginReadOnly; term 0 for none.
    session::LogPosition minimumPosition = {};
    std::uint64_t term = 0; ///< Term of a pause; above the terms of all servers.
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
    std::string errorText; ///< Error code and text as sent by the server.
    std::vector<std::string> rows;
    std::string signature;
    ServerState state = ServerState::Idle;
    session::LogPosition position;
};

/// Role and position reported by a server.
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

/// One connection to a backend server. Not thread-safe; allows one exchange at a time and is closed by errors of the
/// connection.
class ServerLink
{
public:
    virtual ~ServerLink() = default;

    /// Connects and announces the workspace. The reply has no rows. After an error reply the link is closed. Throws
    /// core::Error(BackendUnreachable) if the server does not answer within @p timeout.
    virtual net::awaitable<ServerReply> open(LinkTarget target, core::Duration timeout) = 0;

    /// Sends @p commands in one write and returns their replies in order. If the connection ends or @p timeout passes,
    /// returns the replies received until then and closes the link.
    virtual net::awaitable<std::vector<ServerReply>> exchange(std::vector<ServerCommand> commands,
                                                              core::Duration timeout)
        = 0;

    virtual bool isOpen() const = 0;

    /// True if the link is open and no byte has arrived that no command has asked for. Such bytes would be taken for
    /// the answer to the next command.
    virtual bool isReusable() const = 0;
    virtual void close() = 0;
};

using ServerLinkFactory = std::function<std::unique_ptr<ServerLink>(const net::Executor &executor)>;

/// Parses the reply to CommandKind::Status; nothing if it is malformed.
using StatusReader = std::function<std::optional<ServerStatus>(const ServerReply &reply)>;

}
