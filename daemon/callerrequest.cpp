#include "daemon/callerrequest.h"

#include "core/json.h"

#include <algorithm>
#include <array>

namespace endiveshore::daemon {

namespace json = boost::json;

namespace {

constexpr std::int64_t DefaultTimeoutMs = 5'000;
constexpr std::int64_t MaxTimeoutMs = 60'000;
constexpr std::size_t MaxIdentifierBytes = 256;

struct TextField
{
    std::string_view name;
    std::string CallerRequest::*member;
};

constexpr std::array TextFields{
    TextField{"service", &CallerRequest::service},
    TextField{"database", &CallerRequest::database},
    TextField{"route", &CallerRequest::route},
    TextField{"request_id", &CallerRequest::requestId},
    TextField{"transaction", &CallerRequest::transaction},
};

boost::leaf::error_id malformed(std::string message)
{
    return boost::leaf::new_error(
        core::Failure{.code = core::ResultCode::MalformedRequest, .message = std::move(message)});
}

}

boost::leaf::result<CallerRequest> parseCallerRequest(std::string_view body, core::TimePoint now)
{
    BOOST_LEAF_AUTO(message, core::parseJsonObject(body));
    CallerRequest request;
    std::int64_t timeoutMs = DefaultTimeoutMs;
    for (const auto &member : message) {
        const std::string_view name(member.key().data(), member.key().size());
        if (name == "statement") {
            request.statement = member.value();
            continue;
        }
        if (name == "timeout_ms") {
            if (!member.value().is_int64() || member.value().as_int64() < 1) {
                return malformed("timeout_ms must be a positive whole number of milliseconds");
            }
            timeoutMs = std::min(member.value().as_int64(), MaxTimeoutMs);
            continue;
        }
        const auto field = std::find_if(TextFields.begin(), TextFields.end(), [name](const TextField &candidate) {
            return candidate.name == name;
        });
        if (field == TextFields.end()) {
            return malformed("unknown field " + std::string(name.substr(0, MaxIdentifierBytes)));
        }
        if (!member.value().is_string() || member.value().as_string().size() > MaxIdentifierBytes) {
            return malformed(std::string(name) + " must be a string of at most 256 bytes");
        }
        request.*(field->member) = std::string(member.value().as_string().data(), member.value().as_string().size());
    }
    request.deadline = now + core::Milliseconds(timeoutMs);
    return request;
}

}
