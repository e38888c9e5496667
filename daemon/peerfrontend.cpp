#include "daemon/peerfrontend.h"

#include "core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

struct TransactionPath
{
    std::string_view target;
    TransactionStep step;
};

constexpr std::string_view BeginPath = "/peer/transaction/begin";

constexpr TransactionPath TransactionPaths[] = {
    {BeginPath, TransactionStep::Begin},
    {"/peer/transaction/commit", TransactionStep::Commit},
    {"/peer/transaction/rollback", TransactionStep::Rollback},
};

}

PeerFrontend::PeerFrontend(net::Executor control, TrafficPool &traffic)
    : control(std::move(control))
    , traffic(traffic)
{
}

void PeerFrontend::addHandler(std::string path, RequestHandler handler)
{
    this->controlHandlers.emplace(std::move(path), std::move(handler));
}

void PeerFrontend::addTrafficHandler(std::string path, RequestHandler handler)
{
    this->trafficHandlers.emplace(std::move(path), std::move(handler));
}

void PeerFrontend::listen(const net::TcpEndpoint &endpoint)
{
    for (TrafficThread *thread : this->traffic.allThreads()) {
        auto server = std::make_shared<net::PeerServer>(
            [this, thread](net::HttpRequest request) { return this->handle(*thread, std::move(request)); });
        server->listen(thread->executor(), endpoint, true);
        this->servers.push_back(std::move(server));
    }
}

void PeerFrontend::stop()
{
    for (const std::shared_ptr<net::PeerServer> &server : this->servers) {
        server->stop();
    }
}

net::awaitable<net::HttpResponse> PeerFrontend::handle(TrafficThread &thread, net::HttpRequest request)
{
    try {
        const boost::json::object answer = co_await this->dispatch(thread, request);
        net::HttpResponse response = net::jsonResponse(200, answer);
        if (request.target == BeginPath) {
            const boost::json::object message
                = core::valueOrThrow([&request] { return core::parseJsonObject(request.body); });
            StatementCall call = statementCallFromJson(message, core::Clock::now());
            call.transaction = core::jsonString(answer, "result");
            response.onUndelivered = [&thread, call] { thread.abandonTransaction(call); };
        }
        co_return response;
    } catch (const core::Error &error) {
        co_return net::errorResponse(error.code, error.outcome, error.message);
    }
}

net::awaitable<boost::json::object> PeerFrontend::dispatch(TrafficThread &thread, const net::HttpRequest &request)
{
    boost::json::object message = core::valueOrThrow([&request] { return core::parseJsonObject(request.body); });
    if (request.target == "/peer/statement") {
        StatementCall call = statementCallFromJson(message, core::Clock::now());
        const StatementAnswer answer = co_await thread.executeForPeer(std::move(call));
        co_return toJson(answer);
    }
    for (const TransactionPath &path : TransactionPaths) {
        if (path.target != request.target) {
            continue;
        }
        StatementCall call = statementCallFromJson(message, core::Clock::now());
        const StatementAnswer answer = co_await thread.transactForPeer(path.step, std::move(call));
        co_return toJson(answer);
    }
    const auto trafficHandler = this->trafficHandlers.find(request.target);
    if (trafficHandler != this->trafficHandlers.end()) {
        co_return co_await trafficHandler->second(std::move(message));
    }
    const auto handler = this->controlHandlers.find(request.target);
    if (handler == this->controlHandlers.end()) {
        throw core::Error(core::ResultCode::UnknownPath, "unknown peer path");
    }
    net::awaitable<boost::json::object> work = handler->second(std::move(message));
    co_return co_await asio::co_spawn(this->control, std::move(work), asio::use_awaitable);
}

}
