#pragma once

#include "net/peersession.h"

#include <atomic>
#include <vector>

namespace endiveshore::net {

struct PeerServerOptions
{
    PeerSessionOptions session;
};

/// HTTP/2 server with prior knowledge for requests of other daemons. Each stream is handled by a separate coroutine on
/// the executor of the acceptor. A malformed message closes only the connection on which the message arrived. A stream
/// beyond the stream limit is refused with REFUSED_STREAM; an oversized request gets a RequestTooLarge response.
class PeerServer : public std::enable_shared_from_this<PeerServer>
{
public:
    using Handler = PeerSession::Handler;

    explicit PeerServer(Handler handler, PeerServerOptions options = {});

    /// Binds @p endpoint and accepts connections on @p executor, which must be served by one thread. With @p reusePort
    /// several acceptors share the port. Throws boost::system::system_error if the address is taken.
    void listen(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort = false);

    /// Closes the acceptors and sends GOAWAY; connections close once their open streams have ended. Safe to call from
    /// any thread.
    void stop();

    /// Number of requests being handled.
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
