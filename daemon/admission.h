#pragma once

#include "daemon/fleetview.h"
#include "daemon/shareservice.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endiveshore::daemon {

/// Limits of all workspaces of @p catalogue by groupKey(service, workspace).
std::map<std::string, limits::ShareLimits> workspaceLimits(const Catalogue &catalogue);

/// How the daemon keeps workspaces within their rates. Called on any thread unless said otherwise.
class Admission
{
public:
    virtual ~Admission() = default;

    virtual void start() = 0;
    virtual void stop() = 0;

    /// Takes over limits and members of a published view.
    virtual void setView(std::shared_ptr<const FleetView> view) = 0;

    /// Waits for one token of @p workspace (groupKey form). Throws core::Error(RateExceeded).
    virtual net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline) = 0;

    /// Answers /peer/shares.
    virtual net::awaitable<boost::json::object> serve(boost::json::object request) = 0;
};

/// Tokens lent by the workspace's allocator daemon.
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
    std::shared_ptr<const FleetView> view; ///< Used on the executor only.
    std::map<std::string, std::string, std::less<>> allocators; ///< Owner by workspace for the present view.
    std::shared_ptr<ShareService> service;
};

/// Every daemon enforces rate / daemons by itself. Baseline for measurements: it refuses requests inside the rate when
/// the balancer is uneven.
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
    std::map<std::string, limits::TokenBucket> buckets; ///< Used on the executor only.
};

}
