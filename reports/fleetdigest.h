#pragma once

#include "reports/daemonreport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endiveshore::reports {

/// What an aggregator knows of the daemons of one data centre.
struct DataCentreSummary
{
    std::size_t daemons = 0; ///< Number of daemons with a recent report.
    core::Milliseconds storeAge{}; ///< Time since the metadata store last answered any of them.
    core::Milliseconds age{}; ///< Age of this summary when the digest was sent.
    std::int64_t metadataRevision = 0; ///< Highest revision that any of them has reported.
    std::vector<std::string> revisionHolders; ///< Some daemons that know all changes up to metadataRevision.
    std::set<std::string, std::less<>> leaving; ///< Daemons that are stopping.
};

/// Demand of all daemons of a region that an aggregator has heard of.
struct RegionDemand
{
    std::size_t daemons = 0;
    limits::Demand demand; ///< Operations per second by workspace.
    limits::RankedDemand urgentDemand; ///< Parts of the demand above the lowest rank in use.
    /// Age of the newest report of a daemon other than the aggregator; nothing if there was none.
    std::optional<core::Milliseconds> age;
};

/// Answer of an aggregator to a daemon of its data centre: the sums of the whole fleet in one datagram.
struct FleetDigest
{
    std::string daemon; ///< Id of the aggregator.
    /// DaemonReport::sequence of the receiver's report that the sums include; 0 if they include none.
    std::uint64_t includedSequence = 0;
    std::map<std::string, DataCentreSummary, std::less<>> dataCentres;
    std::map<std::string, RegionDemand, std::less<>> regions;
    std::vector<std::string> relays; ///< Daemons of the data centre that watch the metadata store.
    Promotions promotions;
    session::ClockStamp stamp; ///< Time at which the aggregator made the digest.
    session::ClockStamp echo; ///< Stamp of the receiver's last report.
    session::AgedProofs proofs; ///< Newest proofs of all services.
    routing::ServerLoads serverLoads; ///< Loads of all servers that are not idle.
};

boost::json::object toJson(const FleetDigest &digest);

/// True if @p object is an encoded digest rather than a report.
bool isFleetDigest(const boost::json::object &object);

/// Decodes a digest. Fails with MalformedRequest.
boost::leaf::result<FleetDigest> fleetDigestFromJson(const boost::json::object &object);

}
