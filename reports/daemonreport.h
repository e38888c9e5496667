#pragma once

#include "core/error.h"
#include "failover/primarytracker.h"
#include "limits/demandshares.h"
#include "routing/serverload.h"
#include "session/proofboard.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveshore::reports {

/// Latest promotions by service.
using Promotions = std::map<std::string, failover::PrimaryTracker::Promotion, std::less<>>;

/// Report that a daemon sends several times per second, in one datagram, to the aggregators of its data centre. The
/// first aggregator of each data centre, its delegate, sends the sum of these reports to the delegates of the other
/// data centres, and a FleetDigest to the daemons of its own. The number of messages thus grows with the number of
/// daemons.
struct DaemonReport
{
    std::string daemon; ///< Id of the daemon that sent the report.
    std::string dataCentre; ///< Set only in the sum of the reports of a data centre: its name.
    std::size_t daemons = 1; ///< Number of daemons whose demand is summed up.
    limits::Demand demand; ///< Operations per second by workspace.
    /// Parts of the demand above the lowest rank in use, of workspaces whose demand comes near their rate; empty where
    /// operations are not ordered by priority.
    limits::RankedDemand urgentDemand;
    /// Revision of the last change of the metadata store that the daemon knows and that other daemons need.
    std::int64_t metadataRevision = 0;
    core::Milliseconds storeAge{}; ///< Time since the metadata store last answered.
    std::set<std::string, std::less<>> leaving; ///< Ids of daemons that are stopping.
    /// Number of the report, by which a digest says which report it includes; 0 in sums.
    std::uint64_t sequence = 0;
    bool wantsDigest = false; ///< The receiver is asked to answer with a FleetDigest.
    /// Set only in sums: some daemons that know all changes up to metadataRevision.
    std::vector<std::string> revisionHolders;
    Promotions promotions;
    session::ClockStamp stamp; ///< Time at which the sender made the message.
    session::ClockStamp echo; ///< Last stamp that the sender received from the receiver.
    /// Proofs that the sender took, or in sums that the daemons of the data centre took.
    session::AgedProofs proofs;
    /// Loads of the servers whose home is the sender, or in sums a daemon of the data centre; idle servers are left
    /// out.
    routing::ServerLoads serverLoads;
};

/// Encodes demand as integers in tenths of an operation per second, which keeps datagrams short.
boost::json::object demandToJson(const limits::Demand &demand);

/// Encodes the rates of each workspace, in the same unit, from rank 0 to the last rank that is not zero.
boost::json::object rankedDemandToJson(const limits::RankedDemand &demand);
boost::json::object promotionsToJson(const Promotions &promotions);

boost::json::array stampToJson(const session::ClockStamp &stamp);
boost::json::object proofsToJson(const session::AgedProofs &proofs);

/// The stamp @p name; no stamp if it is missing or malformed.
session::ClockStamp stampFromJson(const boost::json::object &object, std::string_view name);

/// Fail with MalformedRequest.
boost::leaf::result<session::AgedProofs> proofsFromJson(const boost::json::object &object);
boost::leaf::result<limits::Demand> demandFromJson(const boost::json::object &object);

/// The ranks @p name of @p object; none if they are missing, as in the reports of daemons that do not know ranks. Fails
/// with MalformedRequest.
boost::leaf::result<limits::RankedDemand> rankedDemandFromJson(const boost::json::object &object,
                                                               std::string_view name);
boost::leaf::result<Promotions> promotionsFromJson(const boost::json::object &object);

/// Age in milliseconds, limited to the range from zero to one day.
core::Milliseconds ageFromJson(const boost::json::object &object, std::string_view name);

/// The strings of the array @p name; other elements are ignored.
std::vector<std::string> stringsFromJson(const boost::json::object &object, std::string_view name);

boost::json::object toJson(const DaemonReport &report);

/// Decodes a report. Fails with MalformedRequest.
boost::leaf::result<DaemonReport> daemonReportFromJson(const boost::json::object &object);

}
