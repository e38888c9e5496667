#include "net/httpserver.h"

#include "core/error.h"
#include "net/tcplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cerrno>
#include <list>

#include <sys/socket.h>

namespace endiveshore::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t FirstReadBytes = 4096;
/// Copies of a request's body that exist while it is handled: as received, and in the request of the handler.
constexpr std::size_t BodyCopies = 2;
constexpr std::string_view OutOfMemory = "the server holds too many requests";

/// Part of a sum of bytes, given back at the end.
class HeldPart
{
public:
    explicit HeldPart(std::atomic<std::size_t> &sum)
        : sum(sum)
    {
    }

    HeldPart(const HeldPart &) = delete;
    HeldPart &operator=(const HeldPart &) = delete;

    ~HeldPart()
    {
        this->sum -= this->bytes;
    }

    /// Adds @p count bytes. Returns false, and adds nothing, if the sum would exceed @p limit.
    bool tryTake(std::size_t count, std::size_t limit)
    {
        if (this->sum.fetch_add(count) + count > limit) {
            this->sum -= count;
            return false;
        }
        this->bytes += count;
        return true;
    }

    /// Adds @p count bytes, whatever the sum.
    void take(std::size_t count)
    {
        this->sum += count;
        this->bytes += count;
    }

private:
    std::atomic<std::size_t> &sum;
    std::size_t bytes = 0;
};

/// Bytes that the body of the request whose header @p parser has read takes at most.
std::size_t expectedBody(const http::request_parser<http::string_body> &parser, std::size_t limit)
{
    if (parser.content_length()) {
        return std::min<std::uint64_t>(*parser.content_length(), limit);
    }
    return parser.chunked() ? limit : 0;
}

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse &&response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), version);
    for (const auto &[name, value] : response.headers) {
        message.set(name, value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

core::ResultCode resultCodeForReadError(const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return core::ResultCode::RequestTimeout;
    }
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow) {
        return core::ResultCode::RequestTooLarge;
    }
    return core::ResultCode::MalformedRequest;
}

class ChunkWriter final : public HttpStreamWriter
{
public:
    ChunkWriter(beast::tcp_stream &stream, std::chrono::milliseconds writeTimeout)
        : stream(stream)
        , writeTimeout(writeTimeout)
    {
    }

    awaitable<bool> write(std::string_view data) override
    {
        if (data.empty()) {
            // An empty chunk would end the response.
            co_return true;
        }
        this->stream.expires_after(this->writeTimeout);
        const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
        auto [writeError, writtenBytes] = co_await asio::async_write(this->stream, chunk, UseTuple);
        this->stream.expires_never();
        co_return !writeError;
    }

private:
    beast::tcp_stream &stream;
    std::chrono::milliseconds writeTimeout;
};

// Returns when the client closes its side or sends bytes; during a streamed response, only a client that closes the
// connection sends bytes.
awaitable<void> waitForClientClose(beast::tcp_stream &stream)
{
    auto waited = co_await stream.socket().async_wait(asio::socket_base::wait_read, UseTuple);
    static_cast<void>(waited);
}

// Returns false if the source fails. The response then ends without the last chunk, so that the client can tell that
// the response is incomplete.
awaitable<bool> runSource(const HttpStreamSource &source, HttpStreamWriter &writer)
{
    try {
        co_await source(writer);
    } catch (const std::exception &) {
        co_return false;
    }
    co_return true;
}

awaitable<void> sendStream(beast::tcp_stream &stream, HttpResponse response, std::chrono::milliseconds writeTimeout)
{
    using namespace asio::experimental::awaitable_operators;
    http::response<http::empty_body> header(static_cast<http::status>(response.status), 11);
    for (const auto &[name, value] : response.headers) {
        header.set(name, value);
    }
    header.chunked(true);
    header.keep_alive(false);
    http::response_serializer<http::empty_body> serializer(header);
    stream.expires_after(writeTimeout);
    auto [headerError, headerBytes] = co_await http::async_write_header(stream, serializer, UseTuple);
    if (headerError) {
        co_return;
    }
    stream.expires_never();
    ChunkWriter writer(stream, writeTimeout);
    const auto finished = co_await (runSource(response.stream, writer) || waitForClientClose(stream));
    if (finished.index() != 0 || !std::get<0>(finished)) {
        co_return;
    }
    stream.expires_after(writeTimeout);
    auto [endError, endBytes] = co_await asio::async_write(stream, http::make_chunk_last(), UseTuple);
    static_cast<void>(endError);
}

/// True if the client has closed the connection. Received bytes, such as a further request, are left unread.
bool isClosedByClient(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool isConnectionClosed(const beast::error_code &error)
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::eof
        || error == asio::error::operation_aborted;
}

}

struct HttpServer::Acceptor
{
    explicit Acceptor(asio::ip::tcp::acceptor socket)
        : socket(std::move(socket))
    {
    }

    /// A connection that waits for a request.
    struct Waiting
    {
        beast::tcp_stream *stream = nullptr;
        bool replaced = false;
    };

    asio::ip::tcp::acceptor socket;
    std::list<Waiting *> waiting; ///< In the order in which the waits began.
};

HttpServer::HttpServer(Handler handler, HttpServerOptions options, CloseHandler onClose)
    : handler(std::move(handler))
    , options(options)
    , onClose(std::move(onClose))
{
}

void HttpServer::listen(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort)
{
    auto acceptor = std::make_shared<Acceptor>(openAcceptor(executor, endpoint, reusePort));
    this->acceptors.push_back(acceptor);
    asio::co_spawn(executor, this->acceptLoop(acceptor), asio::detached);
}

void HttpServer::stop()
{
    this->stopping = true;
    for (const std::shared_ptr<Acceptor> &acceptor : this->acceptors) {
        asio::post(acceptor->socket.get_executor(), [acceptor] {
            beast::error_code ignored;
            acceptor->socket.close(ignored);
        });
    }
}

std::size_t HttpServer::connectionCount() const
{
    return this->connections;
}

std::size_t HttpServer::activeRequests() const
{
    return this->requests;
}

std::size_t HttpServer::bytesHeld() const
{
    return this->heldBytes;
}

awaitable<void> HttpServer::acceptLoop(std::shared_ptr<Acceptor> acceptor)
{
    const std::shared_ptr<HttpServer> self = this->shared_from_this();
    while (!this->stopping) {
        std::optional<asio::ip::tcp::socket> accepted = co_await acceptNext(acceptor->socket);
        if (!accepted) {
            break;
        }
        if (!this->admit(*acceptor)) {
            continue;
        }
        ++this->connections;
        const Executor executor = acceptor->socket.get_executor();
        asio::co_spawn(executor, this->serveConnection(acceptor, std::move(*accepted)), asio::detached);
    }
}

bool HttpServer::admit(Acceptor &acceptor)
{
    if (this->connections < this->options.maxConnections) {
        return true;
    }
    if (acceptor.waiting.empty()) {
        return false;
    }
    Acceptor::Waiting *const replaced = acceptor.waiting.front();
    acceptor.waiting.pop_front();
    replaced->replaced = true;
    replaced->stream->close();
    return true;
}

awaitable<void> HttpServer::serveConnection(std::shared_ptr<Acceptor> acceptor, asio::ip::tcp::socket socket)
{
    const std::shared_ptr<HttpServer> self = this->shared_from_this();
    HttpConnection connection{.id = this->nextConnectionId++, .remote = {}, .state = {}};
    beast::error_code ignored;
    connection.remote = socket.remote_endpoint(ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(this->options.maxHeaderBytes + this->options.maxBodyBytes);

    bool keepAlive = true;
    while (keepAlive) {
        if (buffer.size() == 0) {
            // The wait for the first byte has a separate limit, so that a connection may stay idle for longer than a
            // request may take.
            stream.expires_after(this->options.idleTimeout);
            Acceptor::Waiting wait{.stream = &stream};
            const auto place = acceptor->waiting.insert(acceptor->waiting.end(), &wait);
            auto [firstError, firstBytes] = co_await stream.async_read_some(buffer.prepare(FirstReadBytes), UseTuple);
            if (!wait.replaced) {
                acceptor->waiting.erase(place);
            }
            if (firstError) {
                break;
            }
            buffer.commit(firstBytes);
        }
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(this->options.maxHeaderBytes));
        parser.body_limit(this->options.maxBodyBytes);
        stream.expires_after(this->options.requestTimeout);
        auto [readError, readBytes] = co_await http::async_read_header(stream, buffer, parser, UseTuple);
        HeldPart held(this->heldBytes);
        bool refused = false;
        if (!readError) {
            const std::size_t body = expectedBody(parser, this->options.maxBodyBytes);
            refused = !held.tryTake(BodyCopies * body, this->options.maxHeldBytes);
        }
        if (!readError && !refused && !parser.is_done()) {
            auto [bodyError, bodyBytes] = co_await http::async_read(stream, buffer, parser, UseTuple);
            readError = bodyError;
        }
        if (readError && isConnectionClosed(readError)) {
            break;
        }
        HttpResponse response;
        unsigned version = 11;
        if (refused) {
            keepAlive = false;
            response = errorResponse(core::ResultCode::QueueFull, core::Outcome::NotRun, OutOfMemory);
        } else if (readError) {
            keepAlive = false;
            // Bytes after a failed request cannot be attributed to a request.
            response = errorResponse(resultCodeForReadError(readError), core::Outcome::NotRun, readError.message());
        } else {
            http::request<http::string_body> message = parser.release();
            version = message.version();
            keepAlive = message.keep_alive();
            ++this->requests;
            stream.expires_never();
            HttpRequest request = toRequest(std::move(message));
            try {
                response = co_await this->handler(std::move(request), connection);
            } catch (const ConnectionAbandoned &) {
                --this->requests;
                break;
            } catch (const core::Error &error) {
                response = errorResponse(error.code, error.outcome, error.message);
            } catch (const std::exception &error) {
                response = errorResponse(core::ResultCode::Internal, core::Outcome::Unknown, error.what());
            }
            keepAlive = keepAlive && !this->stopping;
        }
        held.take(response.body.size());
        if (response.stream) {
            co_await sendStream(stream, std::move(response), this->options.writeTimeout);
            --this->requests;
            break;
        }
        const std::function<void()> onUndelivered = std::move(response.onUndelivered);
        if (onUndelivered && isClosedByClient(stream.socket())) {
            onUndelivered();
            --this->requests;
            break;
        }
        http::response<http::string_body> outgoing = toMessage(std::move(response), version, keepAlive);
        stream.expires_after(this->options.writeTimeout);
        auto [writeError, writtenBytes] = co_await http::async_write(stream, outgoing, UseTuple);
        if (!readError && !refused) {
            --this->requests;
        }
        if (writeError) {
            if (onUndelivered) {
                onUndelivered();
            }
            break;
        }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (this->onClose) {
        this->onClose(connection);
    }
    --this->connections;
}

}
