#pragma once

#include "core/time.h"
#include "limits/callerbudget.h"
#include "limits/tokenbucket.h"
#include "net/asyncio.h"
#include "queueing/fairschedule.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Caller sessions over long-lived connections: the configuration, the catalogue of servers and daemons, and the
/// threads of a daemon that serves such sessions.
namespace endiveshore::gateway {

/// Consistency of a route's reads: which commits a read is guaranteed to see.
enum class RouteKind {
    Primary, ///< All commits acknowledged before the read.
    Bounded, ///< All commits acknowledged at least the route's maximum age before the read.
    Session, ///< Like Bounded, and all commits of the session itself.
};

struct Route
{
    std::string name;
    std::string service;
    RouteKind kind = RouteKind::Primary;
    core::Milliseconds statementTimeout{};
    core::Milliseconds latencyObjective{}; ///< For a whole operation, counted from the caller's first attempt.
    core::Milliseconds maximumAge{}; ///< Maximum staleness of the data that a read returns.
    int priority = 0; ///< 0 is the highest.
    bool isOpen = false; ///< The route serves callers without a key.
    std::vector<std::string> allowedRegions; ///< Regions in which its statements may run; empty for all.
};

/// Priority class of the route's statements in the queues of servers. Routes of high priority come first. Of the other
/// routes, reads that accept stale data come last, since other servers can run them and their callers can wait.
queueing::Priority urgencyOf(const Route &route);

struct Service
{
    std::string name;
    unsigned connectionLimit = 0; ///< Connections that one server accepts in total.
    unsigned synchronousReplicas = 0;
    double coldRatePerSecond = 0; ///< Statements that a server may get in a second while it is cold; 0 for no limit.
};

struct Workspace
{
    std::string name;
    limits::ShareLimits limits;
    std::vector<std::string> allowedRegions; ///< Regions in which its statements may run; empty for all.
};

/// Configuration written by operators. Immutable once published.
struct Configuration
{
    std::uint64_t version = 0;
    std::map<std::string, Route, std::less<>> routes; ///< By the database name that callers send.
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::map<std::string, std::string, std::less<>> workspaceByKey;
    core::Milliseconds transactionIdleTimeout{}; ///< An open transaction that is idle for this long is rolled back.
    std::vector<std::string> ignoredRows; ///< Rows of the document that could not be used, with the reason.
};

/// A backend server from its own entry in the metadata store.
struct BackendServer
{
    std::string id;
    std::string service;
    net::TcpEndpoint endpoint;
    std::string dataCentre;
    unsigned slots = 0;
    bool isLeaving = false;
    bool claimsPrimary = false;
    core::Milliseconds coldFor{}; ///< How much longer the server is cold, as of its entry.
    core::TimePoint coldUntil; ///< The same, counted from the receipt of the entry.
    std::int64_t startedAt = 0; ///< Unix time in ms; changes when the server restarts.
    std::uint64_t sequence = 0; ///< Rises with each write of the entry since startedAt.
    std::uint64_t revision = 0; ///< core::StorePoint::order() of the entry's last change.

    bool operator==(const BackendServer &) const = default;
};

/// Backend servers by id.
using ServerCatalogue = std::map<std::string, BackendServer, std::less<>>;

/// Identity, addresses and settings of this daemon.
struct Deployment
{
    std::string daemonId;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOfDataCentre;
    net::TcpEndpoint callerListen;
    net::TcpEndpoint readinessListen;
    net::TcpEndpoint peerListen; ///< TCP for work units, UDP for gossip.
    net::TcpEndpoint reportListen; ///< UDP for reports between daemons.
    std::vector<net::TcpEndpoint> seeds; ///< Peer addresses of other daemons.
    net::TcpEndpoint metadataStore;
    net::TcpEndpoint promotionService;
    core::Milliseconds heartbeat{}; ///< Heartbeat interval of backend servers.
    core::Milliseconds stopGrace{}; ///< Time from the stop signal to the exit of the process.
    /// Time after its acknowledgement in which a change of the metadata store must be in force.
    core::Milliseconds changeDeadline{};
    limits::CallerLimits callerLimits = limits::callerLimits(0, 0);
    /// Time after its acknowledgement in which the evacuation of a data centre must be in force.
    core::Milliseconds evacuationDeadline{};
    /// A cold server may get this many times its rate, and this many statements more, in one second; 0 for no limit.
    double coldExcess = 0;
    double coldSlack = 0;
    double processorShare = 1; ///< Part of one core that the daemon may use.
    bool checksFences = true; ///< The promotion service refuses orders with an outdated fence.
    /// While there is too little room or rate, requests of routes with a higher priority go first.
    bool ordersByPriority = false;
    /// Reads go by the loads that the homes of the servers report, see routing::ReadPlacement.
    bool placesReadsByLoad = false;
    std::string text; ///< Settings as read, to detect changes.
};

}
