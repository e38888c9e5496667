#include "net/peersession.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <nghttp2/nghttp2.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <string_view>

namespace endiveshore::net {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::size_t WriteBytes = 256 * 1024;
constexpr std::int32_t StreamWindowBytes = 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds WatchInterval{100};
// A watch that wakes this late was itself paused; the peer had no chance to be heard.
constexpr std::chrono::milliseconds WatchLate{500};
// Longer than the round trip between regions, so that requests already under way are still accepted.
constexpr std::chrono::milliseconds GoAwayDelay{200};
// As for other connections: data unacknowledged for this long closes the connection.
constexpr int TcpUserTimeoutMs = 5'000;

std::string_view view(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

std::uint8_t *mutableBytes(std::string_view text)
{
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
}

/// Header block with stable storage for names in lower case, as HTTP/2 requires.
class HeaderBlock
{
public:
    explicit HeaderBlock(const HttpHeaders &headers)
    {
        this->names.reserve(headers.size());
        for (const auto &[name, value] : headers) {
            std::string lower(name);
            std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
                return static_cast<char>(std::tolower(character));
            });
            this->names.push_back(std::move(lower));
        }
    }

    void add(std::string_view name, std::string_view value)
    {
        this->fields.push_back(
            {mutableBytes(name), mutableBytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }

    /// Adds the ordinary fields except those that HTTP/2 forbids or derives.
    void addFields(const HttpHeaders &headers)
    {
        static constexpr std::array<std::string_view, 6> ConnectionFields{
            "connection", "host", "keep-alive", "transfer-encoding", "upgrade", "content-length"};
        for (std::size_t index = 0; index < headers.size(); ++index) {
            const std::string &name = this->names[index];
            if (std::find(ConnectionFields.begin(), ConnectionFields.end(), name) == ConnectionFields.end()) {
                this->add(name, headers[index].second);
            }
        }
    }

    std::vector<nghttp2_nv> fields;

private:
    std::vector<std::string> names;
};

}

struct PeerSession::Stream
{
    explicit Stream(const Executor &executor)
        : done(executor)
    {
    }

    HttpRequest request; ///< Received by a server.
    HttpResponse response; ///< Received by a client.
    std::string output; ///< Body being sent.
    std::size_t outputOffset = 0;
    std::size_t headerBytes = 0;
    bool oversized = false;
    bool received = false; ///< The whole message of the other end has arrived.
    bool sent = false; ///< The end of the own message was handed to the socket.
    bool closed = false;
    std::uint32_t errorCode = NGHTTP2_NO_ERROR;
    std::string failure;
    asio::steady_timer done;
};

struct PeerSession::Callbacks
{
    static PeerSession &self(void *userData)
    {
        return *static_cast<PeerSession *>(userData);
    }

    static int beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        PeerSession &session = self(userData);
        if (session.role == Role::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            session.streams.emplace(frame->hd.stream_id, std::make_shared<Stream>(session.socket.get_executor()));
        }
        return 0;
    }

    static int header(nghttp2_session *,
                      const nghttp2_frame *frame,
                      const std::uint8_t *nameBytes,
                      std::size_t nameSize,
                      const std::uint8_t *valueBytes,
                      std::size_t valueSize,
                      std::uint8_t,
                      void *userData)
    {
        PeerSession &session = self(userData);
        Stream *stream = session.findStream(frame->hd.stream_id);
        if (stream == nullptr) {
            return 0;
        }
        stream->headerBytes += nameSize + valueSize;
        if (stream->headerBytes > session.options.maxHeaderBytes) {
            stream->oversized = true;
            return 0;
        }
        const std::string_view name = view(nameBytes, nameSize);
        const std::string_view value = view(valueBytes, valueSize);
        if (name == ":method") {
            stream->request.method = value;
        } else if (name == ":path") {
            stream->request.target = value;
        } else if (name == ":status") {
            std::from_chars(value.data(), value.data() + value.size(), stream->response.status);
        } else if (!name.starts_with(':')) {
            HttpHeaders &headers = session.role == Role::Server ? stream->request.headers : stream->response.headers;
            headers.emplace_back(name, value);
        }
        return 0;
    }

    static int dataChunk(nghttp2_session *,
                         std::uint8_t,
                         std::int32_t streamId,
                         const std::uint8_t *bytes,
                         std::size_t size,
                         void *userData)
    {
        PeerSession &session = self(userData);
        Stream *stream = session.findStream(streamId);
        if (stream == nullptr || stream->oversized) {
            return 0;
        }
        std::string &body = session.role == Role::Server ? stream->request.body : stream->response.body;
        if (body.size() + size > session.options.maxBodyBytes) {
            session.refuseOversized(streamId, *stream);
            return 0;
        }
        body.append(view(bytes, size));
        return 0;
    }

    static int frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        PeerSession &session = self(userData);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            session.leaving = true;
            return 0;
        }
        if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) {
            return 0;
        }
        Stream *stream = session.findStream(frame->hd.stream_id);
        if (stream == nullptr) {
            return 0;
        }
        if (frame->hd.type == NGHTTP2_HEADERS && stream->oversized) {
            session.refuseOversized(frame->hd.stream_id, *stream);
            return 0;
        }
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            session.receiveEndOfMessage(frame->hd.stream_id, *stream);
        }
        return 0;
    }

    static int frameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        PeerSession &session = self(userData);
        if (session.role != Role::Server || frame->hd.type != NGHTTP2_DATA
            || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        const Stream *stream = session.findStream(frame->hd.stream_id);
        if (stream != nullptr && !stream->received) {
            // The answer to an oversized request is complete; the rest of the request is not wanted.
            session.reset(frame->hd.stream_id, NGHTTP2_NO_ERROR);
        }
        return 0;
    }

    static int streamClosed(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *userData)
    {
        PeerSession &session = self(userData);
        const auto found = session.streams.find(streamId);
        if (found == session.streams.end()) {
            return 0;
        }
        const std::shared_ptr<Stream> stream = found->second;
        session.streams.erase(found);
        stream->closed = true;
        stream->errorCode = errorCode;
        stream->failure = std::string("stream closed: ") + nghttp2_http2_strerror(errorCode);
        stream->done.cancel();
        return 0;
    }

    static ssize_t readBody(nghttp2_session *,
                            std::int32_t streamId,
                            std::uint8_t *buffer,
                            std::size_t size,
                            std::uint32_t *flags,
                            nghttp2_data_source *,
                            void *userData)
    {
        Stream *stream = self(userData).findStream(streamId);
        if (stream == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t count = std::min(size, stream->output.size() - stream->outputOffset);
        std::memcpy(buffer, stream->output.data() + stream->outputOffset, count);
        stream->outputOffset += count;
        if (stream->outputOffset == stream->output.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream->sent = true;
        }
        return static_cast<ssize_t>(count);
    }
};

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
    , watchSignal(this->socket.get_executor())
    , lastReceived(core::Clock::now())
{
    boost::system::error_code ignored;
    const TcpEndpoint remote = this->socket.remote_endpoint(ignored);
    this->authority = remote.address().to_string() + ":" + std::to_string(remote.port());

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::dataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &Callbacks::frameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::streamClosed);
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
    asio::co_spawn(executor, this->watchLoop(), asio::detached);
}

awaitable<HttpResponse> PeerSession::exchange(HttpRequest request, core::Duration timeout)
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    if (!this->acceptsRequests()) {
        throw core::Error(core::ResultCode::PeerUnreachable, "the connection takes no new requests");
    }
    const auto stream = std::make_shared<Stream>(this->socket.get_executor());
    stream->output = std::move(request.body);
    stream->response.status = 0;
    HeaderBlock block(request.headers);
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
        // After a long idle time the watch pings at once, together with the request.
        this->watchSignal.cancel();
    }

    stream->done.expires_after(timeout);
    co_await stream->done.async_wait(UseTuple);
    if (!stream->closed) {
        this->streams.erase(streamId);
        this->reset(streamId, NGHTTP2_CANCEL);
        stream->failure = "no answer in time";
    } else if (stream->received && !stream->oversized) {
        co_return std::move(stream->response);
    }
    const bool notRun = !stream->sent || stream->errorCode == NGHTTP2_REFUSED_STREAM;
    throw core::Error(notRun ? core::ResultCode::PeerUnreachable : core::ResultCode::AnswerLost,
                      this->authority + ": " + stream->failure);
}

bool PeerSession::acceptsRequests() const
{
    return !this->closed && !this->leaving && nghttp2_session_check_request_allowed(this->session) != 0;
}

void PeerSession::shutDown()
{
    if (this->closed || this->leaving) {
        return;
    }
    this->leaving = true;
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
    this->watchSignal.cancel();
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
    std::vector<std::uint8_t> buffer(ReadBytes);
    while (!this->closed) {
        auto [readError, size] = co_await this->socket.async_read_some(asio::buffer(buffer), UseTuple);
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
    while (output.size() < WriteBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
        if (size < 0) {
            this->close(nghttp2_strerror(static_cast<int>(size)));
            return {};
        }
        if (size == 0) {
            break;
        }
        output.append(view(bytes, static_cast<std::size_t>(size)));
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

awaitable<void> PeerSession::watchLoop()
{
    const std::shared_ptr<PeerSession> self = this->shared_from_this();
    while (!this->closed) {
        const core::Duration interval = this->isActive() || this->pingSent != core::TimePoint()
            ? core::Duration(WatchInterval)
            : this->options.idlePingAfter;
        const core::TimePoint due = core::Clock::now() + interval;
        this->watchSignal.expires_at(due);
        co_await this->watchSignal.async_wait(UseTuple);
        if (this->closed) {
            co_return;
        }
        const core::TimePoint now = core::Clock::now();
        if (now - due > WatchLate) {
            // Bytes of the peer may wait in the socket; the silence is measured anew.
            this->lastReceived = now;
            this->pingSent = {};
            continue;
        }
        if (this->pingSent != core::TimePoint()) {
            if (now - this->pingSent >= this->options.pingTimeout) {
                this->close("silent connection");
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
    // Reset streams no longer count for the peer's limit, but their handlers still run.
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
        return;
    }
    stream->output = std::move(response.body);
    const std::string status = std::to_string(response.status);
    HeaderBlock block(response.headers);
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
        core::ResultCode::RequestTooLarge, core::Outcome::NotRun, "the message exceeds the limit of the peer");
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
