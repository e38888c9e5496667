#include "core/json.h"
#include "daemon/daemon.h"
#include "daemon/daemondetail.h"
#include "net/bytecounter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Requests to other daemons, the status API and the graceful shutdown.
namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds PeerControlTimeout{2'000};
constexpr core::Milliseconds DrainPollInterval{20};

}

net::awaitable<json::object> Daemon::exchangeWithPeer(std::string memberId, std::string path, json::object request)
{
    const auto member = this->view->members.find(memberId);
    net::TcpEndpoint endpoint;
    if (member != this->view->members.end()) {
        endpoint = member->second;
    } else {
        // Until the first view is published, only the gossip membership knows the address.
        for (const membership::Member &known : this->gossip->membership().members()) {
            if (known.id == memberId) {
                endpoint = net::parseEndpoint(known.address);
            }
        }
    }
    if (endpoint.port() == 0) {
        throw core::Error(core::ResultCode::PeerUnreachable, "unknown member " + memberId);
    }
    net::HttpRequest message = net::jsonRequest(path, request);
    const net::HttpResponse response = co_await this->peers->exchange(endpoint, std::move(message), PeerControlTimeout);
    json::object answer = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    throwIfError(response.status, answer);
    co_return answer;
}

net::awaitable<net::HttpResponse> Daemon::handleAdmin(net::HttpRequest request)
{
    if (request.method != "GET" || request.target != "/admin/status") {
        co_return net::errorResponse(core::ResultCode::UnknownPath, core::Outcome::NotRun, "unknown path or method");
    }
    const json::object body = this->status();
    co_return net::jsonResponse(200, body);
}

json::object Daemon::status() const
{
    json::array members;
    for (const membership::Member &member : this->gossip->membership().members()) {
        members.push_back(json::object{{"id", member.id},
                                       {"data_centre", member.dataCentre},
                                       {"state", membership::memberStateName(member.state)},
                                       {"revision", member.configRevision}});
    }
    json::object homes;
    for (const auto &[server, home] : this->view->homes) {
        homes[server] = home.member;
    }
    json::object primaries;
    for (const auto &[group, primary] : this->view->groups) {
        primaries[group] = json::object{{"term", primary.term}, {"server", primary.primaryServer}};
    }
    const net::UdpCounters &counters = this->gossip->counters();
    return {
        {"daemon", this->settings.id},
        {"data_centre", this->settings.dataCentre},
        {"revision", this->view->catalogue ? this->view->catalogue->revision : 0},
        {"ready", this->view->ready},
        {"isolated", this->view->isolated},
        {"leaving", this->drainStarted.load()},
        {"relay", this->relay},
        {"members", std::move(members)},
        {"homes", std::move(homes)},
        {"primaries", std::move(primaries)},
        {"control_cpu_s", threadCpuSeconds()},
        {"gossip_bytes", counters.bytesIn + counters.bytesOut},
        {"control_bytes", counters.bytesIn + counters.bytesOut + net::threadBytes()},
        {"store_calls", this->store->callCount()},
    };
}

net::awaitable<void> Daemon::drain()
{
    const core::TimePoint start = core::Clock::now();
    const core::TimePoint end = start + this->settings.drainLimit;
    this->log.line("shutdown").field("phase", "drain").field("reason", "stop signal");
    this->drainStarted = true;
    membership::StateValue draining;
    draining.number = 1;
    draining.version = static_cast<std::int64_t>(startIncarnation());
    const std::string key = std::string(DrainingStatePrefix) + this->settings.id;
    this->gossip->setState(key, draining);
    this->state.draining.insert(this->settings.id);
    this->scheduleViewUpdate();
    asio::steady_timer timer(this->control);
    timer.expires_after(this->settings.drainLag);
    co_await timer.async_wait(UseTuple);
    this->traffic->stopAccepting();
    while (core::Clock::now() < end) {
        const std::size_t activeOperations = co_await this->traffic->activeOperations();
        if (activeOperations == 0 && this->traffic->activeRequests() == 0) {
            break;
        }
        timer.expires_after(DrainPollInterval);
        co_await timer.async_wait(UseTuple);
    }
    this->peerFrontend->stop();
    this->gossip->leave();
    this->log.line("shutdown")
        .field("phase", "exit")
        .field("duration_ms", core::toMilliseconds(core::Clock::now() - start));
    this->stopped = true;
    this->configuration->stop();
    this->failover->stop();
    this->admission->stop();
    this->control.stop();
}

}
