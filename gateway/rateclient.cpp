#include "gateway/rateclient.h"

#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Timeout of a request to the pool, which is in the same region, a few ms away.
constexpr std::chrono::milliseconds PoolTimeout{250};
/// Interval between attempts to reach the pool of a workspace.
constexpr std::chrono::milliseconds PoolRetryInterval{100};
/// Interval between checks for a share that is not known yet. Shares are published a few ms after the configuration.
constexpr std::chrono::milliseconds ShareRetryInterval{10};

core::Duration timeLeft(core::TimePoint until)
{
    return std::max<core::Duration>(until - core::Clock::now(), core::Duration::zero());
}

}

RateClient::RateClient(net::Executor executor, std::string daemonId, net::PeerClient &peers, bool ordersByPriority)
    : executor(std::move(executor))
    , daemonId(std::move(daemonId))
    , peers(peers)
    , rates(ordersByPriority)
{
}

void RateClient::setView(std::shared_ptr<const GatewayView> newView)
{
    const std::shared_ptr<const GatewayView> before = std::exchange(this->view, std::move(newView));
    // Before the first view with homes, no other daemon can have served the pools from this daemon's point of view.
    if (before == nullptr || before->rateHomes.empty() || before->rateHomes == this->view->rateHomes) {
        return;
    }
    const auto isTakenOver = [&](const std::string &workspace) {
        return this->view->rateHome(workspace) == this->daemonId && before->rateHome(workspace) != this->daemonId;
    };
    this->rates.emptyPools(isTakenOver, core::Clock::now());
}

RateLimiter &RateClient::limiter()
{
    return this->rates;
}

net::awaitable<bool> RateClient::acquire(std::string workspace, core::TimePoint waitUntil, core::PriorityRank rank)
{
    this->rates.countDemand(workspace, rank);
    while (true) {
        const bool isPooled = this->rates.isPooled(workspace);
        if (isPooled && this->rates.tryTakeReturned(workspace)) {
            co_return true;
        }
        const RateAnswer answer = isPooled ? co_await this->requestFromPool(workspace, waitUntil, rank)
                                           : this->rates.book(workspace, timeLeft(waitUntil), core::Clock::now(), rank);
        if (answer.isKnown && !answer.startAfter) {
            co_return false;
        }
        // While the pool of a workspace is unreachable, operations are admitted only from this daemon's fallback
        // bucket.
        const bool isAdmittedByFallback = isPooled && !answer.isKnown
            && this->rates.book(workspace, core::Duration::zero(), core::Clock::now(), rank).startAfter.has_value();
        if (isAdmittedByFallback) {
            co_return true;
        }
        const core::Duration wait = answer.startAfter.value_or(isPooled ? PoolRetryInterval : ShareRetryInterval);
        if (!answer.isKnown && wait > timeLeft(waitUntil)) {
            co_return false;
        }
        if (wait > core::Duration::zero()) {
            asio::steady_timer pause(this->executor, wait);
            co_await pause.async_wait(UseTuple);
        }
        if (answer.isKnown) {
            co_return true;
        }
    }
}

net::awaitable<RateAnswer>
RateClient::requestFromPool(std::string workspace, core::TimePoint waitUntil, core::PriorityRank rank)
{
    const std::string home = this->view->rateHome(workspace);
    const core::Duration longestWait = timeLeft(waitUntil);
    if (home == this->daemonId) {
        co_return this->rates.bookFromPool(workspace, longestWait, core::Clock::now(), rank);
    }
    const auto peer = this->view->daemons.find(home);
    if (peer == this->view->daemons.end() || longestWait == core::Duration::zero()) {
        co_return RateAnswer();
    }
    const net::TcpEndpoint endpoint = peer->second.endpoint;
    json::object asked{{"w", workspace}, {"m", core::toMilliseconds(longestWait)}};
    if (this->rates.ordersByPriority()) {
        asked.emplace("p", rank);
    }
    net::HttpRequest request = net::jsonRequest(RatePath, asked);
    try {
        const net::HttpResponse response = co_await this->peers.exchange(
            endpoint, std::move(request), std::min<core::Duration>(longestWait, PoolTimeout));
        const json::object body = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
        RateAnswer answer{.isKnown = core::jsonBool(body, "k"), .startAfter = {}};
        if (core::jsonBool(body, "g")) {
            answer.startAfter = core::Milliseconds(core::jsonInteger(body, "r"));
        }
        co_return answer;
    } catch (const core::Error &) {
        // Once the loss of this pool's daemon is known, the view names a different daemon. Until then the fallback
        // bucket is used.
        co_return RateAnswer();
    }
}

void RateClient::returnOperation(std::string_view workspace)
{
    this->rates.returnOperation(workspace);
}

json::object RateClient::serve(const json::object &request)
{
    const core::Milliseconds longestWait(core::jsonInteger(request, "m"));
    // A daemon that sends no rank is assumed to ask for the least urgent.
    const core::PriorityRank rank
        = core::priorityRank(core::jsonInteger(request, "p", static_cast<std::int64_t>(core::PriorityRanks)));
    const RateAnswer answer
        = this->rates.bookFromPool(core::jsonString(request, "w"), longestWait, core::Clock::now(), rank);
    return {{"k", answer.isKnown},
            {"g", answer.startAfter.has_value()},
            {"r", core::toMilliseconds(answer.startAfter.value_or(core::Duration::zero()))}};
}

}
