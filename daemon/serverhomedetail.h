#pragma once

#include "daemon/serverhome.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <optional>

/// Parts shared by the sources of ServerHome.
namespace endiveshore::daemon {

// Probes of up to three homes, two connections each, and replication waits use connections besides the pool.
inline constexpr int MonitoringConnections = 8;
// A statement that got no answer in this time counts as lost. The connection is closed, and the pool checks the others.
inline constexpr core::Milliseconds StatementAnswerTimeout{2'000};
// A statement may need this long at the server, so it is not started later than this before its deadline.
inline constexpr core::Milliseconds StatementStartMargin{20};

/// Connections that one home may open. An old and a new home together must stay under the server's connection limit.
inline int poolLimit(int connectionLimit)
{
    return std::max(2, (connectionLimit - MonitoringConnections) / 2);
}

inline core::Duration statementTimeout(core::TimePoint deadline)
{
    return std::min<core::Duration>(StatementAnswerTimeout, deadline - core::Clock::now());
}

/// Counts a call while it is in scope.
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

/// A statement at the server. It keeps its slot and its connection until the server has answered or counts as lost,
/// also if the caller's deadline passes first: the server still runs it.
struct ServerHome::Exchange
{
    Exchange(std::shared_ptr<ServerHome> home, SlotQueue::Slot slot)
        : home(std::move(home))
        , slot(std::move(slot))
        , ended(this->home->executor)
    {
    }

    std::shared_ptr<ServerHome> home; ///< Owns the queue, so it is destroyed after the slot.
    SlotQueue::Slot slot;
    std::optional<backend::ConnectionPool::Lease> lease; ///< Of a statement outside a transaction.
    std::shared_ptr<Transaction> transaction;
    backend::StatementCall request;
    backend::StatementResult result;
    std::exception_ptr failure;
    boost::asio::steady_timer ended;
    bool finished = false;
    bool abandoned = false; ///< The transaction is given up.
};

}
