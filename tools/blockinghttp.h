#pragma once

#include "core/time.h"
#include "net/httpmessage.h"

#include <boost/json.hpp>

namespace endiveshore::tools {

/// One exchange with a server on the address of the deployment, from a thread without an event loop. Throws
/// core::Error.
net::HttpResponse exchangeBlocking(int port, net::HttpRequest request, core::Duration timeout);

/// Body of a successful JSON answer; throws core::Error otherwise.
boost::json::object getJson(int port, std::string_view target);
boost::json::object postJson(int port, std::string_view target, const boost::json::object &body);

}
