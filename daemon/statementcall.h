#pragma once

#include "core/error.h"
#include "core/time.h"
#include "session/logposition.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// One statement for a backend server, as sent between daemons on /peer/statement. Contains the name of the workspace,
/// never the caller's key.
struct StatementCall
{
    std::string service;
    std::string database;
    std::string server; ///< Key of the backend server that is to run the statement.
    std::string workspace;
    std::string requestId; ///< Idempotency key chosen by the caller; may be empty.
    std::string transaction; ///< Id of the open transaction; empty outside a transaction.
    std::uint64_t term = 0; ///< Current term as known to the sender; 0 for reads that accept any term.
    bool readOnly = false;
    bool staleRead = false; ///< The route accepts data up to a stated age.
    session::LogPosition required; ///< Position that the server must have applied; 0 means no requirement.
    core::TimePoint deadline;
    int hops = 0; ///< Number of daemons that forwarded the call because they were no longer the home.
    boost::json::value statement;
};

/// Answer of a backend server, with the state of the server that routing needs.
struct StatementAnswer
{
    boost::json::value result;
    std::string server;
    std::string role;
    session::LogPosition position; ///< Log position that the answer reflects, with the term of its log entry.
    bool sessionSafe = true; ///< A majority holds the position, so it may enter a session token.
    bool replayed = false;
    std::int64_t lagMilliseconds = 0;
    std::vector<session::TermStart> termStarts;
};

boost::json::object toJson(const StatementCall &call, core::TimePoint now);
StatementCall statementCallFromJson(const boost::json::object &message, core::TimePoint now);
boost::json::object toJson(const StatementAnswer &answer);
StatementAnswer statementAnswerFromJson(const boost::json::object &message);

boost::json::array termStartsToJson(const std::vector<session::TermStart> &termStarts);
std::vector<session::TermStart> termStartsFromJson(const boost::json::array *message);

/// Throws the error of a peer call as core::Error if @p status is not 200. @p message has the form of
/// net::errorResponse().
void throwIfError(int status, const boost::json::object &message);

}
