#include "gateway/rateclient.h"

#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// The pool of a workspace is in the same region, a few ms away.
constexpr std::chrono::milliseconds PoolTimeout{250};

}

RateClient::RateClient(net::Executor executor, std::string daemonId, net::PeerClient &peers)
    : executor(std::move(executor))
    , daemonId(std::move(daemonId))
    , peers(peers)
{
}

void RateClient::setView(std::shared_ptr<const GatewayView> newView)
{
    this->view = std::move(newView);
}

RateGate &RateClient::gate()
{
    return this->rates;
}

net::awaitable<bool> RateClient::acquire(std::string workspace, core::TimePoint waitUntil)
{
    this->rates.countDemand(workspace);
    while (true) {
        const bool isPooled = this->rates.isPooled(workspace);
        if (isPooled && this->rates.tryTakeReturned(workspace)) {
            co_return true;
        }
        PoolAnswer answer;
        if (isPooled) {
            const core::Duration left = waitUntil - core::Clock::now();
            answer = co_await this->askPool(workspace, std::clamp<core::Duration>(left, {}, PoolTimeout));
        }
        // The own share of a pooled workspace is all there is while its pool cannot be reached.
        if (answer.granted || (!answer.isReached && this->rates.tryTake(workspace, core::Clock::now()))) {
            co_return true;
        }
        core::Duration wait = answer.retryAfter;
        if (!answer.isReached) {
            const core::Duration untilOwn = this->rates.timeUntilNext(workspace, core::Clock::now());
            wait = isPooled ? std::min(untilOwn, wait) : untilOwn;
        }
        if (wait > waitUntil - core::Clock::now()) {
            co_return false;
        }
        asio::steady_timer pause(this->executor, wait);
        co_await pause.async_wait(UseTuple);
    }
}

net::awaitable<PoolAnswer> RateClient::askPool(std::string workspace, core::Duration timeout)
{
    const std::string home = this->view->rateHome(workspace);
    if (home == this->daemonId) {
        co_return this->rates.takeFromPool(workspace, core::Clock::now());
    }
    PoolAnswer refused;
    const auto peer = this->view->daemons.find(home);
    if (peer == this->view->daemons.end() || timeout <= core::Duration::zero()) {
        co_return refused;
    }
    const net::TcpEndpoint endpoint = peer->second.endpoint;
    net::HttpRequest request = net::jsonRequest(RatePath, json::object{{"w", workspace}});
    try {
        const net::HttpResponse response = co_await this->peers.exchange(endpoint, std::move(request), timeout);
        const json::object body = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
        co_return PoolAnswer{.isReached = core::jsonBool(body, "k"),
                             .granted = core::jsonBool(body, "g"),
                             .retryAfter = core::Milliseconds(core::jsonInteger(body, "r"))};
    } catch (const core::Error &) {
        // The view names another home as soon as the loss of this one is known; until then the own share serves.
        co_return refused;
    }
}

void RateClient::giveBack(std::string_view workspace)
{
    this->rates.giveBack(workspace);
}

json::object RateClient::serve(const json::object &request)
{
    const PoolAnswer answer = this->rates.takeFromPool(core::jsonString(request, "w"), core::Clock::now());
    return {{"k", answer.isReached}, {"g", answer.granted}, {"r", answer.retryAfter.count()}};
}

}
