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
        const core::TimePoint now = core::Clock::now();
        // The own share comes first: it costs no message, and it is all there is when the pool cannot be reached.
        if (this->rates.tryTake(workspace, now)) {
            co_return true;
        }
        core::Duration wait = this->rates.timeUntilNext(workspace, now);
        if (this->rates.isPooled(workspace)) {
            const core::Duration timeout = std::clamp<core::Duration>(waitUntil - now, {}, PoolTimeout);
            const PoolAnswer answer = co_await this->askPool(workspace, timeout);
            if (answer.granted) {
                co_return true;
            }
            wait = std::min<core::Duration>(wait, answer.retryAfter);
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
        co_return PoolAnswer{.granted = core::jsonBool(body, "g"),
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
    return {{"g", answer.granted}, {"r", answer.retryAfter.count()}};
}

}
