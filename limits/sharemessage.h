#pragma once

#include "core/error.h"
#include "core/time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::limits {

/// Request of a holder to the allocator of a workspace. A holder has one request under way at a time and accepts a
/// grant only for that request, so every request also settles all earlier ones.
struct ShareRequest
{
    std::string workspace;
    std::string holder; ///< Identity of the process, including its incarnation.
    std::uint64_t sequence = 0; ///< Grows with each request of the holder for the workspace.
    std::uint64_t epoch = 0; ///< Epoch of the last grant accepted.
    std::uint64_t accepted = 0; ///< Sequence of the last grant accepted; later grants were lost and stay unused.
    std::int64_t held = 0; ///< Unspent tokens when the request is sent; all other tokens granted before are gone.
    std::int64_t returned = 0; ///< Tokens given up unspent since the last request. Not part of `held`.
    std::int64_t needed = 0; ///< Tokens for callers that wait.
    std::int64_t reserve = 0; ///< Tokens wanted for callers to come.

    bool operator==(const ShareRequest &) const = default;
};

/// Answer to a ShareRequest.
struct ShareGrant
{
    std::uint64_t sequence = 0; ///< Sequence of the request.
    std::uint64_t epoch = 0; ///< Allocator state that granted; changes when an allocator starts anew.
    std::int64_t granted = 0;
    core::Milliseconds tokenLifetime{}; ///< Life of the tokens, counted from the sending of the request.
    core::Milliseconds retryAfter{}; ///< When to ask again for the rest of `needed`; zero if all was granted.
    bool refused = false; ///< The receiver may not grant: it is not the allocator or lacks a majority.

    bool operator==(const ShareGrant &) const = default;
};

/// Request of an allocator to a member for exclusive support.
struct EndorsementRequest
{
    std::string allocator; ///< Identity of the process, including its incarnation.
    std::vector<std::string> workspaces;

    bool operator==(const EndorsementRequest &) const = default;
};

boost::json::object toJson(const ShareRequest &request);
boost::json::object toJson(const ShareGrant &grant);
boost::json::object toJson(const EndorsementRequest &request);

/// These readers fail with MalformedRequest for a missing identity, a missing sequence or a negative count.
boost::leaf::result<ShareRequest> shareRequestFromJson(const boost::json::object &object);
boost::leaf::result<ShareGrant> shareGrantFromJson(const boost::json::object &object);
boost::leaf::result<EndorsementRequest> endorsementRequestFromJson(const boost::json::object &object);

}
