#pragma once

#include "net/peersession.h"

#include <map>
#include <vector>

namespace endiveshore::net {

struct PeerClientOptions
{
    PeerSessionOptions session;
    core::Duration connectTimeout = std::chrono::seconds(1);
    std::function<void(const TcpEndpoint &endpoint)> onRefused = {}; ///< The peer's host refused a connection.
};

/// Requests to other daemons over one multiplexed HTTP/2 connection per endpoint, opened on demand. Not thread-safe:
/// each thread has its own client. Must outlive the exchanges it runs.
class PeerClient
{
public:
    explicit PeerClient(const Executor &executor, PeerClientOptions options = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends @p request to @p endpoint and returns the whole answer. Throws core::Error: PeerUnreachable with outcome
    /// not run if the request did not leave or the peer refused it; AnswerLost with outcome unknown if it may have run,
    /// also after @p timeout. A connection that stays silent after a ping is closed and its requests fail.
    awaitable<HttpResponse> exchange(TcpEndpoint endpoint, HttpRequest request, core::Duration timeout);

    /// Closes all connections at once; pending exchanges fail.
    void closeAll();

    /// Open connections.
    std::size_t connectionCount() const;

private:
    struct Peer;
    static awaitable<void> connect(PeerClientOptions options, std::shared_ptr<Peer> peer);
    awaitable<std::shared_ptr<PeerSession>> openSession(TcpEndpoint endpoint, core::TimePoint deadline);

    Executor executor;
    PeerClientOptions options;
    std::map<TcpEndpoint, std::shared_ptr<Peer>> peers;
};

}
