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

/// What a daemon tells the others of its data centre several times a second, in one datagram. The delegate of each data
/// centre sends the sum to the delegates of the others, who pass it on, so the narrow links carry one report per data
/// centre and not one per pair of daemons.
struct DaemonReport
{
    std::string daemon; ///< That has made the report.
    std::string dataCentre; ///< Set if the report is the sum of a data centre.
    std::size_t daemons = 1; ///< That the demand is the sum of.
    limits::Demand demand; ///< Operations per second by workspace.
    std::int64_t metadataRevision = 0; ///< Of the metadata store, up to which the daemon knows all changes.
    core::Milliseconds storeAge{}; ///< Since the metadata store answered last.
    std::set<std::string, std::less<>> leaving; ///< Daemons that are stopping.
    std::map<std::string, failover::PrimaryTracker::Promotion, std::less<>> promotions; ///< By service.
};

boost::json::object toJson(const DaemonReport &report);

/// Fails with MalformedRequest.
boost::leaf::result<DaemonReport> daemonReportFromJson(const boost::json::object &object);

}
