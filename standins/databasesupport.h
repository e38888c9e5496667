#pragma once

#include "core/error.h"
#include "core/json.h"
#include "core/time.h"

/// Helpers shared by the sources of the stand-in database server.
namespace endiveshore::standins {

// Tests run all servers of a group on one host, so the servers share its monotonic clock.
inline std::int64_t nowMs()
{
    return core::toMilliseconds(core::Clock::now().time_since_epoch());
}

inline boost::json::object parseBody(std::string_view body)
{
    boost::leaf::result<boost::json::object> parsed = core::parseJsonObject(body);
    if (!parsed) {
        throw core::Error(core::ResultCode::MalformedRequest, "a JSON object is required");
    }
    return std::move(*parsed);
}

}
