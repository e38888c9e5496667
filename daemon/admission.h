#pragma once

#include "daemon/fleetview.h"
#include "daemon/shareservice.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endiveshore::daemon {

/// Rate limits of all workspaces in @p catalogue, by groupKey(service, workspace).
std::map<std::string, limits::ShareLimits> workspaceLimits(const Catalogue &catalogue);

/// Enforces the rates of the workspaces on the requests that this daemon admits. All functions may be called on any
/// thread.
class Admission
{
public:
    virtual ~Admission() = default;

    virtual void start() = 0;
    virtual void stop() = 0;

    /// Applies the limits and the members of a newly published view.
    virtual void setView(std::shared_ptr<const FleetView> view) = 0;

    /// Waits for one token of @p workspace, given in the form of groupKey(). Throws core::Error(RateExceeded).
    virtual net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline) = 0;

    /// Handles a request to /peer/shares.
    virtual net::awaitable<boost::json::object> serve(boost::json::object request) = 0;
};

/// Spends tokens that the workspace's allocator daemon lends to this daemon.
class ShareAdmission final : public Admission
{
public:
    /// Sends a request to /peer/shares of another daemon, on the executor of this object.
    using PeerExchange
        = std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)>;

    ShareAdmission(net::Executor executor, std::string memberId, PeerExchange exchange);

    void start() override;
    void stop() override;
    void setView(std::shared_ptr<const FleetView> view) override;
    net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline) override;
    net::awaitable<boost::json::object> serve(boost::json::object request) override;

private:
    std::string allocatorOf(std::string_view workspace);

    net::Executor executor;
    std::string memberId;
    std::shared_ptr<const FleetView> view; ///< Accessed on the executor only.
    /// Allocator by workspace; a cache for the current view.
    std::map<std::string, std::string, std::less<>> allocators;
    std::shared_ptr<ShareService> service;
};

/// Gives every daemon a fixed part of each rate: the rate divided by the number of daemons. Baseline for measurements;
/// refuses requests within the rate when the load balancer spreads them unevenly.
class StaticAdmission final : public Admission
{
public:
    explicit StaticAdmission(net::Executor executor);

    void start() override;
    void stop() override;
    void setView(std::shared_ptr<const FleetView> view) override;
    net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline) override;
    net::awaitable<boost::json::object> serve(boost::json::object request) override;

private:
    net::Executor executor;
    std::map<std::string, limits::TokenBucket> buckets; ///< Accessed on the executor only.
};

}
