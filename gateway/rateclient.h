#pragma once

#include "gateway/gatewayview.h"
#include "gateway/ratelimiter.h"
#include "net/peerclient.h"

#include <boost/json/fwd.hpp>

#include <memory>

namespace endiveshore::gateway {

/// Path of requests between daemons for operations from a workspace's regional rate pool.
inline constexpr std::string_view RatePath = "/peer/rate";

/// Admits operations under the rates of their workspaces: from this daemon's own rate share or, if that share is too
/// small to hold a few operations, from the rate pool that one daemon of the region keeps for the workspace. There is
/// one instance per traffic thread.
class RateClient
{
public:
    RateClient(net::Executor executor, std::string daemonId, net::PeerClient &peers, bool ordersByPriority = false);

    void setView(std::shared_ptr<const GatewayView> view);

    RateLimiter &limiter();

    /// Books one operation of @p workspace and waits until it may start. Returns false at once if the operation could
    /// only start after @p waitUntil, or if the rate is kept for operations that are more urgent than @p rank.
    net::awaitable<bool> acquire(std::string workspace, core::TimePoint waitUntil, core::PriorityRank rank = 0);

    /// Gives back an admitted operation that no server ran, so that this daemon can admit a further operation of the
    /// workspace.
    void returnOperation(std::string_view workspace);

    /// Answers a request of another daemon for an operation from a pool of this daemon.
    boost::json::object serve(const boost::json::object &request);

private:
    net::awaitable<RateAnswer>
    requestFromPool(std::string workspace, core::TimePoint waitUntil, core::PriorityRank rank);

    net::Executor executor;
    std::string daemonId;
    net::PeerClient &peers;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    RateLimiter rates;
};

}
