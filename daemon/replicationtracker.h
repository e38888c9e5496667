#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace endiveshore::daemon {

/// Confirms that a majority of the group holds the writes of one primary term. A position is confirmed once at least
/// one replica, besides the primary, has received it in that term. One long poll per replica serves all waiting writes.
/// All functions must be called on the executor.
class ReplicationTracker : public std::enable_shared_from_this<ReplicationTracker>
{
public:
    struct Progress
    {
        std::uint64_t term = 0; ///< Term that the replica follows.
        std::uint64_t received = 0; ///< Last position that the replica has received.
    };

    /// Long poll of one replica: returns its progress once it has received @p position in @p term, or after @p timeout.
    using WaitForPosition
        = std::function<net::awaitable<Progress>(std::uint64_t term, std::uint64_t position, core::Duration timeout)>;

    /// @p replicas contains one poll function per replica of the group.
    ReplicationTracker(net::Executor executor, std::uint64_t term, std::vector<WaitForPosition> replicas);

    /// Waits until @p position is confirmed. Returns false if @p deadline passes or the term ends first.
    net::awaitable<bool> waitConfirmed(std::uint64_t position, core::TimePoint deadline);

    std::uint64_t term() const;

    /// Highest position known to be held by a majority in this term.
    std::uint64_t confirmedPosition() const;

    /// Ends the term: pending waits return false.
    void stop();

private:
    struct Waiter
    {
        std::uint64_t position;
        boost::asio::steady_timer timer;
        bool confirmed = false;
    };

    net::awaitable<void> pollReplica(std::size_t index);
    void confirm(std::uint64_t position);

    net::Executor executor;
    std::uint64_t currentTerm;
    std::vector<WaitForPosition> replicas;
    std::vector<bool> polling; ///< By replica: its poll loop is running.
    std::list<std::shared_ptr<Waiter>> waiters;
    std::uint64_t highestConfirmed = 0;
    bool stopped = false;
};

}
