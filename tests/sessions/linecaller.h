#pragma once

#include "net/asyncio.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::tests {

/// Answer to one request.
struct LineAnswer
{
    std::vector<std::string> rows;
    std::string signature; ///< Signature by the server; empty if the request failed.
    std::string code; ///< Error code; "CLOSED" if the connection closed or the timeout passed. Empty on success.
    std::string state;

    bool succeeded() const
    {
        return this->code.empty();
    }
};

/// Blocking client of the line protocol. Every call returns within its timeout.
class LineCaller
{
public:
    static constexpr std::chrono::milliseconds AnswerLimit{5'000};

    explicit LineCaller(const net::TcpEndpoint &endpoint);

    LineAnswer start(std::string_view database, std::string_view key);
    LineAnswer query(std::string_view request, std::string_view text);

    bool isOpen() const;

    /// Returns true if the daemon closes the connection within @p limit.
    bool closesWithin(std::chrono::milliseconds limit);

private:
    LineAnswer exchange(const std::string &line);
    bool readLine(std::string &line, std::chrono::milliseconds limit);

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    std::string input;
    bool open = false;
};

}
