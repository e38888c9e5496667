#pragma once

#include <boost/json.hpp>

#include <string>

namespace endiveshore::tools {

/// Size of a fleet for fleetModelCost().
struct FleetModelSize
{
    int daemons = 0;
    int databases = 0;
    int workspaces = 0;
    int keys = 0;
};

/// Parses "DAEMONS:DATABASES:WORKSPACES:KEYS". Throws std::invalid_argument.
FleetModelSize parseFleetModelSize(const std::string &text);

/// Memory in megabytes and time in milliseconds that the configuration, the membership and a fleet view of that size
/// cost one daemon, measured in this process with the daemon's own code.
boost::json::object fleetModelCost(const FleetModelSize &size);

}
