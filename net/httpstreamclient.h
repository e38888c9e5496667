#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <memory>
#include <optional>
#include <string>

namespace endiveshore::net {

/// Client of one streamed HTTP/1.1 answer that consists of lines. Each instance carries one request. Not thread-safe.
class HttpStreamConnection
{
public:
    explicit HttpStreamConnection(const Executor &executor);
    ~HttpStreamConnection();

    /// Connects, sends @p request and returns the status of the answer once its header has arrived. Throws core::Error:
    /// BackendUnreachable (not run) if the connection failed, AnswerLost (unknown) after that or after @p timeout.
    awaitable<int> open(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout);

    /// The next line without its line break, or nothing at the end of the answer. Throws core::Error(AnswerLost) if the
    /// connection breaks, no line arrives within @p timeout, or a line is longer than 8 MiB.
    awaitable<std::optional<std::string>> nextLine(core::Duration timeout);

    /// Closes the connection at once; a pending operation fails.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
