#pragma once

#include "access/keytable.h"
#include "core/time.h"
#include "document/servicedocument.h"
#include "net/asyncio.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveshore::daemon {

/// Accepted documents and granted keys of one configuration revision.
struct Catalogue
{
    std::uint64_t revision = 0;
    std::map<std::string, std::shared_ptr<const document::ServiceDocument>, std::less<>> services;
    std::shared_ptr<const access::KeyTable> keys;
};

/// Primary of one database group as known to this daemon.
struct GroupView
{
    std::uint64_t term = 0;
    std::string primaryServer; ///< Empty while no primary is known.
};

/// Home of one backend server.
struct HomeView
{
    std::string member; ///< Daemon id.
    net::TcpEndpoint peerEndpoint;
    bool own = false; ///< This daemon is the home.
    std::optional<core::TimePoint> actsFrom; ///< From when this daemon may send statements, if it is the home.
};

/// Data needed to reach a backend server as its home.
struct ServerView
{
    std::string service;
    std::string database;
    std::string dataCentre;
    net::TcpEndpoint endpoint;
    int slots = 0;
    int connectionLimit = 0;
    bool leaving = false;
};

/// Immutable state that the control thread publishes to the traffic threads.
struct FleetView
{
    std::shared_ptr<const Catalogue> catalogue;
    std::unordered_map<std::string, GroupView> groups; ///< By "service/database".
    std::unordered_map<std::string, HomeView> homes; ///< By server id.
    std::unordered_map<std::string, ServerView> servers; ///< By server id.
    std::unordered_map<std::string, net::TcpEndpoint> members; ///< Peer endpoints of live daemons.
    std::vector<std::string> servingMembers; ///< Live daemons that do not prepare to stop.
    std::vector<std::string> knownMembers; ///< All daemons that have not left, unreachable ones included.
    bool seesMajority = false; ///< This daemon is in touch with a majority of the known members.
    std::uint64_t homeEpoch = 0; ///< Must equal the daemon's current epoch for own homes to be used.
    bool ready = false; ///< A configuration snapshot is loaded.
    bool isolated = false; ///< Neither the store nor a majority of members was reached in time.
};

/// Key of a database group in FleetView::groups and in gossip.
inline std::string groupKey(std::string_view service, std::string_view database)
{
    std::string key(service);
    key.append(1, '/').append(database);
    return key;
}

}
