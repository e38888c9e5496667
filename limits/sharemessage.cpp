#include "limits/sharemessage.h"

#include "core/json.h"

#include <algorithm>

namespace endiveshore::limits {

namespace json = boost::json;

namespace {

core::Failure malformed(std::string_view message)
{
    return core::Failure{.code = core::ResultCode::MalformedRequest, .message = std::string(message)};
}

std::uint64_t unsignedMember(const json::object &object, std::string_view name)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, core::jsonInteger(object, name)));
}

}

json::object toJson(const ShareRequest &request)
{
    return {{"workspace", request.workspace},
            {"holder", request.holder},
            {"sequence", request.sequence},
            {"epoch", request.epoch},
            {"accepted", request.accepted},
            {"held", request.held},
            {"returned", request.returned},
            {"needed", request.needed},
            {"reserve", request.reserve}};
}

json::object toJson(const ShareGrant &grant)
{
    return {{"sequence", grant.sequence},
            {"epoch", grant.epoch},
            {"granted", grant.granted},
            {"lending_ms", grant.tokenLifetime.count()},
            {"retry_after_ms", grant.retryAfter.count()},
            {"refused", grant.refused}};
}

json::object toJson(const EndorsementRequest &request)
{
    json::array workspaces;
    for (const std::string &workspace : request.workspaces) {
        workspaces.emplace_back(workspace);
    }
    return {{"allocator", request.allocator}, {"workspaces", std::move(workspaces)}};
}

boost::leaf::result<ShareRequest> shareRequestFromJson(const json::object &object)
{
    ShareRequest request{.workspace = core::jsonString(object, "workspace"),
                         .holder = core::jsonString(object, "holder"),
                         .sequence = unsignedMember(object, "sequence"),
                         .epoch = unsignedMember(object, "epoch"),
                         .accepted = unsignedMember(object, "accepted"),
                         .held = core::jsonInteger(object, "held", -1),
                         .returned = core::jsonInteger(object, "returned"),
                         .needed = core::jsonInteger(object, "needed"),
                         .reserve = core::jsonInteger(object, "reserve")};
    if (request.workspace.empty() || request.holder.empty() || request.sequence == 0) {
        return boost::leaf::new_error(malformed("share request without workspace, holder or sequence"));
    }
    if (std::min({request.held, request.returned, request.needed, request.reserve}) < 0) {
        return boost::leaf::new_error(malformed("share request with a missing or negative count"));
    }
    return request;
}

boost::leaf::result<ShareGrant> shareGrantFromJson(const json::object &object)
{
    ShareGrant grant{.sequence = unsignedMember(object, "sequence"),
                     .epoch = unsignedMember(object, "epoch"),
                     .granted = core::jsonInteger(object, "granted", -1),
                     .tokenLifetime = core::Milliseconds(core::jsonInteger(object, "lending_ms")),
                     .retryAfter = core::Milliseconds(core::jsonInteger(object, "retry_after_ms")),
                     .refused = core::jsonBool(object, "refused")};
    if (grant.sequence == 0 || grant.granted < 0 || grant.tokenLifetime.count() < 0 || grant.retryAfter.count() < 0) {
        return boost::leaf::new_error(malformed("share grant without sequence or with a negative count"));
    }
    return grant;
}

boost::leaf::result<EndorsementRequest> endorsementRequestFromJson(const json::object &object)
{
    EndorsementRequest request{.allocator = core::jsonString(object, "allocator")};
    const json::array *workspaces = core::jsonArray(object, "workspaces");
    if (request.allocator.empty() || workspaces == nullptr) {
        return boost::leaf::new_error(malformed("endorsement request without allocator or workspaces"));
    }
    for (const json::value &workspace : *workspaces) {
        if (!workspace.is_string()) {
            return boost::leaf::new_error(malformed("endorsement request with an invalid workspace"));
        }
        request.workspaces.emplace_back(workspace.get_string().data(), workspace.get_string().size());
    }
    return request;
}

}
