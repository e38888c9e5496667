#pragma once

#include "core/boottime.h"
#include "gateway/connectionplan.h"
#include "gateway/gatewayview.h"
#include "gateway/pooledserver.h"
#include "net/peerclient.h"
#include "telemetry/metrics.h"

#include <functional>

namespace endiveshore::gateway {

class RegionMeter;

struct WorkRouterOptions
{
    net::Executor executor;
    Deployment deployment;
    ServerLinkFactory links;
    telemetry::DecisionLog *log = nullptr;
    const telemetry::Metrics *metrics = nullptr;
    const RegionMeter *meter = nullptr;
};

/// Server and daemon that run a unit, or all units of one transaction.
struct UnitPlace
{
    std::string server;
    std::string daemon;
};

/// Freshness proof that a pool of this daemon took at a primary.
struct TakenProof
{
    session::LogPosition position;
    core::BootTime takenAt;
};

/// Runs units of work on this daemon's own pools or sends them to the daemon that is the home of the server. There is
/// one instance per traffic thread.
class WorkRouter
{
public:
    explicit WorkRouter(WorkRouterOptions options);

    void setView(std::shared_ptr<const GatewayView> view);

    /// Runs @p unit at the first daemon, in the server's order of homes, that can reach the server. @p place returns
    /// where the unit ran. The unit is sent to no other daemon outside @p regions.
    net::awaitable<pooling::UnitResult>
    run(pooling::WorkUnit unit, UnitPlace &place, const routing::AllowedRegions &regions = Everywhere);

    /// Runs a unit of an open transaction at the daemon that holds the transaction's lease.
    net::awaitable<pooling::UnitResult> runAt(pooling::WorkUnit unit, UnitPlace place);

    /// Sends @p unit, which must not change any data, to several daemons at once and returns the first answer of the
    /// server, or the last failure. This distinguishes a failed server from a server that only some daemons cannot
    /// reach.
    net::awaitable<pooling::UnitResult> runHedged(pooling::WorkUnit unit);

    /// Runs a unit sent by another daemon on this daemon's pool.
    net::awaitable<pooling::UnitResult> runForPeer(pooling::WorkUnit unit);

    /// To be called about every 100 ms.
    void tick(core::TimePoint now);

    void close();

    /// Connections to other daemons, also used for requests other than units of work.
    net::PeerClient &peerClient();

    using PoolMap = std::map<std::string, std::shared_ptr<PooledServer>, std::less<>>;
    const PoolMap &pools() const;

    /// Loads of the servers whose home is this daemon; idle servers are left out.
    routing::ServerLoads serverLoads(core::TimePoint now) const;

    /// Newest proofs that the pools of this daemon took, by service, since the last call.
    std::map<std::string, TakenProof, std::less<>> takeProofs();

private:
    static const routing::AllowedRegions Everywhere;

    std::shared_ptr<PooledServer> poolOf(const std::string &server);
    ConnectionAllowance allowanceFor(const BackendServer &server) const;
    ConnectionPlan planFor(const BackendServer &server) const;
    std::vector<std::string> homesOf(std::string_view server) const;
    std::vector<std::string>
    candidates(std::string_view server, core::TimePoint now, const routing::AllowedRegions &regions) const;
    net::awaitable<pooling::UnitResult> runRemotely(pooling::WorkUnit unit, std::string daemon);
    /// Reads the answer of @p daemon to @p unit. Unless the answer itself says that the unit has not run, the unit may
    /// have run, also if the answer cannot be read.
    pooling::UnitResult
    readAnswer(const pooling::WorkUnit &unit, std::string_view daemon, const net::HttpResponse &response) const;

    WorkRouterOptions options;
    net::PeerClient peers;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    PoolMap byServer;
    std::map<std::string, TakenProof, std::less<>> takenProofs;
    /// Until when a daemon is avoided, by server (or `AllServers`) and daemon.
    std::map<std::pair<std::string, std::string>, core::TimePoint> avoidedUntil;
};

/// Path of units of work between daemons.
inline constexpr std::string_view WorkPath = "/peer/unit";

}
