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

/// State of the control thread from which a fleet view is built.
struct FleetState
{
    std::string selfId;
    std::shared_ptr<const Catalogue> catalogue;
    std::vector<membership::Member> members;
    /// Other daemons may run although none is known yet, because this daemon is configured to join a fleet.
    bool expectsMembers = false;
    std::set<std::string> draining; ///< Ids of daemons that drain before a planned stop.
    std::set<std::string> leavingServers; ///< Addresses of backend servers that the VM list shows as leaving.
    std::map<std::string, GroupView> primaries; ///< By group key; from own failover decisions and from gossip.
    std::uint64_t homeEpoch = 0;
    bool seesMajority = false;
    bool isolated = false;
};

/// Regions of all service documents; regions of the same name are merged.
std::vector<membership::HomeRegion> homeRegions(const Catalogue &catalogue);

/// Builds the view of @p state and assigns the home of each server in @p lease.
std::shared_ptr<const FleetView>
buildFleetView(const FleetState &state, membership::HomeLease &lease, core::TimePoint now);

}
