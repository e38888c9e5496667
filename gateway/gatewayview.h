#pragma once

#include "confsync/entrystore.h"
#include "gateway/configuration.h"
#include "limits/coldlimit.h"
#include "routing/allowedregions.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// A daemon of the fleet, as known to this daemon.
struct PeerDaemon
{
    std::string id;
    net::TcpEndpoint endpoint;
    std::string dataCentre;
    double processorShare = 0; ///< Part of one core; 0 if unknown.
    bool isSuspect = false; ///< Suspected by gossip; the daemon gets no new work.
};

/// Snapshot of the control thread's state. Immutable, so that traffic threads read it without locks.
struct GatewayView
{
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const confsync::EntryStore> metadata; ///< Entries served to other daemons.
    std::shared_ptr<const std::string> configurationText;
    bool isConfigurationStored = true; ///< False if the store is known to hold another version.
    std::vector<std::string> departedServers; ///< Ids of servers that left lately.
    std::optional<core::TimePoint> copyAt; ///< Time at which the store was last seen to be back from an older copy.
    ServerCatalogue servers;
    std::map<std::string, std::string, std::less<>> primaries; ///< Server ids by service.
    std::map<std::string, PeerDaemon, std::less<>> daemons; ///< Live daemons by id, including this one.
    /// Daemon ids by server; the home first, then its substitutes in order.
    std::map<std::string, std::vector<std::string>, std::less<>> homes;
    std::vector<std::string> rateHomes; ///< Daemons of the own region that may keep rate pools.
    std::map<std::string, std::string, std::less<>> regionOfDataCentre;
    routing::EvacuationStages evacuations;
    limits::ColdBound coldBound; ///< Bound of all services, without the rate.
    std::string self; ///< Id of this daemon.
    bool isLeaving = false;
    bool ordersByPriority = false; ///< See Deployment.

    /// Region of @p dataCentre; empty if unknown.
    std::string_view regionOf(std::string_view dataCentre) const;
    /// Daemon that keeps the region's rate pool of @p workspace; empty without candidates.
    std::string rateHome(std::string_view workspace) const;

    const Route *route(std::string_view database) const;
    /// Rank of the statements of @p route in the queues of servers; nothing if priorities do not order them.
    std::optional<core::PriorityRank> rankOf(const Route &route) const;
    const BackendServer *server(std::string_view id) const;
    const BackendServer *primary(std::string_view service) const;

    /// Bound on the statements to a cold server of @p service.
    limits::ColdBound coldBoundOf(std::string_view service) const;

    routing::EvacuationStage evacuationOf(const BackendServer &server) const;
    /// Places of all servers of @p service. They refer to this view.
    std::vector<routing::ServerPlace> placesOf(std::string_view service) const;
};

}
