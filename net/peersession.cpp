#include "net/peersession.h"

#include "core/error.h"
#include "net/peerheaders.h"
#include "net/peersessiondetail.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <array>

namespace endiveshore::net {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBufferBytes = 64 * 1024;
constexpr std::size_t WriteBatchBytes = 256 * 1024;
constexpr std::int32_t StreamWindowBytes = 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds KeepAliveCheckInterval{100};
// If the keep-alive loop wakes this late, the process itself was paused, and received data may not have been read yet.
constexpr std::chrono::milliseconds KeepAliveMaxDelay{500};
// Delay between the shutdown notice and the final GOAWAY. Longer than the round trip between regions, so that requests
// already in flight are still accepted.
constexpr std::chrono::milliseconds GoAwayDelay{200};
// The kernel closes a connection whose data stays unacknowledged for this long, as for HTTP/1.1 clients.
constexpr int TcpUserTimeoutMs = 5'000;

}

void configurePeerSocket(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(TcpUserTimeoutMs), ignored);
}

PeerSession::PeerSession(asio::ip::tcp::socket socket, Role role, PeerSessionOptions options, Handler handler)
    : socket(std::move(socket))
    , role(role)
    , options(options)
    , handler(std::move(handler))
    , writeSignal(this->socket.get_executor())
    , keepAliveSignal(this->socket.get_executor())
    , lastReceived(core::Clock::now())
{
    boost::system::error_code ignored;
    const TcpEndpoint remote = this->socket.remote_endpoint(ignored);
    this->authority = remote.address().to_string() + ":" + std::to_string(remote.port());

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    Callbacks::install(callbacks);
    if (role == Role::Server) {
        nghttp2_session_server_new(&this->session, callbacks, this);
    } else {
        nghttp2_session_client_new(&this->session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.maxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // A server must not announce the push setting.
    const std::size_t count = role == Role::Server ? settings.size() - 1 : settings.size();
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
}

PeerSession::~PeerSession()
{
    nghttp2_session_del(this->session);
}

void PeerSession::start()
{
    const Executor executor = this->socket.get_executor();
    asio::co_spawn(executor, this->readLoop(), asio::detached);
    asio::co_spawn(executor, this->writeLoop(), asio::detached);
    asio::co_spawn(executor, this->keepAliveLoop(), asio::detached);
}

awaitable<HttpResponse> PeerSession::exchange(HttpRequest request, core::Duration timeout)
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    if (!this->acceptsRequests()) {
        throw core::Error(core::ResultCode::PeerUnreachable, "the connection accepts no new requests");
    }
    const auto stream = std::make_shared<Stream>(this->socket.get_executor());
    stream->output = std::move(request.body);
    stream->response.status = 0;
    PeerHeaderBlock block(request.headers);
    block.add(":method", request.method);
    block.add(":scheme", "http");
    block.add(":authority", this->authority);
    block.add(":path", request.target);
    block.addFields(request.headers);
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::readBody;
    const std::int32_t streamId
        = nghttp2_submit_request(this->session, nullptr, block.fields.data(), block.fields.size(), &provider, nullptr);
    if (streamId < 0) {
        throw core::Error(core::ResultCode::PeerUnreachable, nghttp2_strerror(streamId));
    }
    const bool wasIdle = this->streams.empty();
    this->streams.emplace(streamId, stream);
    this->writeSignal.cancel();
    if (wasIdle) {
        // After a long idle time, the keep-alive loop sends a ping at once, together with the request.
        this->keepAliveSignal.cancel();
    }

    stream->done.expires_after(timeout);
    co_await stream->done.async_wait(UseTuple);
    if (!stream->closed) {
        this->streams.erase(streamId);
        this->reset(streamId, NGHTTP2_CANCEL);
        stream->failure = "no response in time";
    } else if (stream->received && !stream->oversized) {
        co_return std::move(stream->response);
    }
    const bool notRun = !stream->sent || stream->errorCode == NGHTTP2_REFUSED_STREAM;
    throw core::Error(notRun ? core::ResultCode::PeerUnreachable : core::ResultCode::AnswerLost,
                      this->authority + ": " + stream->failure);
}

bool PeerSession::acceptsRequests() const
{
    return !this->closed && !this->draining && nghttp2_session_check_request_allowed(this->session) != 0;
}

void PeerSession::shutDown()
{
    if (this->closed || this->draining) {
        return;
    }
    this->draining = true;
    nghttp2_submit_shutdown_notice(this->session);
    this->writeSignal.cancel();
    asio::co_spawn(this->socket.get_executor(), this->finishShutDown(), asio::detached);
}

awaitable<void> PeerSession::finishShutDown()
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    asio::steady_timer timer(this->socket.get_executor(), GoAwayDelay);
    co_await timer.async_wait(UseTuple);
    if (this->closed) {
        co_return;
    }
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(this->session);
    nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    this->writeSignal.cancel();
}

void PeerSession::close(std::string reason)
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->closeReason = std::move(reason);
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->writeSignal.cancel();
    this->keepAliveSignal.cancel();
    for (const auto &[streamId, stream] : this->streams) {
        stream->closed = true;
        stream->failure = "connection closed: " + this->closeReason;
        stream->done.cancel();
    }
    this->streams.clear();
}

std::size_t PeerSession::activeRequests() const
{
    return this->requests;
}

awaitable<void> PeerSession::readLoop()
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    // One buffer per thread, since a daemon of a large deployment holds thousands of connections, most of them idle.
    static thread_local std::vector<std::uint8_t> buffer(ReadBufferBytes);
    boost::system::error_code modeError;
    this->socket.non_blocking(true, modeError);
    while (!this->closed) {
        auto [waitError] = co_await this->socket.async_wait(asio::socket_base::wait_read, UseTuple);
        boost::system::error_code readError = waitError;
        std::size_t size = 0;
        if (!waitError && !this->closed) {
            size = this->socket.read_some(asio::buffer(buffer), readError);
        }
        if (this->closed) {
            co_return;
        }
        if (readError == asio::error::would_block || readError == asio::error::try_again) {
            continue;
        }
        if (readError) {
            this->close(readError.message());
            co_return;
        }
        this->lastReceived = core::Clock::now();
        this->pingSent = {};
        const ssize_t consumed = nghttp2_session_mem_recv(this->session, buffer.data(), size);
        if (consumed < 0) {
            this->close(nghttp2_strerror(static_cast<int>(consumed)));
            co_return;
        }
        this->writeSignal.cancel();
    }
}

std::string PeerSession::fillOutput()
{
    std::string output;
    while (output.size() < WriteBatchBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
        if (size < 0) {
            this->close(nghttp2_strerror(static_cast<int>(size)));
            return {};
        }
        if (size == 0) {
            break;
        }
        output.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(size));
    }
    return output;
}

awaitable<void> PeerSession::writeLoop()
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    while (!this->closed) {
        const std::string output = this->fillOutput();
        if (this->closed) {
            co_return;
        }
        if (output.empty()) {
            if (nghttp2_session_want_read(this->session) == 0 && nghttp2_session_want_write(this->session) == 0) {
                this->close("session ended");
                co_return;
            }
            this->writeSignal.expires_at(core::TimePoint::max());
            co_await this->writeSignal.async_wait(UseTuple);
            continue;
        }
        auto [writeError, size] = co_await asio::async_write(this->socket, asio::buffer(output), UseTuple);
        if (writeError) {
            this->close(writeError.message());
        }
    }
}

awaitable<void> PeerSession::keepAliveLoop()
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    while (!this->closed) {
        const core::Duration interval = this->isActive() || this->pingSent != core::TimePoint()
            ? core::Duration(KeepAliveCheckInterval)
            : this->options.idlePingAfter;
        const core::TimePoint due = core::Clock::now() + interval;
        this->keepAliveSignal.expires_at(due);
        co_await this->keepAliveSignal.async_wait(UseTuple);
        if (this->closed) {
            co_return;
        }
        const core::TimePoint now = core::Clock::now();
        if (now - due > KeepAliveMaxDelay) {
            // Unread data of the peer may wait in the socket, so the time without received data is measured anew.
            this->lastReceived = now;
            this->pingSent = {};
            continue;
        }
        if (this->pingSent != core::TimePoint()) {
            if (now - this->pingSent >= this->options.pingTimeout) {
                this->close("nothing received after a ping");
            }
            continue;
        }
        const core::Duration limit = this->isActive() ? this->options.pingAfter : this->options.idlePingAfter;
        if (now - this->lastReceived >= limit) {
            this->ping();
        }
    }
}

void PeerSession::ping()
{
    if (this->pingSent != core::TimePoint()) {
        return;
    }
    this->pingSent = core::Clock::now();
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
    this->writeSignal.cancel();
}

bool PeerSession::isActive() const
{
    return !this->streams.empty();
}

PeerSession::Stream *PeerSession::findStream(std::int32_t streamId)
{
    const auto found = this->streams.find(streamId);
    return found == this->streams.end() ? nullptr : found->second.get();
}

void PeerSession::receiveEndOfMessage(std::int32_t streamId, Stream &stream)
{
    if (stream.received || stream.oversized) {
        return;
    }
    stream.received = true;
    if (this->role == Role::Client) {
        return;
    }
    // Reset streams no longer count towards the stream limit of the peer, but their handlers still run.
    if (this->requests >= this->options.maxStreams) {
        this->reset(streamId, NGHTTP2_REFUSED_STREAM);
        return;
    }
    ++this->requests;
    asio::co_spawn(this->socket.get_executor(), this->handle(streamId, std::move(stream.request)), asio::detached);
}

awaitable<void> PeerSession::handle(std::int32_t streamId, HttpRequest request)
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    HttpResponse response;
    try {
        response = co_await this->handler(std::move(request));
    } catch (const core::Error &error) {
        response = errorResponse(error.code, error.outcome, error.message);
    } catch (const std::exception &error) {
        response = errorResponse(core::ResultCode::Internal, core::Outcome::Unknown, error.what());
    }
    --this->requests;
    this->respond(streamId, std::move(response));
}

void PeerSession::respond(std::int32_t streamId, HttpResponse response)
{
    Stream *stream = this->closed ? nullptr : this->findStream(streamId);
    if (stream == nullptr) {
        if (response.onUndelivered) {
            response.onUndelivered();
        }
        return;
    }
    stream->output = std::move(response.body);
    const std::string status = std::to_string(response.status);
    PeerHeaderBlock block(response.headers);
    block.add(":status", status);
    block.addFields(response.headers);
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::readBody;
    const int submitted
        = nghttp2_submit_response(this->session, streamId, block.fields.data(), block.fields.size(), &provider);
    if (submitted != 0) {
        this->reset(streamId, NGHTTP2_INTERNAL_ERROR);
    }
    this->writeSignal.cancel();
}

void PeerSession::refuseOversized(std::int32_t streamId, Stream &stream)
{
    stream.oversized = true;
    if (this->role == Role::Client) {
        this->reset(streamId, NGHTTP2_CANCEL);
        return;
    }
    stream.request = {};
    HttpResponse response = errorResponse(
        core::ResultCode::RequestTooLarge, core::Outcome::NotRun, "the request exceeds the size limit of the peer");
    this->respond(streamId, std::move(response));
}

void PeerSession::reset(std::int32_t streamId, std::uint32_t errorCode)
{
    if (this->closed) {
        return;
    }
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, streamId, errorCode);
    this->writeSignal.cancel();
}

}
