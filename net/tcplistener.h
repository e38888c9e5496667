#pragma once

#include "net/asyncio.h"

#include <optional>

namespace endiveshore::net {

/// Opens a listening socket on @p endpoint. With @p reusePort several sockets share the port, one per thread. Throws
/// boost::system::system_error if the address is taken.
asio::ip::tcp::acceptor openAcceptor(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort);

/// Accepts the next connection. Returns nullopt once the acceptor is closed. If accepting fails, for example because
/// the process has run out of file descriptors, the call is retried after a short delay.
awaitable<std::optional<asio::ip::tcp::socket>> acceptNext(asio::ip::tcp::acceptor &acceptor);

}
