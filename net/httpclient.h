#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <memory>

namespace endiveshore::net {

/// One HTTP/1.1 client connection with keep-alive. Not thread-safe; one exchange at a time. An exchange that fails or
/// passes its deadline closes the connection, so that a late response can never be read as that to a later request.
class HttpClientConnection
{
public:
    explicit HttpClientConnection(const Executor &executor);
    ~HttpClientConnection();
    HttpClientConnection(HttpClientConnection &&other) noexcept;
    HttpClientConnection &operator=(HttpClientConnection &&other) noexcept;

    /// Opens the connection. Throws core::Error(BackendUnreachable, not run) on failure or after @p timeout.
    awaitable<void> connect(TcpEndpoint endpoint, core::Duration timeout);

    bool isOpen() const;

    /// Sends @p request and returns the complete response. Throws core::Error: BackendUnreachable with outcome not run
    /// if the request was not sent, AnswerLost with outcome unknown if the request may have been sent, also after
    /// @p timeout.
    awaitable<HttpResponse> exchange(HttpRequest request, core::Duration timeout);

    /// Closes the connection at once; a pending exchange fails.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Performs one exchange on a new connection. Throws the same errors as HttpClientConnection.
awaitable<HttpResponse> exchangeOnce(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout);

}
