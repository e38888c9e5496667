#pragma once

#include "pooling/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::gateway {

/// First message of a session.
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

/// Errors that callers see. For all but TimedOut, InDoubt and StatementFailed nothing of the attempt is kept.
enum class CallerError {
    UnknownDatabase,
    UnknownKey,
    Malformed,
    Overloaded, ///< No server could take the statement in time; it has not run.
    OverRate, ///< The workspace is over its rate.
    Aborted, ///< The transaction was rolled back.
    InDoubt, ///< The statement may have run.
    TimedOut, ///< The statement may have run.
    StatementFailed,
};

/// Answer to one statement.
struct CallerReply
{
    std::optional<CallerError> error;
    std::string errorText; ///< Of StatementFailed: as the server worded it.
    std::vector<std::string> rows;
    std::string signature; ///< Empty for statements that the proxy answers itself.
    SessionState state = SessionState::Idle;
    session::LogPosition position; ///< Term 0: unknown.
};

/// Lines between callers and the proxy. The views passed are lines without their end.
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
