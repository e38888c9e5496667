#pragma once

#include "net/peersession.h"

#include <atomic>
#include <vector>

namespace endiveshore::net {

struct PeerServerOptions
{
    PeerSessionOptions session;
};

/// HTTP/2 server with prior knowledge for requests of other daemons. The handler of each stream is a coroutine of its
/// own on the executor of the acceptor. A malformed peer closes only its own connection; a stream beyond the limits is
/// refused with REFUSED_STREAM or answered with RequestTooLarge.
class PeerServer : public std::enable_shared_from_this<PeerServer>
{
public:
    using Handler = PeerSession::Handler;

    explicit PeerServer(Handler handler, PeerServerOptions options = {});

    /// Binds @p endpoint and accepts connections on @p executor, which must be served by one thread. With @p reusePort
    /// several acceptors share the port. Throws boost::system::system_error if the address is taken.
    void listen(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort = false);

    /// Closes the acceptors and sends GOAWAY; connections end after their open streams. Safe to call from any thread.
    void stop();

    /// Requests being handled.
    std::size_t activeRequests() const;

private:
    struct Acceptor;
    awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);

    Handler handler;
    PeerServerOptions options;
    std::vector<std::shared_ptr<Acceptor>> acceptors;
    std::atomic<bool> stopping{false};
    std::shared_ptr<std::atomic<std::size_t>> requests = std::make_shared<std::atomic<std::size_t>>(0);
};

}
