#pragma once

#include "core/error.h"
#include "core/time.h"
#include "session/logposition.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// One statement on its way to a backend server, as exchanged between daemons on /peer/statement.
/// It names the workspace, never the caller's key.
struct StatementCall
{
    std::string service;
    std::string database;
    std::string server; ///< Backend server that shall run the statement.
    std::string workspace;
    std::string requestId; ///< Caller's idempotency key; may be empty.
    std::string transaction; ///< Open transaction; empty outside a transaction.
    std::uint64_t term = 0; ///< Term believed current; 0 for reads at any term.
    bool readOnly = false;
    bool staleRead = false; ///< The route accepts data of a stated age.
    session::LogPosition required; ///< The server must have applied this; position 0 means no requirement.
    core::TimePoint deadline;
    int hops = 0; ///< Daemons that passed the call on because another one was the home.
    boost::json::value statement;
};

/// Answer of a backend server together with what routing needs to know about the server.
struct StatementAnswer
{
    boost::json::value result;
    std::string server;
    std::string role;
    session::LogPosition position; ///< Log position that the answer reflects, labelled with the term of its entry.
    bool sessionSafe = true; ///< The position is confirmed by a majority and may enter a session token.
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

/// Error of a peer call in the form of net::errorResponse(); throws core::Error if @p status is not 200.
void throwIfError(int status, const boost::json::object &message);

}
