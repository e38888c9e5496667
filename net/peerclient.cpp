#include "net/peerclient.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::net {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

}

struct PeerClient::Peer
{
    Peer(const Executor &executor, const TcpEndpoint &endpoint)
        : endpoint(endpoint)
        , socket(executor)
    {
    }

    bool isUsable() const
    {
        return this->session != nullptr && this->session->acceptsRequests();
    }

    void finishAttempt()
    {
        this->connecting = false;
        ++this->attempts;
        for (const std::shared_ptr<asio::steady_timer> &waiter : this->waiters) {
            waiter->cancel();
        }
        this->waiters.clear();
    }

    TcpEndpoint endpoint;
    asio::ip::tcp::socket socket; ///< Socket of the connection attempt in progress.
    std::shared_ptr<PeerSession> session;
    std::vector<std::weak_ptr<PeerSession>> replacedSessions; ///< Former sessions, which may still have open streams.
    bool connecting = false;
    bool abandoned = false; ///< The client was closed; the attempt must not open a session or call onRefused.
    std::uint64_t attempts = 0; ///< Number of finished connection attempts.
    std::string failure; ///< Error of the last attempt.
    std::vector<std::shared_ptr<asio::steady_timer>> waiters; ///< Cancelled when the attempt finishes.
};

PeerClient::PeerClient(const Executor &executor, PeerClientOptions options)
    : executor(executor)
    , options(std::move(options))
{
}

PeerClient::~PeerClient()
{
    this->closeAll();
}

awaitable<HttpResponse> PeerClient::exchange(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout)
{
    const core::TimePoint deadline = core::Clock::now() + timeout;
    const auto known = this->peers.find(endpoint);
    const bool reused = known != this->peers.end() && known->second->session != nullptr;
    std::shared_ptr<PeerSession> session = co_await this->openSession(endpoint, deadline);
    HttpRequest first = request;
    try {
        HttpResponse response = co_await session->exchange(std::move(first), deadline - core::Clock::now());
        this->reportExchange(endpoint, request, response);
        co_return response;
    } catch (const core::Error &error) {
        // An existing connection may have closed before the request was sent; the request is then sent on a new
        // connection.
        if (error.outcome != core::Outcome::NotRun || !reused || session->acceptsRequests()
            || core::Clock::now() >= deadline) {
            throw;
        }
    }
    session = co_await this->openSession(endpoint, deadline);
    first = request;
    HttpResponse response = co_await session->exchange(std::move(first), deadline - core::Clock::now());
    this->reportExchange(endpoint, request, response);
    co_return response;
}

void PeerClient::reportExchange(const TcpEndpoint &endpoint,
                                const HttpRequest &request,
                                const HttpResponse &response) const
{
    if (this->options.onExchanged) {
        this->options.onExchanged(endpoint, request.target, request.body.size() + response.body.size());
    }
}

awaitable<std::shared_ptr<PeerSession>> PeerClient::openSession(TcpEndpoint endpoint, core::TimePoint deadline)
{
    if (!this->peers.contains(endpoint)) {
        std::erase_if(this->peers,
                      [](const auto &entry) { return !entry.second->connecting && !entry.second->isUsable(); });
        this->peers.emplace(endpoint, std::make_shared<Peer>(this->executor, endpoint));
    }
    const std::shared_ptr<Peer> peer = this->peers.at(endpoint);
    if (peer->isUsable()) {
        co_return peer->session;
    }
    if (!peer->connecting) {
        peer->connecting = true;
        std::erase_if(peer->replacedSessions,
                      [](const std::weak_ptr<PeerSession> &session) { return session.expired(); });
        peer->replacedSessions.push_back(peer->session);
        peer->session = nullptr;
        asio::co_spawn(this->executor, connect(this->options, peer), asio::detached);
    }
    const std::uint64_t attempt = peer->attempts;
    const auto waiter = std::make_shared<asio::steady_timer>(this->executor, deadline);
    peer->waiters.push_back(waiter);
    co_await waiter->async_wait(UseTuple);
    if (peer->attempts == attempt) {
        std::erase(peer->waiters, waiter);
        throw core::Error(core::ResultCode::PeerUnreachable, "connect: timed out waiting for a connection");
    }
    if (!peer->isUsable()) {
        throw core::Error(core::ResultCode::PeerUnreachable, "connect: " + peer->failure);
    }
    co_return peer->session;
}

awaitable<void> PeerClient::connect(PeerClientOptions options, std::shared_ptr<Peer> peer)
{
    const Executor executor = peer->socket.get_executor();
    asio::steady_timer limit(executor, options.connectTimeout);
    limit.async_wait([peer, attempt = peer->attempts](const boost::system::error_code &waitError) {
        if (!waitError && peer->attempts == attempt) {
            boost::system::error_code ignored;
            peer->socket.close(ignored);
        }
    });
    auto [connectError] = co_await peer->socket.async_connect(peer->endpoint, UseTuple);
    limit.cancel();
    if (peer->abandoned) {
        peer->failure = "client closed";
        peer->finishAttempt();
        co_return;
    }
    if (connectError) {
        boost::system::error_code ignored;
        peer->socket.close(ignored);
        peer->failure = connectError == asio::error::operation_aborted ? "timed out" : connectError.message();
    } else {
        configurePeerSocket(peer->socket);
        peer->session = std::make_shared<PeerSession>(
            std::move(peer->socket), PeerSession::Role::Client, options.session, PeerSession::Handler());
        peer->socket = asio::ip::tcp::socket(executor);
        peer->session->start();
    }
    peer->finishAttempt();
    if (connectError == asio::error::connection_refused && options.onRefused) {
        options.onRefused(peer->endpoint);
    }
}

void PeerClient::closeAll()
{
    for (const auto &[endpoint, peer] : this->peers) {
        peer->abandoned = true;
        boost::system::error_code ignored;
        peer->socket.close(ignored);
        if (peer->session != nullptr) {
            peer->session->close("client closed");
        }
        for (const std::weak_ptr<PeerSession> &weakSession : peer->replacedSessions) {
            if (const std::shared_ptr<PeerSession> session = weakSession.lock()) {
                session->close("client closed");
            }
        }
    }
    this->peers.clear();
}

std::size_t PeerClient::connectionCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->peers.begin(), this->peers.end(), [](const auto &entry) { return entry.second->isUsable(); }));
}

}
