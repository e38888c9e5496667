#pragma once

#include "net/asyncio.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::tests {

/// What a caller got for one request.
struct LineAnswer
{
    std::vector<std::string> rows;
    std::string signature; ///< Empty without success.
    std::string code; ///< Of the refusal; "CLOSED" if the connection ended or the limit passed.
    std::string state;

    bool succeeded() const
    {
        return this->code.empty();
    }
};

/// A blocking caller session over the line protocol. Every call returns within its limit.
class LineCaller
{
public:
    static constexpr std::chrono::milliseconds AnswerLimit{5'000};

    explicit LineCaller(const net::TcpEndpoint &endpoint);

    LineAnswer start(std::string_view database, std::string_view key);
    LineAnswer query(std::string_view request, std::string_view text);

    /// True if the other side closes the connection within @p limit.
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
