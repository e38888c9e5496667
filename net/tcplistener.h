#pragma once

#include "net/asyncio.h"

#include <optional>

namespace endiveshore::net {

/// Listening socket on @p endpoint. With @p reusePort several sockets share the port, one per thread. Throws
/// boost::system::system_error if the address is taken.
asio::ip::tcp::acceptor openAcceptor(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort);

/// Next connection; nothing once the acceptor is closed. Pauses and goes on if the process runs out of descriptors.
awaitable<std::optional<asio::ip::tcp::socket>> acceptNext(asio::ip::tcp::acceptor &acceptor);

}
