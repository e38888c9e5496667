#pragma once

#include "confsync/entrystore.h"
#include "gateway/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// Another daemon, or this one.
struct PeerDaemon
{
    std::string id;
    net::TcpEndpoint endpoint;
    std::string dataCentre;
    double processorShare = 0; ///< Of one core; 0 if it is not known.
    bool isSuspect = false; ///< Did not answer lately; it gets no new work.
};

/// What the control thread believes, as of one moment. Immutable; traffic threads read it without locks.
struct GatewayView
{
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const confsync::EntryStore> metadata; ///< What this daemon can give to others.
    ServerCatalogue servers;
    std::map<std::string, std::string, std::less<>> primaries; ///< Server id by service.
    std::map<std::string, PeerDaemon, std::less<>> daemons; ///< Live ones, this one included.
    std::map<std::string, std::vector<std::string>, std::less<>> homes; ///< Daemon ids by server, preferred first.
    std::vector<std::string> rateHomes; ///< Daemons of the own region that may keep the pools of rates.
    std::map<std::string, std::string, std::less<>> regionOfDataCentre;
    std::string self; ///< Id of this daemon.
    bool isLeaving = false;

    /// Region of @p dataCentre; empty if it is not known.
    std::string_view regionOf(std::string_view dataCentre) const;
    /// Daemon that keeps the region's pool for @p workspace; empty without candidates.
    std::string rateHome(std::string_view workspace) const;

    const Route *route(std::string_view database) const;
    const BackendServer *server(std::string_view id) const;
    const BackendServer *primary(std::string_view service) const;
};

}
