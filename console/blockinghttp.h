#pragma once

#include "core/error.h"
#include "core/time.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

#include <span>
#include <variant>
#include <vector>

namespace endiveshore::console {

/// Response of one endpoint, or the error of the exchange.
using HttpResult = std::variant<net::HttpResponse, core::Error>;

/// Sends @p request to all @p endpoints concurrently, each on a new connection, and blocks until every exchange has
/// ended. Results are in the order of the endpoints. Errors are those of net::HttpClientConnection; any other exception
/// becomes an Internal error.
std::vector<HttpResult>
exchangeWithAll(std::span<const net::TcpEndpoint> endpoints, const net::HttpRequest &request, core::Duration timeout);

}
