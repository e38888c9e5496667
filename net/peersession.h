#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct nghttp2_session;

namespace endiveshore::net {

struct PeerSessionOptions
{
    std::size_t maxHeaderBytes = 16 * 1024; ///< Limit for the header names and values of one message.
    std::size_t maxBodyBytes = 8 * 1024 * 1024; ///< Limit for the body of a received message.
    std::uint32_t maxStreams = 1024; ///< Maximum number of streams that the peer may have open.
    core::Duration pingAfter = std::chrono::seconds(1); ///< Time without data before a ping, with open streams.
    core::Duration pingTimeout = std::chrono::seconds(1); ///< Maximum time without received data after a ping.
    core::Duration idlePingAfter = std::chrono::seconds(30); ///< Same as pingAfter, without open streams.
};

/// Client or server end of one HTTP/2 connection between daemons. All functions must be called on the thread of the
/// socket's executor.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest request)>;

    enum class Role {
        Client,
        Server,
    };

    /// @p handler handles the requests that a server receives; a client passes an empty handler.
    PeerSession(asio::ip::tcp::socket socket, Role role, PeerSessionOptions options, Handler handler);
    ~PeerSession();

    /// Starts the read, write and keep-alive loops, which run until the connection closes.
    void start();

    /// Client only: sends @p request on a new stream and returns the response. After @p timeout the stream is reset.
    /// Throws core::Error: PeerUnreachable with outcome not run if the end of the request was never handed to the
    /// socket or the peer refused the stream; AnswerLost with outcome unknown otherwise.
    awaitable<HttpResponse> exchange(HttpRequest request, core::Duration timeout);

    /// True if a new stream can be opened.
    bool acceptsRequests() const;

    /// Sends GOAWAY to announce that no new streams are accepted; closes the connection once the open streams have
    /// ended.
    void shutDown();

    /// Closes the connection at once and fails its streams.
    void close(std::string reason);

    /// Number of requests being handled.
    std::size_t activeRequests() const;

private:
    struct Stream;
    struct Callbacks;

    awaitable<void> readLoop();
    awaitable<void> writeLoop();
    awaitable<void> keepAliveLoop();
    awaitable<void> finishShutDown();
    awaitable<void> handle(std::int32_t streamId, HttpRequest request);
    void receiveEndOfMessage(std::int32_t streamId, Stream &stream);
    void respond(std::int32_t streamId, HttpResponse response);
    void refuseOversized(std::int32_t streamId, Stream &stream);
    void reset(std::int32_t streamId, std::uint32_t errorCode);
    void ping();
    bool isActive() const;
    std::string fillOutput();
    Stream *findStream(std::int32_t streamId);

    asio::ip::tcp::socket socket;
    Role role;
    PeerSessionOptions options;
    Handler handler;
    nghttp2_session *session = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<Stream>> streams;
    asio::steady_timer writeSignal;
    asio::steady_timer keepAliveSignal;
    std::string authority;
    std::string closeReason;
    core::TimePoint lastReceived;
    core::TimePoint pingSent; ///< Epoch if no ping is outstanding.
    std::size_t requests = 0;
    bool closed = false;
    bool draining = false;
};

/// Sets the options of sockets between daemons: TCP_NODELAY and a limit on how long sent data may stay unacknowledged.
void configurePeerSocket(asio::ip::tcp::socket &socket);

}
