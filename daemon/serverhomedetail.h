#pragma once

#include "daemon/serverhome.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <optional>

/// Helpers shared by the source files of ServerHome.
namespace endiveshore::daemon {

// Connections to a server outside the pools: probes of up to three homes, two connections each, and replication waits.
inline constexpr int MonitoringConnections = 8;
// A statement without an answer after this time counts as lost. Its connection is closed, and the pool tests the
// others.
inline constexpr core::Milliseconds StatementAnswerTimeout{2'000};
// Time that a statement may need at the server; a statement is not started when less time is left to its deadline.
inline constexpr core::Milliseconds StatementStartMargin{20};

/// Connections that one home may open. The old and the new home together must stay below the server's connection limit.
inline int poolLimit(int connectionLimit)
{
    return std::max(2, (connectionLimit - MonitoringConnections) / 2);
}

inline core::Duration statementTimeout(core::TimePoint deadline)
{
    return std::min<core::Duration>(StatementAnswerTimeout, deadline - core::Clock::now());
}

/// RAII guard that counts a running call.
class RunningCall
{
public:
    explicit RunningCall(std::size_t &count)
        : count(count)
    {
        ++this->count;
    }
    ~RunningCall()
    {
        --this->count;
    }
    RunningCall(const RunningCall &) = delete;
    RunningCall &operator=(const RunningCall &) = delete;

private:
    std::size_t &count;
};

/// A statement that runs at the server. Keeps its slot and its connection until the server has answered or the
/// statement counts as lost, even if the caller's deadline passes first, because the server still runs the statement.
struct ServerHome::Exchange
{
    Exchange(std::shared_ptr<ServerHome> home, SlotQueue::Slot slot)
        : home(std::move(home))
        , slot(std::move(slot))
        , ended(this->home->executor)
    {
    }

    std::shared_ptr<ServerHome> home; ///< Owns the slot queue; declared first, so that it outlives the slot.
    SlotQueue::Slot slot;
    std::optional<backend::ConnectionPool::Lease> lease; ///< Connection of a statement outside a transaction.
    std::shared_ptr<Transaction> transaction; ///< Transaction of the statement; null outside a transaction.
    backend::StatementCall request;
    backend::StatementResult result;
    std::exception_ptr failure;
    boost::asio::steady_timer ended;
    bool finished = false;
    bool abandoned = false; ///< The connection is closed when the statement ends, which aborts the transaction.
};

}
