#pragma once

#include "gateway/gatewayview.h"
#include "gateway/pooledserver.h"
#include "net/peerclient.h"

#include <functional>

namespace endiveshore::gateway {

struct WorkRouterOptions
{
    net::Executor executor;
    Deployment deployment;
    ServerLinkFactory links;
    telemetry::DecisionLog *log = nullptr;
};

/// Daemon that runs the units of one transaction.
struct UnitPlace
{
    std::string server;
    std::string daemon;
};

/// Runs units of work on this daemon's own pools or at the daemon that is the home of the server. One per traffic
/// thread.
class WorkRouter
{
public:
    explicit WorkRouter(WorkRouterOptions options);

    void setView(std::shared_ptr<const GatewayView> view);

    /// Runs @p unit at the first daemon in the server's order that can reach it. @p place tells where it ran.
    net::awaitable<pooling::UnitResult> run(pooling::WorkUnit unit, UnitPlace &place);

    /// Runs a unit of an open transaction at the daemon that holds its lease.
    net::awaitable<pooling::UnitResult> runAt(pooling::WorkUnit unit, UnitPlace place);

    /// Runs @p unit, which must not change anything, at several daemons at once and returns the first answer of the
    /// server, or the last failure. Tells a dead server from one that some daemons cannot reach.
    net::awaitable<pooling::UnitResult> runHedged(pooling::WorkUnit unit);

    /// Runs a unit that another daemon sent, on this daemon's pool.
    net::awaitable<pooling::UnitResult> runForPeer(pooling::WorkUnit unit);

    /// To be called every 100 ms or so.
    void tick(core::TimePoint now);

    void close();

    /// Connections to other daemons, for requests besides units of work.
    net::PeerClient &peerClient();

    using PoolMap = std::map<std::string, std::shared_ptr<PooledServer>, std::less<>>;
    const PoolMap &pools() const;

private:
    std::shared_ptr<PooledServer> poolOf(const std::string &server);
    ConnectionAllowance allowanceFor(const BackendServer &server) const;
    std::vector<std::string> candidates(std::string_view server, core::TimePoint now) const;
    net::awaitable<pooling::UnitResult> runRemotely(pooling::WorkUnit unit, std::string daemon);

    WorkRouterOptions options;
    net::PeerClient peers;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    PoolMap byServer;
    std::map<std::pair<std::string, std::string>, core::TimePoint> avoidedUntil; ///< By server and daemon.
};

/// Path of units of work between daemons.
inline constexpr std::string_view WorkPath = "/peer/unit";

}
