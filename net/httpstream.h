#pragma once

#include "net/asyncio.h"

#include <functional>
#include <string_view>

namespace endiveshore::net {

/// Sends the chunks of a streamed response. Valid until the response ends.
class HttpStreamWriter
{
public:
    virtual ~HttpStreamWriter() = default;

    /// Sends @p data as one chunk. Returns false once the connection is broken.
    virtual awaitable<bool> write(std::string_view data) = 0;
};

/// Produces a streamed response, which ends when the coroutine returns. The server cancels the coroutine (terminal
/// cancellation) when the client closes the connection.
using HttpStreamSource = std::function<awaitable<void>(HttpStreamWriter &writer)>;

}
