#pragma once

#include "core/error.h"
#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <span>
#include <variant>
#include <vector>

namespace endiveshore::console {

/// Answer of one endpoint, or the reason why there is none.
using HttpResult = std::variant<net::HttpResponse, core::Error>;

/// Sends @p request to all @p endpoints at the same time, each on a new connection, and waits for all answers. Results
/// are in the order of the endpoints. Errors as net::HttpClientConnection.
std::vector<HttpResult>
exchangeWithAll(std::span<const net::TcpEndpoint> endpoints, const net::HttpRequest &request, core::Duration timeout);

}
