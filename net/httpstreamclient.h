#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <memory>
#include <optional>
#include <string>

namespace endiveshore::net {

/// Client of one streamed HTTP/1.1 response that consists of lines. Each instance sends one request. Not thread-safe.
class HttpStreamConnection
{
public:
    explicit HttpStreamConnection(const Executor &executor);
    ~HttpStreamConnection();

    /// Connects, sends @p request and returns the status of the response once its header has arrived. Throws
    /// core::Error: BackendUnreachable (not run) if connecting fails, AnswerLost (unknown) after any later failure or
    /// timeout.
    awaitable<int> open(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout);

    /// Returns the next line without its line break, or nullopt at the end of the response. Throws
    /// core::Error(AnswerLost) if the connection breaks, no line arrives within @p timeout, or a line is longer than
    /// 8 MiB.
    awaitable<std::optional<std::string>> nextLine(core::Duration timeout);

    /// Closes the connection at once; a pending operation fails.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
