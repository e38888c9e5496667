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

/// Accepted service documents and granted workspace keys at one configuration revision.
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
    std::string member; ///< Id of the daemon that is the home.
    net::TcpEndpoint peerEndpoint;
    bool own = false; ///< This daemon is the home.
    std::optional<core::TimePoint> actsFrom; ///< Time from which this daemon, as the home, may send statements.
};

/// Data that the home needs about a backend server.
struct ServerView
{
    std::string service;
    std::string database;
    std::string dataCentre;
    net::TcpEndpoint endpoint;
    int slots = 0;
    int connectionLimit = 0;
    bool leaving = false; ///< The VM list shows the server's VM as leaving.
};

/// Immutable state that the control thread publishes to the traffic threads.
struct FleetView
{
    std::shared_ptr<const Catalogue> catalogue;
    std::unordered_map<std::string, GroupView> groups; ///< By "service/database".
    std::unordered_map<std::string, HomeView> homes; ///< By serverKey().
    std::unordered_map<std::string, ServerView> servers; ///< By serverKey().
    std::unordered_map<std::string, net::TcpEndpoint> members; ///< Peer endpoints of live daemons, by daemon id.
    std::vector<std::string> servingMembers; ///< Live daemons that are not draining.
    std::vector<std::string> knownMembers; ///< All daemons that have not left, unreachable ones included.
    bool seesMajority = false; ///< This daemon has recent contact with a majority of the known members.
    std::uint64_t homeEpoch = 0; ///< Own homes may be used only while this is the daemon's current epoch.
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
