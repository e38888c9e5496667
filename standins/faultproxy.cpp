#include "standins/faultproxy.h"

#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <string>

namespace endiveshore::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ChunkBytes = 16 * 1024;

// A direction stops reading while this many chunks are delayed, so that a long delay does not use unbounded memory.
constexpr std::size_t MaxDelayedChunks = 1'024;

constexpr std::chrono::milliseconds CloseCheckInterval{20};

constexpr std::pair<std::string_view, RouteFaults::Cut> CutNames[] = {
    {"none", RouteFaults::Cut::None},
    {"both", RouteFaults::Cut::Both},
    {"to_target", RouteFaults::Cut::ToTarget},
    {"from_target", RouteFaults::Cut::FromTarget},
};

std::string_view cutName(RouteFaults::Cut cut)
{
    for (const auto &[name, value] : CutNames) {
        if (value == cut) {
            return name;
        }
    }
    return "none";
}

}

struct FaultProxy::Route
{
    Route(asio::io_context &context, ProxyRoute addresses)
        : addresses(addresses)
        , acceptor(context)
    {
    }

    ProxyRoute addresses;
    asio::ip::tcp::acceptor acceptor;
    RouteFaults faults;
    std::list<std::weak_ptr<Link>> links;
    std::int64_t accepted = 0;
    std::int64_t bytesDiscarded = 0;
};

struct FaultProxy::Link
{
    Link(Route &route, asio::ip::tcp::socket client)
        : route(route)
        , client(std::move(client))
        , target(this->client.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->target.close(ignored);
    }

    bool isCut(bool toTarget) const
    {
        const RouteFaults::Cut cut = this->route.faults.cut;
        return this->silent || cut == RouteFaults::Cut::Both
            || cut == (toTarget ? RouteFaults::Cut::ToTarget : RouteFaults::Cut::FromTarget);
    }

    Route &route;
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    bool silent = false;
    /// By direction: bytes were discarded. Later bytes are discarded too, because the receiver must not see a stream
    /// with a gap.
    std::array<bool, 2> hasGap{};
};

FaultProxy::FaultProxy(asio::io_context &context, std::vector<ProxyRoute> routes, net::TcpEndpoint control)
    : context(context)
    , controlEndpoint(control)
{
    for (const ProxyRoute &route : routes) {
        this->routes.push_back(std::make_unique<Route>(context, route));
    }
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::start()
{
    for (const std::unique_ptr<Route> &route : this->routes) {
        const net::TcpEndpoint &endpoint = route->addresses.listen;
        route->acceptor.open(endpoint.protocol());
        route->acceptor.set_option(asio::socket_base::reuse_address(true));
        route->acceptor.bind(endpoint);
        route->acceptor.listen();
        asio::co_spawn(this->context, this->accept(*route), asio::detached);
    }
    this->server = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &) { return this->control(std::move(request)); });
    this->server->listen(this->context.get_executor(), this->controlEndpoint);
}

net::awaitable<net::HttpResponse> FaultProxy::control(net::HttpRequest request)
{
    if (request.target != "/control") {
        throw core::Error(core::ResultCode::UnknownPath, "only /control exists");
    }
    if (!request.body.empty()) {
        boost::leaf::result<json::object> parsed = core::parseJsonObject(request.body);
        if (!parsed) {
            throw core::Error(core::ResultCode::MalformedRequest, "a JSON object is required");
        }
        const json::object &change = *parsed;
        const bool all = core::jsonString(change, "route") == "all";
        const std::int64_t index = core::jsonInteger(change, "route", -1);
        if (!all && (index < 0 || index >= static_cast<std::int64_t>(this->routes.size()))) {
            throw core::Error(core::ResultCode::MalformedRequest, "route: a route number or \"all\" is required");
        }
        for (std::size_t number = 0; number < this->routes.size(); ++number) {
            if (all || number == static_cast<std::size_t>(index)) {
                this->applyControl(*this->routes[number], change);
            }
        }
    }
    json::array state;
    for (const std::unique_ptr<Route> &route : this->routes) {
        std::erase_if(route->links, [](const std::weak_ptr<Link> &link) { return link.expired(); });
        state.push_back(json::object{{"delay_ms", route->faults.delayMs},
                                     {"cut", cutName(route->faults.cut)},
                                     {"refuse", route->faults.refuse},
                                     {"open", route->links.size()},
                                     {"accepted", route->accepted},
                                     {"bytes_discarded", route->bytesDiscarded}});
    }
    co_return net::jsonResponse(200, json::object{{"routes", std::move(state)}});
}

void FaultProxy::applyControl(Route &route, const json::object &request)
{
    route.faults.delayMs = core::jsonInteger(request, "delay_ms", route.faults.delayMs);
    route.faults.refuse = core::jsonBool(request, "refuse", route.faults.refuse);
    const std::string cut = core::jsonString(request, "cut", cutName(route.faults.cut));
    bool known = false;
    for (const auto &[name, value] : CutNames) {
        if (name == cut) {
            route.faults.cut = value;
            known = true;
        }
    }
    if (!known) {
        throw core::Error(core::ResultCode::MalformedRequest, "cut: unknown value " + cut);
    }
    const bool silence = core::jsonBool(request, "silence_open");
    for (const std::weak_ptr<Link> &weak : route.links) {
        const std::shared_ptr<Link> link = weak.lock();
        if (link == nullptr) {
            continue;
        }
        link->silent = link->silent || silence;
        if (route.faults.refuse) {
            link->close();
        }
    }
}

net::awaitable<void> FaultProxy::accept(Route &route)
{
    while (true) {
        auto [acceptError, socket] = co_await route.acceptor.async_accept(UseTuple);
        if (acceptError) {
            asio::steady_timer pause(this->context, std::chrono::milliseconds(10));
            co_await pause.async_wait(UseTuple);
            continue;
        }
        ++route.accepted;
        if (route.faults.refuse) {
            // With a linger time of 0, the client receives a reset instead of an orderly close.
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            continue;
        }
        std::erase_if(route.links, [](const std::weak_ptr<Link> &link) { return link.expired(); });
        auto link = std::make_shared<Link>(route, std::move(socket));
        route.links.push_back(link);
        asio::co_spawn(this->context, this->connect(link), asio::detached);
    }
}

net::awaitable<void> FaultProxy::connect(std::shared_ptr<Link> link)
{
    auto [connectError] = co_await link->target.async_connect(link->route.addresses.target, UseTuple);
    if (connectError) {
        link->close();
        co_return;
    }
    boost::system::error_code ignored;
    link->client.set_option(asio::ip::tcp::no_delay(true), ignored);
    link->target.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::co_spawn(this->context, this->forward(link, true), asio::detached);
    asio::co_spawn(this->context, this->forward(link, false), asio::detached);
}

namespace {

using Clock = std::chrono::steady_clock;

struct DelayedChunk
{
    Clock::time_point due;
    std::string bytes;
    bool end = false;
};

/// Delayed chunks of one direction, in order of arrival.
struct Channel
{
    explicit Channel(const net::Executor &executor)
        : wake(executor)
    {
    }

    std::deque<DelayedChunk> chunks;
    asio::steady_timer wake;
    bool closed = false;
};

net::awaitable<void> deliver(std::shared_ptr<Channel> channel,
                             asio::ip::tcp::socket &destination,
                             [[maybe_unused]] std::shared_ptr<void> owner)
{
    while (!channel->closed) {
        const auto next = channel->chunks.empty() ? Clock::time_point::max() : channel->chunks.front().due;
        if (next > Clock::now()) {
            channel->wake.expires_at(next);
            co_await channel->wake.async_wait(UseTuple);
            continue;
        }
        const DelayedChunk chunk = std::move(channel->chunks.front());
        channel->chunks.pop_front();
        boost::system::error_code ignored;
        if (chunk.end) {
            destination.shutdown(asio::socket_base::shutdown_send, ignored);
            break;
        }
        auto [writeError, written] = co_await asio::async_write(destination, asio::buffer(chunk.bytes), UseTuple);
        if (writeError) {
            break;
        }
    }
    channel->closed = true;
}

}

net::awaitable<void> FaultProxy::forward(std::shared_ptr<Link> link, bool toTarget)
{
    asio::ip::tcp::socket &source = toTarget ? link->client : link->target;
    asio::ip::tcp::socket &destination = toTarget ? link->target : link->client;
    auto channel = std::make_shared<Channel>(this->context.get_executor());
    asio::co_spawn(this->context, deliver(channel, destination, link), asio::detached);
    std::array<char, ChunkBytes> buffer{};
    while (!channel->closed) {
        if (channel->chunks.size() >= MaxDelayedChunks) {
            asio::steady_timer pause(this->context, std::chrono::milliseconds(1));
            co_await pause.async_wait(UseTuple);
            continue;
        }
        auto [readError, length] = co_await source.async_read_some(asio::buffer(buffer), UseTuple);
        bool &hasGap = link->hasGap[toTarget ? 1 : 0];
        if (readError && (readError != asio::error::eof || hasGap || link->isCut(toTarget))) {
            // While a direction is cut, the close of one side is hidden from the other side, as in a network partition.
            while (link->isCut(toTarget) && link->client.is_open()) {
                asio::steady_timer pause(this->context, CloseCheckInterval);
                co_await pause.async_wait(UseTuple);
            }
            link->close();
            break;
        }
        if (hasGap || link->isCut(toTarget)) {
            hasGap = true;
            link->route.bytesDiscarded += static_cast<std::int64_t>(length);
            continue;
        }
        const auto due = Clock::now() + std::chrono::milliseconds(link->route.faults.delayMs);
        channel->chunks.push_back({.due = due, .bytes = std::string(buffer.data(), length), .end = !!readError});
        channel->wake.cancel();
        if (readError) {
            co_return;
        }
    }
    channel->closed = true;
    channel->wake.cancel();
}

}
