#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace endiveshore::routing {

/// Load of a backend server as measured by its home. A server without a load is idle or unknown.
struct ServerLoad
{
    unsigned pressure = 0; ///< Work that arrives, in percent of what the server can run in the same time.
    unsigned failing = 0; ///< Recent statements that failed or got no answer, in percent.
    unsigned slowness = 100; ///< Run time of recent statements in percent of the usual one.
    core::Milliseconds delay{}; ///< Time that a statement is expected to take longer than on the idle server.
    core::Milliseconds age{}; ///< Time since the home measured it.

    bool operator==(const ServerLoad &) const = default;
};

/// Loads by id of the server.
using ServerLoads = std::map<std::string, ServerLoad, std::less<>>;

/// Adds @p loads to @p known; of two loads of a server, the younger one stays.
void addYounger(ServerLoads &known, const ServerLoads &loads);

}
