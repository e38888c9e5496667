#include "net/httpmessage.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>

namespace endiveshore::net {

namespace {

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](unsigned char first, unsigned char second) {
            return std::tolower(first) == std::tolower(second);
        });
}

}

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[fieldName, value] : headers) {
        if (equalIgnoringCase(fieldName, name)) {
            return value;
        }
    }
    return {};
}

HttpResponse jsonResponse(int status, const boost::json::object &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = boost::json::serialize(body)};
}

HttpResponse errorResponse(core::ResultCode code, core::Outcome outcome, std::string_view message)
{
    const core::ResultCodeInfo &info = core::resultCodeInfo(code);
    const boost::json::object body{
        {"outcome", core::outcomeName(outcome)},
        {"code", static_cast<int>(code)},
        {"name", info.name},
        {"message", message},
    };
    return jsonResponse(info.httpStatus, body);
}

HttpRequest jsonRequest(std::string_view target, const boost::json::object &body)
{
    return {.method = "POST",
            .target = std::string(target),
            .headers = {{"Content-Type", "application/json"}},
            .body = boost::json::serialize(body)};
}

}
