#pragma once

#include "core/error.h"
#include "failover/primarytracker.h"
#include "limits/demandshares.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace endiveshore::gateway {

/// What a daemon tells all others several times a second, in one datagram.
struct DaemonReport
{
    std::string daemon;
    limits::Demand demand; ///< Operations per second by workspace.
    std::uint64_t configurationVersion = 0;
    core::Milliseconds storeAge{}; ///< Since the metadata store answered last.
    bool isLeaving = false;
    std::map<std::string, failover::PrimaryTracker::Promotion, std::less<>> promotions; ///< By service.
};

boost::json::object toJson(const DaemonReport &report);

/// Fails with MalformedRequest.
boost::leaf::result<DaemonReport> daemonReportFromJson(const boost::json::object &object);

}
