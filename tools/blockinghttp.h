#pragma once

#include "core/time.h"
#include "net/httpmessage.h"

#include <boost/json.hpp>

namespace endiveshore::tools {

/// Sends @p request to @p port of the deployment's address and blocks the calling thread until the response arrives.
/// Throws core::Error if the connection fails or @p timeout passes.
net::HttpResponse exchangeBlocking(int port, net::HttpRequest request, core::Duration timeout);

/// Sends a GET request and returns the JSON object in the response; empty if the response has no body. Throws
/// core::Error if the request fails, the status is not 200 or the body is not a JSON object.
boost::json::object getJson(int port, std::string_view target);

/// Like getJson(), with a POST request that carries @p body.
boost::json::object postJson(int port, std::string_view target, const boost::json::object &body);

}
