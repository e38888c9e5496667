#include "daemon/admission.h"

#include "core/error.h"
#include "core/hashing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;

std::map<std::string, limits::ShareLimits> workspaceLimits(const Catalogue &catalogue)
{
    std::map<std::string, limits::ShareLimits> limits;
    for (const auto &[name, service] : catalogue.services) {
        for (const document::Workspace &workspace : service->workspaces) {
            limits[groupKey(name, workspace.name)]
                = {.ratePerSecond = workspace.ratePerSecond, .burst = workspace.burst};
        }
    }
    return limits;
}

ShareAdmission::ShareAdmission(net::Executor executor, std::string memberId, PeerExchange exchange)
    : executor(executor)
    , memberId(std::move(memberId))
    , view(std::make_shared<const FleetView>())
{
    ShareServiceOptions options;
    options.memberId = this->memberId;
    ShareServiceCallbacks callbacks;
    callbacks.exchange = std::move(exchange);
    callbacks.allocatorOf = [this](std::string_view workspace) { return this->allocatorOf(workspace); };
    callbacks.seesMajority = [this] { return this->view->seesMajority; };
    callbacks.members = [this] { return this->view->knownMembers; };
    this->service = std::make_shared<ShareService>(executor, options, callbacks);
}

void ShareAdmission::start()
{
    this->service->start();
}

void ShareAdmission::stop()
{
    this->service->stop();
}

void ShareAdmission::setView(std::shared_ptr<const FleetView> newView)
{
    if (newView->ready) {
        this->service->setLimits(workspaceLimits(*newView->catalogue));
    }
    asio::post(this->executor, [this, newView = std::move(newView)] {
        this->view = newView;
        this->allocators.clear();
    });
}

net::awaitable<void> ShareAdmission::acquire(std::string workspace, core::TimePoint deadline)
{
    co_await this->service->acquire(std::move(workspace), deadline);
}

net::awaitable<boost::json::object> ShareAdmission::serve(boost::json::object request)
{
    co_return co_await this->service->serve(std::move(request));
}

std::string ShareAdmission::allocatorOf(std::string_view workspace)
{
    const auto known = this->allocators.find(workspace);
    if (known != this->allocators.end()) {
        return known->second;
    }
    const std::vector<std::string> ordered = core::rendezvousOrder(workspace, this->view->servingMembers);
    std::string owner = ordered.empty() ? this->memberId : ordered.front();
    this->allocators.emplace(std::string(workspace), owner);
    return owner;
}

StaticAdmission::StaticAdmission(net::Executor executor)
    : executor(std::move(executor))
{
}

void StaticAdmission::start()
{
}

void StaticAdmission::stop()
{
}

void StaticAdmission::setView(std::shared_ptr<const FleetView> view)
{
    if (!view->ready) {
        return;
    }
    asio::post(this->executor, [this, view = std::move(view)] {
        const double daemons = static_cast<double>(std::max<std::size_t>(1, view->servingMembers.size()));
        const core::TimePoint now = core::Clock::now();
        for (const auto &[workspace, limits] : workspaceLimits(*view->catalogue)) {
            const limits::ShareLimits part{.ratePerSecond = limits.ratePerSecond / daemons,
                                           .burst = std::max(1.0, limits.burst / daemons)};
            const auto [bucket, added] = this->buckets.try_emplace(workspace, part, now);
            if (!added) {
                bucket->second.setLimits(part, now);
            }
        }
    });
}

net::awaitable<void> StaticAdmission::acquire(std::string workspace, core::TimePoint)
{
    const auto take = [this, workspace = std::move(workspace)]() -> net::awaitable<bool> {
        const auto bucket = this->buckets.find(workspace);
        co_return bucket != this->buckets.end() && bucket->second.tryTake(1, core::Clock::now());
    };
    const bool taken = co_await asio::co_spawn(this->executor, take(), asio::use_awaitable);
    if (!taken) {
        throw core::Error(core::ResultCode::RateExceeded, "the rate of the workspace is used up");
    }
}

net::awaitable<boost::json::object> StaticAdmission::serve(boost::json::object)
{
    throw core::Error(core::ResultCode::UnknownPath, "this daemon does not share rates with other daemons");
    co_return boost::json::object();
}

}
