#include "daemon/replicationtracker.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

// Long enough to keep idle polling cheap, short enough to replace a silent replica connection within a second.
constexpr core::Milliseconds PollTimeout{500};
constexpr core::Milliseconds RetryDelay{20};
constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

}

ReplicationTracker::ReplicationTracker(net::Executor executor,
                                       std::uint64_t term,
                                       std::vector<WaitForPosition> replicas)
    : executor(std::move(executor))
    , currentTerm(term)
    , replicas(std::move(replicas))
    , polling(this->replicas.size(), false)
{
}

net::awaitable<bool> ReplicationTracker::waitConfirmed(std::uint64_t position, core::TimePoint deadline)
{
    if (position <= this->highestConfirmed) {
        co_return true;
    }
    if (this->stopped) {
        co_return false;
    }
    const std::shared_ptr<ReplicationTracker> self = this->shared_from_this();
    auto waiter = std::make_shared<Waiter>(Waiter{position, asio::steady_timer(this->executor, deadline)});
    this->waiters.push_back(waiter);
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
        if (this->polling[index]) {
            continue;
        }
        this->polling[index] = true;
        asio::co_spawn(this->executor, this->pollReplica(index), asio::detached);
    }
    co_await waiter->timer.async_wait(UseTuple);
    this->waiters.remove(waiter);
    co_return waiter->confirmed;
}

std::uint64_t ReplicationTracker::term() const
{
    return this->currentTerm;
}

std::uint64_t ReplicationTracker::confirmedPosition() const
{
    return this->highestConfirmed;
}

void ReplicationTracker::stop()
{
    this->stopped = true;
    for (const std::shared_ptr<Waiter> &waiter : this->waiters) {
        waiter->timer.cancel();
    }
}

net::awaitable<void> ReplicationTracker::pollReplica(std::size_t index)
{
    const std::shared_ptr<ReplicationTracker> self = this->shared_from_this();
    while (!this->stopped && !this->waiters.empty()) {
        // The lowest position is reached first; the reported progress also confirms higher positions that it covers.
        const auto lowest
            = std::min_element(this->waiters.begin(), this->waiters.end(), [](const auto &left, const auto &right) {
                  return left->position < right->position;
              });
        const std::uint64_t position = (*lowest)->position;
        bool failed = false;
        try {
            const Progress progress = co_await this->replicas[index](this->currentTerm, position, PollTimeout);
            if (progress.term == this->currentTerm) {
                this->confirm(progress.received);
            } else {
                failed = true;
            }
        } catch (const std::exception &) {
            failed = true;
        }
        if (failed) {
            asio::steady_timer pause(this->executor, RetryDelay);
            co_await pause.async_wait(UseTuple);
        }
    }
    this->polling[index] = false;
}

void ReplicationTracker::confirm(std::uint64_t position)
{
    this->highestConfirmed = std::max(this->highestConfirmed, position);
    for (const std::shared_ptr<Waiter> &waiter : this->waiters) {
        if (waiter->confirmed || waiter->position > this->highestConfirmed) {
            continue;
        }
        waiter->confirmed = true;
        waiter->timer.cancel();
    }
}

}
