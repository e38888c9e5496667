#pragma once

#include "core/error.h"
#include "core/time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::limits {

/// Request of a holder to the allocator of a workspace. A holder has one request in flight at a time and accepts a
/// grant only for that request, so every request also settles all earlier requests.
struct ShareRequest
{
    std::string workspace;
    std::string holder; ///< Identity of the process, including its incarnation.
    std::uint64_t sequence = 0; ///< Grows with each request of the holder for the workspace.
    std::uint64_t epoch = 0; ///< Epoch of the last grant accepted.
    std::uint64_t accepted = 0; ///< Sequence of the last grant accepted; later grants were lost and stay unused.
    /// Unspent tokens when the request is sent. All other tokens granted before were spent or returned, or have
    /// expired.
    std::int64_t held = 0;
    std::int64_t returned = 0; ///< Tokens returned unspent since the last request. Not part of `held`.
    std::int64_t needed = 0; ///< Tokens for waiting callers.
    std::int64_t reserve = 0; ///< Tokens requested for future callers.

    bool operator==(const ShareRequest &) const = default;
};

/// Answer to a ShareRequest.
struct ShareGrant
{
    std::uint64_t sequence = 0; ///< Sequence of the request.
    std::uint64_t epoch = 0; ///< Epoch of the allocator; changes whenever it starts with an empty bucket.
    std::int64_t granted = 0;
    core::Milliseconds tokenLifetime{}; ///< Lifetime of the tokens, counted from the sending of the request.
    core::Milliseconds retryAfter{}; ///< Delay of the next request if `needed` was not granted in full, else zero.
    bool refused = false; ///< The receiver may not grant: it is not the allocator or lacks a majority.

    bool operator==(const ShareGrant &) const = default;
};

/// Request of an allocator to a member for its exclusive endorsement.
struct EndorsementRequest
{
    std::string allocator; ///< Identity of the process, including its incarnation.
    std::vector<std::string> workspaces;

    bool operator==(const EndorsementRequest &) const = default;
};

boost::json::object toJson(const ShareRequest &request);
boost::json::object toJson(const ShareGrant &grant);
boost::json::object toJson(const EndorsementRequest &request);

/// The functions below fail with MalformedRequest for a missing identity, a missing sequence or a negative count.
boost::leaf::result<ShareRequest> shareRequestFromJson(const boost::json::object &object);
boost::leaf::result<ShareGrant> shareGrantFromJson(const boost::json::object &object);
boost::leaf::result<EndorsementRequest> endorsementRequestFromJson(const boost::json::object &object);

}
