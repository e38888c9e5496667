#pragma once

#include "net/peersession.h"

#include <nghttp2/nghttp2.h>

/// Parts of PeerSession that need the nghttp2 headers.
namespace endiveshore::net {

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
    bool received = false; ///< The complete message of the peer has arrived.
    bool sent = false; ///< The end of this end's own message was passed to the socket.
    bool closed = false;
    std::uint32_t errorCode = NGHTTP2_NO_ERROR;
    std::string failure;
    asio::steady_timer done;
};

/// Callbacks of nghttp2. The user data points to the session.
struct PeerSession::Callbacks
{
    /// Registers all callbacks in @p callbacks.
    static void install(nghttp2_session_callbacks *callbacks);

    static int beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData);
    static int header(nghttp2_session *,
                      const nghttp2_frame *frame,
                      const std::uint8_t *nameBytes,
                      std::size_t nameSize,
                      const std::uint8_t *valueBytes,
                      std::size_t valueSize,
                      std::uint8_t,
                      void *userData);
    static int dataChunk(nghttp2_session *,
                         std::uint8_t,
                         std::int32_t streamId,
                         const std::uint8_t *bytes,
                         std::size_t size,
                         void *userData);
    static int frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData);
    static int frameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData);
    static int streamClosed(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *userData);
    static ssize_t readBody(nghttp2_session *,
                            std::int32_t streamId,
                            std::uint8_t *buffer,
                            std::size_t size,
                            std::uint32_t *flags,
                            nghttp2_data_source *,
                            void *userData);

private:
    static PeerSession &self(void *userData);
};

}
