#pragma once

#include "core/error.h"
#include "core/time.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace endiveshore::daemon {

/// Body of POST /v1/statements and of POST requests below /v1/transactions.
struct CallerRequest
{
    std::string service;
    std::string database;
    std::string route;
    std::string requestId;
    std::string transaction;
    core::TimePoint deadline;
    boost::json::value statement;
};

/// Parses a request body. Unknown fields and wrong types are refused with MalformedRequest. `timeout_ms` defaults to
/// 5,000 and is limited to 60,000.
boost::leaf::result<CallerRequest> parseCallerRequest(std::string_view body, core::TimePoint now);

}
