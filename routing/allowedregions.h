#pragma once

#include "routing/evacuation.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::routing {

/// Regions in which a request may run and to whose daemons its text may be sent. A route and a workspace may each be
/// limited to regions; where both are, both limits apply.
class AllowedRegions
{
public:
    /// Allows every region.
    AllowedRegions() = default;

    /// An empty list is no limit.
    AllowedRegions(std::span<const std::string> ofRoute, std::span<const std::string> ofWorkspace);

    /// True if @p region is allowed. A limited request is allowed in no unknown region, which has an empty name.
    bool allows(std::string_view region) const;

    bool isEverywhere() const;

private:
    std::vector<std::string> route;
    std::vector<std::string> workspace;
};

/// A server of the service that a statement is for.
struct ServerPlace
{
    std::string_view region;
    EvacuationStage evacuation = EvacuationStage::None;
    bool isPrimary = false;
};

/// Whether the servers of a service may run a statement now or soon.
enum class ServingVerdict {
    Possible, ///< Now, or after a failover or handover that is to be expected.
    NotAllowed, ///< No server is in an allowed region, or the primary, which the statement needs, is not.
    Evacuated, ///< All servers in allowed regions are in data centres to which no statements may be sent.
};

/// @p servers are all servers of the service. A service without servers may get some at any moment.
ServingVerdict servingVerdict(std::span<const ServerPlace> servers, const AllowedRegions &regions, bool needsPrimary);

}
