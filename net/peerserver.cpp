#include "net/peerserver.h"

#include "net/tcplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::net {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// RAII guard that counts a request while its handler runs.
class ActiveRequestGuard
{
public:
    explicit ActiveRequestGuard(std::shared_ptr<std::atomic<std::size_t>> counter)
        : counter(std::move(counter))
    {
        ++*this->counter;
    }

    ~ActiveRequestGuard()
    {
        --*this->counter;
    }

    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

private:
    std::shared_ptr<std::atomic<std::size_t>> counter;
};

awaitable<HttpResponse>
runCounted(PeerServer::Handler handler, std::shared_ptr<std::atomic<std::size_t>> counter, HttpRequest request)
{
    const ActiveRequestGuard count(std::move(counter));
    HttpResponse response = co_await handler(std::move(request));
    co_return response;
}

}

struct PeerServer::Acceptor
{
    explicit Acceptor(asio::ip::tcp::acceptor socket)
        : socket(std::move(socket))
    {
    }

    asio::ip::tcp::acceptor socket;
    std::vector<std::weak_ptr<PeerSession>> sessions;
};

PeerServer::PeerServer(Handler handler, PeerServerOptions options)
    : handler(std::move(handler))
    , options(options)
{
}

void PeerServer::listen(const Executor &executor, const TcpEndpoint &endpoint, bool reusePort)
{
    auto acceptor = std::make_shared<Acceptor>(openAcceptor(executor, endpoint, reusePort));
    this->acceptors.push_back(acceptor);
    asio::co_spawn(executor, this->acceptLoop(acceptor), asio::detached);
}

void PeerServer::stop()
{
    this->stopping = true;
    for (const std::shared_ptr<Acceptor> &acceptor : this->acceptors) {
        asio::post(acceptor->socket.get_executor(), [acceptor] {
            boost::system::error_code ignored;
            acceptor->socket.close(ignored);
            for (const std::weak_ptr<PeerSession> &weakSession : acceptor->sessions) {
                if (const std::shared_ptr<PeerSession> session = weakSession.lock()) {
                    session->shutDown();
                }
            }
        });
    }
}

std::size_t PeerServer::activeRequests() const
{
    return *this->requests;
}

awaitable<void> PeerServer::acceptLoop(std::shared_ptr<Acceptor> acceptor)
{
    const std::shared_ptr<PeerServer> self = this->shared_from_this();
    const Handler counted = [handler = this->handler, counter = this->requests](HttpRequest request) {
        return runCounted(handler, counter, std::move(request));
    };
    while (!this->stopping) {
        std::optional<asio::ip::tcp::socket> accepted = co_await acceptNext(acceptor->socket);
        if (!accepted) {
            break;
        }
        asio::ip::tcp::socket socket = std::move(*accepted);
        if (this->stopping) {
            break;
        }
        configurePeerSocket(socket);
        auto session = std::make_shared<PeerSession>(
            std::move(socket), PeerSession::Role::Server, this->options.session, counted);
        std::erase_if(acceptor->sessions, [](const std::weak_ptr<PeerSession> &known) { return known.expired(); });
        acceptor->sessions.push_back(session);
        session->start();
    }
}

}
