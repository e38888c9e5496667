#include "backend/connectionpool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>

namespace endiveshore::backend {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds MaintenanceInterval{500};

}

struct ConnectionPool::Entry
{
    explicit Entry(const net::Executor &executor)
        : client(executor)
    {
    }

    ServerClient client;
    core::TimePoint openedAt;
    core::TimePoint usedAt;
    core::TimePoint checkedAt; ///< Last use or successful ping.
    bool reused = false;
};

struct ConnectionPool::SharedState : std::enable_shared_from_this<ConnectionPool::SharedState>
{
    SharedState(const net::Executor &executor, net::TcpEndpoint endpoint, ConnectionPoolOptions options)
        : executor(executor)
        , endpoint(endpoint)
        , options(options)
        , maintenanceTimer(executor)
    {
    }

    net::awaitable<std::unique_ptr<Entry>> open(core::Duration timeout);
    net::awaitable<Lease> acquire(core::Duration timeout, bool requireNew);
    void closeIdleUpTo(core::TimePoint openedAt);
    net::awaitable<bool> ping(Entry &entry);
    net::awaitable<void> probeNewConnection(core::TimePoint openedAt);
    net::awaitable<void> maintain();
    net::awaitable<void> pingAndReturn(std::unique_ptr<Entry> entry);
    void returnEntry(std::unique_ptr<Entry> entry);
    void releaseCapacity();
    void wakeWaiter();

    net::Executor executor;
    net::TcpEndpoint endpoint;
    ConnectionPoolOptions options;
    asio::steady_timer maintenanceTimer;
    std::list<std::unique_ptr<Entry>> idle; ///< Most recently used first.
    std::list<asio::steady_timer *> waiters;
    ConnectionPoolCounters counters;
    core::TimePoint evictedUpTo = core::TimePoint::min();
    bool probing = false;
    bool closed = false;
};

net::awaitable<std::unique_ptr<ConnectionPool::Entry>> ConnectionPool::SharedState::open(core::Duration timeout)
{
    ++this->counters.open;
    ++this->counters.opening;
    auto entry = std::make_unique<Entry>(this->executor);
    std::exception_ptr failure;
    try {
        co_await entry->client.connect(this->endpoint, std::min<core::Duration>(timeout, this->options.connectTimeout));
    } catch (const core::Error &) {
        failure = std::current_exception();
    }
    --this->counters.opening;
    if (failure) {
        ++this->counters.openFailures;
        this->releaseCapacity();
        std::rethrow_exception(failure);
    }
    ++this->counters.opened;
    entry->openedAt = core::Clock::now();
    entry->usedAt = entry->openedAt;
    entry->checkedAt = entry->openedAt;
    co_return entry;
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::SharedState::acquire(core::Duration timeout, bool requireNew)
{
    const std::shared_ptr<SharedState> self = this->shared_from_this();
    const core::TimePoint deadline = core::Clock::now() + timeout;
    while (!this->closed) {
        if (requireNew && !this->idle.empty() && this->counters.open >= this->options.limit) {
            this->idle.pop_back();
            --this->counters.open;
        }
        if (!requireNew && !this->idle.empty()) {
            std::unique_ptr<Entry> entry = std::move(this->idle.front());
            this->idle.pop_front();
            entry->reused = true;
            ++this->counters.reused;
            co_return Lease(self, std::move(entry));
        }
        const core::TimePoint now = core::Clock::now();
        if (now >= deadline) {
            throw core::Error(core::ResultCode::DeadlineExceeded, "no connection to the server became free in time");
        }
        if (this->counters.open < this->options.limit) {
            std::unique_ptr<Entry> entry = co_await this->open(deadline - now);
            co_return Lease(self, std::move(entry));
        }
        asio::steady_timer timer(this->executor, deadline);
        const auto position = this->waiters.insert(this->waiters.end(), &timer);
        co_await timer.async_wait(UseTuple);
        this->waiters.erase(position);
    }
    throw core::Error(core::ResultCode::BackendUnreachable, "the connection pool is closed");
}

net::awaitable<bool> ConnectionPool::SharedState::ping(Entry &entry)
{
    try {
        co_await entry.client.status(this->options.pingTimeout);
        entry.checkedAt = core::Clock::now();
        co_return true;
    } catch (const core::Error &) {
        ++this->counters.pingFailures;
        entry.client.close();
        co_return false;
    }
}

net::awaitable<void> ConnectionPool::SharedState::probeNewConnection(core::TimePoint openedAt)
{
    const std::shared_ptr<SharedState> self = this->shared_from_this();
    if (this->counters.open >= this->options.limit && !this->idle.empty()) {
        // The probe needs room below the limit; the least recently used connection is as suspect as the others.
        this->idle.pop_back();
        this->releaseCapacity();
    }
    bool works = false;
    std::unique_ptr<Entry> fresh;
    if (this->counters.open < this->options.limit) {
        try {
            fresh = co_await this->open(this->options.connectTimeout);
            works = co_await this->ping(*fresh);
        } catch (const core::Error &) {
            works = false;
        }
    }
    this->probing = false;
    if (works) {
        this->evictedUpTo = std::max(this->evictedUpTo, openedAt);
        const std::size_t before = this->idle.size();
        this->closeIdleUpTo(this->evictedUpTo);
        this->counters.evicted += before - this->idle.size();
    }
    if (fresh) {
        this->returnEntry(std::move(fresh));
    }
}

void ConnectionPool::SharedState::closeIdleUpTo(core::TimePoint openedAt)
{
    for (auto position = this->idle.begin(); position != this->idle.end();) {
        if ((*position)->openedAt > openedAt) {
            ++position;
            continue;
        }
        position = this->idle.erase(position);
        this->releaseCapacity();
    }
}

net::awaitable<void> ConnectionPool::SharedState::maintain()
{
    const std::shared_ptr<SharedState> self = this->shared_from_this();
    while (!this->closed) {
        this->maintenanceTimer.expires_after(MaintenanceInterval);
        co_await this->maintenanceTimer.async_wait(UseTuple);
        const core::TimePoint now = core::Clock::now();
        for (auto position = this->idle.begin(); position != this->idle.end() && !this->closed;) {
            Entry &entry = **position;
            if (now - entry.usedAt > this->options.closeAfterIdle) {
                position = this->idle.erase(position);
                this->releaseCapacity();
                continue;
            }
            if (now - entry.checkedAt < this->options.pingAfterIdle) {
                ++position;
                continue;
            }
            std::unique_ptr<Entry> taken = std::move(*position);
            position = this->idle.erase(position);
            asio::co_spawn(this->executor, this->pingAndReturn(std::move(taken)), asio::detached);
        }
    }
}

net::awaitable<void> ConnectionPool::SharedState::pingAndReturn(std::unique_ptr<Entry> entry)
{
    const std::shared_ptr<SharedState> self = this->shared_from_this();
    co_await this->ping(*entry);
    this->returnEntry(std::move(entry));
}

void ConnectionPool::SharedState::returnEntry(std::unique_ptr<Entry> entry)
{
    const bool evicted = entry->openedAt <= this->evictedUpTo;
    if (this->closed || evicted || !entry->client.isOpen()) {
        this->counters.evicted += evicted ? 1 : 0;
        this->releaseCapacity();
        return;
    }
    const auto position = std::find_if(
        this->idle.begin(), this->idle.end(), [&entry](const auto &other) { return other->usedAt <= entry->usedAt; });
    this->idle.insert(position, std::move(entry));
    this->wakeWaiter();
}

void ConnectionPool::SharedState::releaseCapacity()
{
    --this->counters.open;
    this->wakeWaiter();
}

void ConnectionPool::SharedState::wakeWaiter()
{
    if (!this->waiters.empty()) {
        this->waiters.front()->cancel();
        this->waiters.splice(this->waiters.end(), this->waiters, this->waiters.begin());
    }
}

ConnectionPool::Lease::Lease(std::shared_ptr<SharedState> pool, std::unique_ptr<Entry> entry)
    : pool(std::move(pool))
    , entry(std::move(entry))
{
}

ConnectionPool::Lease::Lease() = default;

ConnectionPool::Lease::Lease(Lease &&other) noexcept = default;

ConnectionPool::Lease &ConnectionPool::Lease::operator=(Lease &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->pool = std::move(other.pool);
        this->entry = std::move(other.entry);
    }
    return *this;
}

ConnectionPool::Lease::~Lease()
{
    this->release();
}

void ConnectionPool::Lease::release()
{
    if (this->entry != nullptr) {
        this->entry->usedAt = core::Clock::now();
        this->entry->checkedAt = this->entry->usedAt;
        this->pool->returnEntry(std::move(this->entry));
    }
    this->pool.reset();
}

ServerClient &ConnectionPool::Lease::client() const
{
    return this->entry->client;
}

core::TimePoint ConnectionPool::Lease::openedAt() const
{
    return this->entry->openedAt;
}

bool ConnectionPool::Lease::isReused() const
{
    return this->entry->reused;
}

ConnectionPool::ConnectionPool(const net::Executor &executor, net::TcpEndpoint endpoint, ConnectionPoolOptions options)
    : state(std::make_shared<SharedState>(executor, endpoint, options))
{
    asio::co_spawn(executor, this->state->maintain(), asio::detached);
}

ConnectionPool::~ConnectionPool()
{
    this->close();
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::acquire(core::Duration timeout)
{
    return this->state->acquire(timeout, false);
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::acquireNew(core::Duration timeout)
{
    return this->state->acquire(timeout, true);
}

void ConnectionPool::closeIdleOlderThan(core::TimePoint time)
{
    this->state->closeIdleUpTo(time - core::Duration(1));
}

void ConnectionPool::evictOlderThan(core::TimePoint openedAt)
{
    if (this->state->probing || this->state->closed || openedAt <= this->state->evictedUpTo) {
        return;
    }
    this->state->probing = true;
    asio::co_spawn(this->state->executor, this->state->probeNewConnection(openedAt), asio::detached);
}

void ConnectionPool::close()
{
    SharedState &pool = *this->state;
    pool.closed = true;
    while (!pool.idle.empty()) {
        pool.idle.pop_front();
        pool.releaseCapacity();
    }
    pool.maintenanceTimer.cancel();
    for (asio::steady_timer *waiter : pool.waiters) {
        waiter->cancel();
    }
}

ConnectionPoolCounters ConnectionPool::counters() const
{
    ConnectionPoolCounters counters = this->state->counters;
    counters.idle = static_cast<int>(this->state->idle.size());
    return counters;
}

}
