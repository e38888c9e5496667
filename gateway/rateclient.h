#pragma once

#include "gateway/gatewayview.h"
#include "gateway/rategate.h"
#include "net/peerclient.h"

#include <boost/json/fwd.hpp>

#include <memory>

namespace endiveshore::gateway {

/// Path on which daemons ask for operations of a workspace's regional pool.
inline constexpr std::string_view RatePath = "/peer/rate";

/// Admits operations under the rates of their workspaces: from this daemon's own share, or, where that share is too
/// small to hold a few operations, from the pool that one daemon of the region keeps for the workspace. One per traffic
/// thread.
class RateClient
{
public:
    RateClient(net::Executor executor, std::string daemonId, net::PeerClient &peers);

    void setView(std::shared_ptr<const GatewayView> view);

    RateGate &gate();

    /// Books one operation of @p workspace and waits for its turn. False, at once, if that comes after @p waitUntil.
    net::awaitable<bool> acquire(std::string workspace, core::TimePoint waitUntil);

    /// Returns an operation that no server has run. It serves the next one of the workspace at this daemon.
    void returnOperation(std::string_view workspace);

    /// Answers the request of another daemon for its pool.
    boost::json::object serve(const boost::json::object &request);

private:
    net::awaitable<RateAnswer> requestFromPool(std::string workspace, core::TimePoint waitUntil);

    net::Executor executor;
    std::string daemonId;
    net::PeerClient &peers;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    RateGate rates;
};

}
