#pragma once

#include <span>
#include <string_view>

namespace endiveshore::core {

/// What a caller may conclude about its statement.
enum class Outcome {
    Done, ///< The statement ran and its effect is durable.
    NotRun, ///< The statement did not run and will not run.
    Unknown, ///< The statement may have run; retry with the same request id.
};

/// Numbered results shown to callers and operators. The numbers are stable; docs/results.md lists them.
enum class ResultCode {
    Ok = 0,
    // 1xx: the request itself.
    MalformedRequest = 101,
    RequestTooLarge = 102,
    RequestTimeout = 103,
    UnknownPath = 104,
    UnknownService = 105,
    UnknownDatabase = 106,
    UnknownRoute = 107,
    BadStatement = 108,
    InvalidSession = 109,
    SessionAhead = 110,
    UnknownTransaction = 111,
    // 2xx: access and limits.
    KeyMissing = 201,
    KeyRejected = 202,
    WorkspaceMismatch = 203,
    RateExceeded = 204,
    QueueFull = 205,
    DeadlineExceeded = 206,
    // 3xx: backend servers and peers.
    NoPrimary = 301,
    NoServer = 302,
    BackendUnreachable = 303,
    TermChanged = 304,
    ReplicationUnconfirmed = 305,
    AnswerLost = 306,
    NotHome = 307,
    PeerUnreachable = 308,
    TransactionAborted = 309,
    ReplicaBehind = 310,
    // 4xx: state of the daemon.
    NotReady = 401,
    Leaving = 402,
    Isolated = 403,
    // 5xx: operator command and store.
    InvalidSetting = 501,
    InvalidDocument = 502,
    DocumentConflict = 503,
    StoreUnavailable = 504,
    NotFound = 505,
    NotInForce = 506,
    Internal = 599,
};

/// Fixed properties of a result code.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name; ///< Stable identifier, snake case.
    int httpStatus; ///< Status of responses to callers.
    Outcome outcome; ///< Outcome reported to callers.
};

/// All result codes in ascending order.
std::span<const ResultCodeInfo> resultCodes();

/// Properties of @p code; those of Internal if the code is not registered.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// "done", "not_run" or "unknown".
std::string_view outcomeName(Outcome outcome);

/// Inverse of outcomeName(); Unknown for any other text.
Outcome outcomeFromName(std::string_view name);

/// Result code with the number @p number; Internal if it is not registered.
ResultCode resultCodeFromNumber(int number);

}
