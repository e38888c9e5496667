#pragma once

#include "pooling/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::gateway {

/// First message of a caller session: the database and the API key.
struct SessionStart
{
    std::string database;
    std::string key;
};

enum class CallerMessageKind {
    Start,
    Statement,
    Terminate,
    Malformed,
};

struct CallerMessage
{
    CallerMessageKind kind = CallerMessageKind::Malformed;
    SessionStart start;
    pooling::Statement statement;
};

enum class SessionState {
    Idle,
    InTransaction,
    TransactionFailed,
};

/// Errors returned to callers. Except for TimedOut, InDoubt and StatementFailed, the attempt had no effect on the
/// database.
enum class CallerError {
    UnknownDatabase,
    UnknownKey,
    Malformed,
    Overloaded, ///< No server accepted the statement in time. It did not run.
    OverRate, ///< The workspace has used up its rate.
    Aborted, ///< The transaction was rolled back.
    InDoubt, ///< The statement may have run.
    TimedOut, ///< The statement may have run.
    StatementFailed,
    NoAllowedServer, ///< No server is in a region in which the statement may run. It did not run.
};

/// Answer to one statement.
struct CallerReply
{
    std::optional<CallerError> error;
    std::string errorText; ///< Error as sent by the server, for StatementFailed.
    std::vector<std::string> rows;
    std::string signature; ///< Signature by the server; empty for statements that the proxy answers itself.
    SessionState state = SessionState::Idle;
    session::LogPosition position; ///< Position after the statement; term 0 if unknown.
};

/// Line protocol between callers and the proxy. decode() takes a line without its terminator.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;
    virtual CallerMessage decode(std::string_view line) const = 0;
    virtual std::string encodeStarted() const = 0;
    virtual std::string encodeRefusedStart(CallerError error) const = 0;
    virtual std::string encode(const CallerReply &reply) const = 0;
};

}
