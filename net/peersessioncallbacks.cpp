#include "net/peersessiondetail.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <string_view>

namespace endiveshore::net {

namespace {

std::string_view view(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

}

void PeerSession::Callbacks::install(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::dataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &Callbacks::frameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::streamClosed);
}

PeerSession &PeerSession::Callbacks::self(void *userData)
{
    return *static_cast<PeerSession *>(userData);
}

int PeerSession::Callbacks::beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    PeerSession &session = self(userData);
    if (session.role == PeerSession::Role::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        session.streams.emplace(frame->hd.stream_id, std::make_shared<Stream>(session.socket.get_executor()));
    }
    return 0;
}

int PeerSession::Callbacks::header(nghttp2_session *,
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
        HttpHeaders &headers
            = session.role == PeerSession::Role::Server ? stream->request.headers : stream->response.headers;
        headers.emplace_back(name, value);
    }
    return 0;
}

int PeerSession::Callbacks::dataChunk(
    nghttp2_session *, std::uint8_t, std::int32_t streamId, const std::uint8_t *bytes, std::size_t size, void *userData)
{
    PeerSession &session = self(userData);
    Stream *stream = session.findStream(streamId);
    if (stream == nullptr || stream->oversized) {
        return 0;
    }
    std::string &body = session.role == PeerSession::Role::Server ? stream->request.body : stream->response.body;
    if (body.size() + size > session.options.maxBodyBytes) {
        session.refuseOversized(streamId, *stream);
        return 0;
    }
    body.append(view(bytes, size));
    return 0;
}

int PeerSession::Callbacks::frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    PeerSession &session = self(userData);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        session.draining = true;
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

int PeerSession::Callbacks::frameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    PeerSession &session = self(userData);
    if (session.role != PeerSession::Role::Server || frame->hd.type != NGHTTP2_DATA
        || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const Stream *stream = session.findStream(frame->hd.stream_id);
    if (stream != nullptr && !stream->received) {
        // The response to an oversized request is complete, so the rest of the request is not needed.
        session.reset(frame->hd.stream_id, NGHTTP2_NO_ERROR);
    }
    return 0;
}

int PeerSession::Callbacks::streamClosed(nghttp2_session *,
                                         std::int32_t streamId,
                                         std::uint32_t errorCode,
                                         void *userData)
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

ssize_t PeerSession::Callbacks::readBody(nghttp2_session *,
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

}
