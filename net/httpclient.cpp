#include "net/httpclient.h"

#include "core/error.h"
#include "net/bytecounter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace endiveshore::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxResponseBytes = 8 * 1024 * 1024;

// The kernel drops a connection whose sent bytes stay unacknowledged for this long. A middlebox may have discarded the
// connection without a reset.
constexpr int TcpUserTimeoutMs = 5'000;

/// True if the peer has closed the connection or sent bytes that belong to no request. If this is detected before a
/// request is sent, the outcome of the request is not run instead of unknown.
bool isStale(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}

struct HttpClientConnection::Impl
{
    explicit Impl(const Executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{MaxResponseBytes};
    std::string host;
    bool open = false;
};

HttpClientConnection::HttpClientConnection(const Executor &executor)
    : impl(std::make_unique<Impl>(executor))
{
}

HttpClientConnection::~HttpClientConnection() = default;
HttpClientConnection::HttpClientConnection(HttpClientConnection &&other) noexcept = default;
HttpClientConnection &HttpClientConnection::operator=(HttpClientConnection &&other) noexcept = default;

awaitable<void> HttpClientConnection::connect(TcpEndpoint endpoint, core::Duration timeout)
{
    Impl &state = *this->impl;
    state.stream.expires_after(timeout);
    auto [connectError] = co_await state.stream.async_connect(endpoint, UseTuple);
    if (connectError) {
        this->close();
        throw core::Error(core::ResultCode::BackendUnreachable, "connect: " + connectError.message());
    }
    beast::error_code ignored;
    state.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    state.stream.socket().set_option(UserTimeout(TcpUserTimeoutMs), ignored);
    state.host = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    state.open = true;
}

bool HttpClientConnection::isOpen() const
{
    return this->impl->open;
}

awaitable<HttpResponse> HttpClientConnection::exchange(HttpRequest request, core::Duration timeout)
{
    Impl &state = *this->impl;
    if (state.open && isStale(state.stream.socket())) {
        this->close();
    }
    if (!state.open) {
        throw core::Error(core::ResultCode::BackendUnreachable, "the connection is closed");
    }
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, state.host);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();

    state.stream.expires_after(timeout);
    auto [writeError, writtenBytes] = co_await http::async_write(state.stream, message, UseTuple);
    countThreadBytes(writtenBytes);
    if (writeError) {
        this->close();
        throw core::Error(core::ResultCode::AnswerLost, "send: " + writeError.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBytes);
    auto [readError, readBytes] = co_await http::async_read(state.stream, state.buffer, parser, UseTuple);
    countThreadBytes(readBytes);
    if (readError) {
        this->close();
        throw core::Error(core::ResultCode::AnswerLost, "receive: " + readError.message());
    }
    state.stream.expires_never();
    http::response<http::string_body> incoming = parser.release();
    if (!incoming.keep_alive()) {
        this->close();
    }
    HttpResponse response;
    response.status = static_cast<int>(incoming.result_int());
    for (const auto &field : incoming) {
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    response.body = std::move(incoming.body());
    co_return response;
}

void HttpClientConnection::close()
{
    this->impl->open = false;
    beast::error_code ignored;
    this->impl->stream.socket().close(ignored);
}

awaitable<HttpResponse> exchangeOnce(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout)
{
    const core::TimePoint deadline = core::Clock::now() + timeout;
    HttpClientConnection connection(co_await asio::this_coro::executor);
    co_await connection.connect(endpoint, timeout);
    HttpResponse response = co_await connection.exchange(std::move(request), deadline - core::Clock::now());
    co_return response;
}

}
