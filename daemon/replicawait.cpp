#include "daemon/replicawait.h"

namespace endiveshore::daemon {

namespace {

// The replica answers by the end of the wait; the margin covers the network round trip.
constexpr core::Milliseconds WaitExchangeMargin{250};

}

ReplicaWait::ReplicaWait(const net::Executor &executor, net::TcpEndpoint endpoint)
    : client(executor)
    , endpoint(endpoint)
{
}

net::awaitable<ReplicationTracker::Progress>
ReplicaWait::wait(std::uint64_t term, std::uint64_t position, core::Duration timeout)
{
    const std::shared_ptr<ReplicaWait> self = this->shared_from_this();
    if (!this->client.isOpen()) {
        co_await this->client.connect(this->endpoint, timeout);
    }
    const core::Duration exchangeTimeout = timeout + WaitExchangeMargin;
    const backend::WaitResult result = co_await this->client.wait(
        static_cast<std::int64_t>(term), static_cast<std::int64_t>(position), timeout, exchangeTimeout);
    ReplicationTracker::Progress progress;
    progress.term = static_cast<std::uint64_t>(result.term);
    progress.received = static_cast<std::uint64_t>(result.received);
    co_return progress;
}

}
