#pragma once

#include "core/resultcode.h"
#include "net/httpclient.h"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Answer to one request as the caller sees it.
struct CallerAnswer
{
    core::Outcome outcome = core::Outcome::Unknown;
    int code = 0; ///< Numbered result code; 0 for success, -1 if no answer arrived.
    std::string message;
    boost::json::value result;
    std::string server;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    bool replayed = false;
};

/// One caller session: carries the session token and keeps a connection to each daemon that it uses.
class CallerClient
{
public:
    CallerClient(net::Executor executor, std::string service, std::string key);

    /// POST /v1/statements to the daemon on the loopback @p port. Never throws: a request that got no answer has the
    /// outcome unknown, one that did not leave has the outcome not run.
    net::awaitable<CallerAnswer> statement(int port, boost::json::object body, core::Duration timeout);

    /// Any caller path with a JSON body.
    net::awaitable<CallerAnswer> post(int port, std::string target, boost::json::object body, core::Duration timeout);

    const std::string &sessionToken() const;

    /// Continues a session, for example one that another client began.
    void setSessionToken(std::string newToken);
    void setKey(std::string newKey);

private:
    net::HttpClientConnection &connectionTo(int port);

    net::Executor executor;
    std::string service;
    std::string key;
    std::string token;
    std::map<int, net::HttpClientConnection> connections;
};

}
