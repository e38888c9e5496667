#pragma once

#include "daemon/fleetview.h"
#include "membership/homelease.h"
#include "membership/homemap.h"
#include "membership/member.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// State of the control thread from which a fleet view is derived.
struct FleetState
{
    std::string selfId;
    std::shared_ptr<const Catalogue> catalogue;
    std::vector<membership::Member> members;
    std::set<std::string> draining; ///< Daemons that prepare to stop.
    std::set<std::string> leavingServers; ///< Addresses of backend servers that the VM list shows as leaving.
    std::map<std::string, GroupView> primaries; ///< By group key; learned from failover and gossip.
    std::uint64_t homeEpoch = 0;
    bool seesMajority = false;
    bool isolated = false;
};

/// Regions of all documents, merged by name.
std::vector<membership::HomeRegion> homeRegions(const Catalogue &catalogue);

/// Builds the view of @p state and tells @p lease who the home of each server is.
std::shared_ptr<const FleetView>
buildFleetView(const FleetState &state, membership::HomeLease &lease, core::TimePoint now);

}
