#pragma once

#include "core/resultcode.h"
#include "net/httpclient.h"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Response to one request, as the caller sees it.
struct CallerAnswer
{
    core::Outcome outcome = core::Outcome::Unknown;
    int code = 0; ///< Result code; 0 for success, -1 if no response arrived.
    std::string message;
    boost::json::value result;
    std::string server;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    bool replayed = false;
};

/// Client of one caller session. Sends the session token with each request, takes over the token of each response, and
/// keeps one connection to each daemon that the session has used.
class CallerClient
{
public:
    CallerClient(net::Executor executor, std::string service, std::string key);

    /// Sends POST /v1/statements to the daemon at @p port. Never throws core::Error: the outcome is Unknown if the
    /// request was sent and no response arrived, and NotRun if the request was not sent.
    net::awaitable<CallerAnswer> statement(int port, boost::json::object body, core::Duration timeout);

    /// Like statement(), with any path of the caller interface as @p target.
    net::awaitable<CallerAnswer> post(int port, std::string target, boost::json::object body, core::Duration timeout);

    const std::string &sessionToken() const;

    /// Replaces the session token, for example to continue a session of another client.
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
