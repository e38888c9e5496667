#include "net/tcplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/socket.h>

namespace endiveshore::net {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

}

asio::ip::tcp::acceptor openAcceptor(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort)
{
    asio::ip::tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (reusePort) {
        using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(ReusePort(true));
    }
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

awaitable<std::optional<asio::ip::tcp::socket>> acceptNext(asio::ip::tcp::acceptor &acceptor)
{
    while (acceptor.is_open()) {
        auto [acceptError, socket] = co_await acceptor.async_accept(UseTuple);
        if (!acceptError) {
            co_return std::move(socket);
        }
        if (!acceptor.is_open()) {
            break;
        }
        // Running out of file descriptors must not end the accept loop.
        asio::steady_timer pause(acceptor.get_executor(), AcceptRetryDelay);
        co_await pause.async_wait(UseTuple);
    }
    co_return std::nullopt;
}

}
