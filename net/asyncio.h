#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

/// Aliases for the Boost.Asio types that appear in public interfaces.
namespace endiveshore::net {

namespace asio = boost::asio;
using asio::awaitable;
using Executor = asio::any_io_executor;
using TcpEndpoint = asio::ip::tcp::endpoint;

/// Parses "ip:port". Throws core::Error(InvalidSetting) for anything else; host names are not resolved.
TcpEndpoint parseEndpoint(std::string_view text);

/// As parseEndpoint(), for addresses from messages; nothing if @p text is not of that form.
std::optional<TcpEndpoint> tryParseEndpoint(std::string_view text);

}
