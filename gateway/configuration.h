#pragma once

#include "core/time.h"
#include "limits/tokenbucket.h"
#include "net/asyncio.h"
#include "queueing/fairschedule.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Caller sessions over long connections: what is known of routes, servers and daemons, and the processes of a daemon
/// that serves such sessions.
namespace endiveshore::gateway {

/// Consistency that a route promises to its reads.
enum class RouteKind {
    Primary, ///< Every commit acknowledged before the read.
    Bounded, ///< Every commit acknowledged longer than the route's age before the read.
    Session, ///< Like Bounded, and every commit of the session.
};

struct Route
{
    std::string name;
    std::string service;
    RouteKind kind = RouteKind::Primary;
    core::Milliseconds statementTimeout{};
    core::Milliseconds latencyObjective{}; ///< Of a whole operation, from the caller's first attempt.
    core::Milliseconds maximumAge{}; ///< Of the data that a read may return.
    int priority = 0; ///< 0 is the highest.
    bool isOpen = false; ///< Callers need no key.
};

/// Class of the route's statements in the queues of servers. Routes of high priority come first; of the others, reads
/// that accept old data come last, since another server may serve them and their callers can wait.
queueing::Priority urgencyOf(const Route &route);

struct Service
{
    std::string name;
    unsigned connectionLimit = 0; ///< Of one server, over all callers.
    unsigned synchronousReplicas = 0;
};

struct Workspace
{
    std::string name;
    limits::ShareLimits limits;
};

/// Everything that operators configure. Immutable once published.
struct Configuration
{
    std::uint64_t version = 0;
    std::map<std::string, Route, std::less<>> routes; ///< By the database name that callers ask for.
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::map<std::string, std::string, std::less<>> workspaceByKey;
    core::Milliseconds transactionIdleTimeout{}; ///< A transaction that rests for this long may be ended.
    std::size_t maximumLineBytes = 0; ///< Of a message of a caller.
};

/// A backend server as it registered itself.
struct BackendServer
{
    std::string id;
    std::string service;
    net::TcpEndpoint endpoint;
    std::string dataCentre;
    unsigned slots = 0;
    bool isLeaving = false;
    bool claimsPrimary = false;
    std::int64_t startedAt = 0; ///< Unix milliseconds; tells a restarted server from the same one.
    std::uint64_t revision = 0; ///< Of the metadata store when the entry changed last.

    bool operator==(const BackendServer &) const = default;
};

/// Backend servers by id.
using ServerCatalogue = std::map<std::string, BackendServer, std::less<>>;

/// Where this daemon runs and whom it talks to.
struct Deployment
{
    std::string daemonId;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOfDataCentre;
    net::TcpEndpoint callerListen;
    net::TcpEndpoint readinessListen;
    net::TcpEndpoint peerListen; ///< TCP for work units, UDP for gossip.
    net::TcpEndpoint reportListen; ///< UDP, reports of demand.
    std::vector<net::TcpEndpoint> seeds; ///< Peer addresses of other daemons.
    net::TcpEndpoint metadataStore;
    net::TcpEndpoint promotionService;
    core::Milliseconds heartbeat{}; ///< Of backend servers.
    core::Milliseconds stopGrace{}; ///< From the request to stop to the end of the process.
    double processorShare = 1; ///< Of one core.
    bool checksFences = true; ///< The promotion service refuses orders of former holders.
    std::string text; ///< The settings as read, to notice changes.
};

}
