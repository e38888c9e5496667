#pragma once

#include "net/peersession.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace endiveshore::net {

struct PeerClientOptions
{
    PeerSessionOptions session;
    core::Duration connectTimeout = std::chrono::seconds(1);
    std::function<void(const TcpEndpoint &endpoint)> onRefused = {}; ///< Called when a host refuses a connection.
    /// Called after an answer, with the bytes of the bodies of the request and the answer.
    std::function<void(const TcpEndpoint &endpoint, std::string_view target, std::size_t bytes)> onExchanged = {};
};

/// Sends requests to other daemons over one multiplexed HTTP/2 connection per endpoint, opened on demand. Not
/// thread-safe: each thread has its own client. Must outlive its pending exchanges.
class PeerClient
{
public:
    explicit PeerClient(const Executor &executor, PeerClientOptions options = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends @p request to @p endpoint and returns the complete response. Throws core::Error: PeerUnreachable with
    /// outcome not run if the request was not sent or the peer refused the request; AnswerLost with outcome unknown if
    /// the request may have run, also after @p timeout. A connection on which nothing arrives after a ping is closed,
    /// and its requests fail.
    awaitable<HttpResponse> exchange(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout);

    /// Closes all connections at once; pending exchanges fail.
    void closeAll();

    /// Number of open connections.
    std::size_t connectionCount() const;

private:
    struct Peer;
    void reportExchange(const TcpEndpoint &endpoint, const HttpRequest &request, const HttpResponse &response) const;
    static awaitable<void> connect(PeerClientOptions options, std::shared_ptr<Peer> peer);
    awaitable<std::shared_ptr<PeerSession>> openSession(TcpEndpoint endpoint, core::TimePoint deadline);

    Executor executor;
    PeerClientOptions options;
    std::map<TcpEndpoint, std::shared_ptr<Peer>> peers;
};

}
