#pragma once

#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <any>
#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

namespace endiveshore::net {

/// Per-connection data of a server. The state lives until the connection closes.
struct HttpConnection
{
    std::uint64_t id = 0;
    TcpEndpoint remote;
    std::any state; ///< Owned by the handler, for example an open transaction.
};

/// Thrown by a handler to close the connection without a response. Stand-ins use this to simulate lost responses.
struct ConnectionAbandoned
{
};

struct HttpServerOptions
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::chrono::milliseconds idleTimeout{60'000}; ///< Limit between requests.
    std::chrono::milliseconds requestTimeout{10'000}; ///< Limit from the first byte of a request to its last.
    std::chrono::milliseconds writeTimeout{10'000}; ///< Limit for sending one response.
    /// Open connections of all acceptors. Beyond it, a new connection replaces the one that has waited longest for a
    /// request, or is closed.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    /// Bytes of the requests and responses in progress on all connections. Requests beyond it are refused.
    std::size_t maxHeldBytes = std::numeric_limits<std::size_t>::max();
};

/// HTTP/1.1 server with keep-alive. Malformed, oversized, slow or truncated requests get an error response with a
/// result code and close at most their own connection. All handlers of a connection run on the executor that was passed
/// to listen().
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest request, HttpConnection &connection)>;
    using CloseHandler = std::function<void(HttpConnection &connection)>;

    explicit HttpServer(Handler handler, HttpServerOptions options = {}, CloseHandler onClose = {});

    /// Binds @p endpoint and accepts connections on @p executor until stop(). With @p reusePort several acceptors
    /// share the port, one per traffic thread. Throws boost::system::system_error if the address is taken.
    void listen(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort = false);

    /// Closes the acceptors; connections end after the request in progress (responses carry "Connection: close").
    /// Safe to call from any thread.
    void stop();

    /// Number of open connections.
    std::size_t connectionCount() const;

    /// Number of requests being handled.
    std::size_t activeRequests() const;

    /// Bytes of the requests and responses in progress.
    std::size_t bytesHeld() const;

private:
    struct Acceptor;
    awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);
    awaitable<void> serveConnection(std::shared_ptr<Acceptor> acceptor, asio::ip::tcp::socket socket);
    /// Makes room for one more connection. Returns false if all connections are at work.
    bool admit(Acceptor &acceptor);

    Handler handler;
    HttpServerOptions options;
    CloseHandler onClose;
    std::vector<std::shared_ptr<Acceptor>> acceptors;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> requests{0};
    std::atomic<std::size_t> heldBytes{0};
    std::atomic<std::uint64_t> nextConnectionId{1};
};

}
