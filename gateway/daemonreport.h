#pragma once

#include "core/error.h"
#include "failover/primarytracker.h"
#include "limits/demandshares.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace endiveshore::gateway {

/// Report that a daemon sends to the other daemons of its data centre several times per second, in one datagram. One
/// daemon per data centre, its delegate, sends the sum of these reports to the delegates of the other data centres,
/// which forward the sum to their daemons. The narrow links between data centres thus carry one report per data centre
/// instead of one per pair of daemons.
struct DaemonReport
{
    std::string daemon; ///< Id of the daemon that sent the report.
    std::string dataCentre; ///< Set only in the sum of the reports of a data centre: its name.
    std::size_t daemons = 1; ///< Number of daemons whose demand is summed up.
    limits::Demand demand; ///< Operations per second by workspace.
    std::int64_t metadataRevision = 0; ///< Revision of the metadata store up to which the daemon knows all changes.
    core::Milliseconds storeAge{}; ///< Time since the metadata store last answered.
    std::set<std::string, std::less<>> leaving; ///< Ids of daemons that are stopping.
    /// Latest promotions by service.
    std::map<std::string, failover::PrimaryTracker::Promotion, std::less<>> promotions;
};

boost::json::object toJson(const DaemonReport &report);

/// Decodes a report. Fails with MalformedRequest.
boost::leaf::result<DaemonReport> daemonReportFromJson(const boost::json::object &object);

}
