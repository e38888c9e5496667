#pragma once

#include "core/resultcode.h"
#include "net/httpstream.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveshore::net {

/// Header fields in the order received. Names are case-insensitive.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of header @p name, or an empty view.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    HttpStreamSource stream = {}; ///< If set, its chunks are sent instead of the body; then the connection closes.
    /// Called instead of sending if the client no longer waits, or if sending fails. Responses with a stream ignore it.
    std::function<void()> onUndelivered = {};
};

/// JSON response with content type application/json.
HttpResponse jsonResponse(int status, const boost::json::object &body);

/// Error response `{"outcome","code","name","message"}` with the HTTP status of @p code.
HttpResponse errorResponse(core::ResultCode code, core::Outcome outcome, std::string_view message);

/// POST request with a JSON body.
HttpRequest jsonRequest(std::string_view target, const boost::json::object &body);

}
