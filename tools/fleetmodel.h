#pragma once

#include <boost/json.hpp>

#include <string>

namespace endiveshore::tools {

/// Fleet size, as the input of fleetModelCost().
struct FleetModelSize
{
    int daemons = 0;
    int databases = 0;
    int workspaces = 0;
    int keys = 0;
};

/// Parses "DAEMONS:DATABASES:WORKSPACES:KEYS". Throws std::invalid_argument if @p text does not have this form.
FleetModelSize parseFleetModelSize(const std::string &text);

/// Measures what a fleet of @p size costs one daemon: the memory, in megabytes, of the configuration, the member list
/// and the fleet view, and the time, in milliseconds, to build them. Runs the daemon's code in this process.
boost::json::object fleetModelCost(const FleetModelSize &size);

}
