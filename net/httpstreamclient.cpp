#include "net/httpstreamclient.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace endiveshore::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// A line of a watch response may carry several values of up to 1 MB each in base64.
constexpr std::size_t MaxLineBytes = 8 * 1024 * 1024;
constexpr std::size_t ReadBufferBytes = 64 * 1024;

}

struct HttpStreamConnection::Impl
{
    explicit Impl(const Executor &executor)
        : stream(executor)
    {
        this->parser.body_limit(boost::none);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{ReadBufferBytes};
    http::response_parser<http::string_body> parser;
    std::string pending; ///< Received bytes that have not been returned.
    std::size_t searched = 0; ///< Length of the part of pending that holds no line break.
};

HttpStreamConnection::HttpStreamConnection(const Executor &executor)
    : impl(std::make_unique<Impl>(executor))
{
}

HttpStreamConnection::~HttpStreamConnection() = default;

awaitable<int> HttpStreamConnection::open(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout)
{
    Impl &state = *this->impl;
    state.stream.expires_after(timeout);
    auto [connectError] = co_await state.stream.async_connect(endpoint, UseTuple);
    if (connectError) {
        this->close();
        throw core::Error(core::ResultCode::BackendUnreachable, "connect: " + connectError.message());
    }
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    auto [writeError, writtenBytes] = co_await http::async_write(state.stream, message, UseTuple);
    if (writeError) {
        this->close();
        throw core::Error(core::ResultCode::AnswerLost, "send: " + writeError.message());
    }
    auto [readError, readBytes] = co_await http::async_read_header(state.stream, state.buffer, state.parser, UseTuple);
    if (readError) {
        this->close();
        throw core::Error(core::ResultCode::AnswerLost, "receive: " + readError.message());
    }
    co_return static_cast<int>(state.parser.get().result_int());
}

awaitable<std::optional<std::string>> HttpStreamConnection::nextLine(core::Duration timeout)
{
    Impl &state = *this->impl;
    // One deadline for the whole line, so that a peer that sends single bytes cannot extend the wait.
    state.stream.expires_after(timeout);
    while (true) {
        const std::size_t lineBreak = state.pending.find('\n', state.searched);
        if (lineBreak != std::string::npos) {
            std::string line = state.pending.substr(0, lineBreak);
            state.pending.erase(0, lineBreak + 1);
            state.searched = 0;
            co_return line;
        }
        state.searched = state.pending.size();
        if (state.pending.size() > MaxLineBytes) {
            this->close();
            throw core::Error(core::ResultCode::AnswerLost, "a line of the streamed response is too long");
        }
        if (state.parser.is_done()) {
            if (state.pending.empty()) {
                co_return std::nullopt;
            }
            state.searched = 0;
            co_return std::exchange(state.pending, {});
        }
        auto [readError, readBytes]
            = co_await http::async_read_some(state.stream, state.buffer, state.parser, UseTuple);
        if (readError) {
            this->close();
            throw core::Error(core::ResultCode::AnswerLost, "receive: " + readError.message());
        }
        state.pending += state.parser.get().body();
        state.parser.get().body().clear();
    }
}

void HttpStreamConnection::close()
{
    beast::error_code ignored;
    this->impl->stream.socket().close(ignored);
}

}
