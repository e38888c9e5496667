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

struct ConnectionPool::Core : std::enable_shared_from_this<ConnectionPool::Core>
{
    Core(const net::Executor &executor, net::TcpEndpoint endpoint, ConnectionPoolOptions options)
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
    net::awaitable<void> testNewConnection(core::TimePoint openedAt);
    net::awaitable<void> maintain();
    net::awaitable<void> pingAndReturn(std::unique_ptr<Entry> entry);
    void giveBack(std::unique_ptr<Entry> entry);
    void dropOne();
    void wakeOne();

    net::Executor executor;
    net::TcpEndpoint endpoint;
    ConnectionPoolOptions options;
    asio::steady_timer maintenanceTimer;
    std::list<std::unique_ptr<Entry>> idle; ///< Most recently used first.
    std::list<asio::steady_timer *> waiters;
    ConnectionPoolCounters counters;
    core::TimePoint evictedUpTo = core::TimePoint::min();
    bool testing = false;
    bool closed = false;
};

net::awaitable<std::unique_ptr<ConnectionPool::Entry>> ConnectionPool::Core::open(core::Duration timeout)
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
        this->dropOne();
        std::rethrow_exception(failure);
    }
    ++this->counters.opened;
    entry->openedAt = core::Clock::now();
    entry->usedAt = entry->openedAt;
    entry->checkedAt = entry->openedAt;
    co_return entry;
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::Core::acquire(core::Duration timeout, bool requireNew)
{
    const std::shared_ptr<Core> self = this->shared_from_this();
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
            throw core::Error(core::ResultCode::DeadlineExceeded, "no free connection to the server");
        }
        if (this->counters.open < this->options.limit) {
            std::unique_ptr<Entry> entry = co_await this->open(deadline - now);
            co_return Lease(self, std::move(entry));
        }
        asio::steady_timer timer(this->executor, deadline);
        const auto place = this->waiters.insert(this->waiters.end(), &timer);
        co_await timer.async_wait(UseTuple);
        this->waiters.erase(place);
    }
    throw core::Error(core::ResultCode::BackendUnreachable, "the connection pool is closed");
}

net::awaitable<bool> ConnectionPool::Core::ping(Entry &entry)
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

net::awaitable<void> ConnectionPool::Core::testNewConnection(core::TimePoint openedAt)
{
    const std::shared_ptr<Core> self = this->shared_from_this();
    if (this->counters.open >= this->options.limit && !this->idle.empty()) {
        // The test needs room below the limit; the least recently used connection is as doubtful as the others.
        this->idle.pop_back();
        this->dropOne();
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
    this->testing = false;
    if (works) {
        this->evictedUpTo = std::max(this->evictedUpTo, openedAt);
        const std::size_t before = this->idle.size();
        this->closeIdleUpTo(this->evictedUpTo);
        this->counters.evicted += before - this->idle.size();
    }
    if (fresh) {
        this->giveBack(std::move(fresh));
    }
}

void ConnectionPool::Core::closeIdleUpTo(core::TimePoint openedAt)
{
    for (auto place = this->idle.begin(); place != this->idle.end();) {
        if ((*place)->openedAt > openedAt) {
            ++place;
            continue;
        }
        place = this->idle.erase(place);
        this->dropOne();
    }
}

net::awaitable<void> ConnectionPool::Core::maintain()
{
    const std::shared_ptr<Core> self = this->shared_from_this();
    while (!this->closed) {
        this->maintenanceTimer.expires_after(MaintenanceInterval);
        co_await this->maintenanceTimer.async_wait(UseTuple);
        const core::TimePoint now = core::Clock::now();
        for (auto place = this->idle.begin(); place != this->idle.end() && !this->closed;) {
            Entry &entry = **place;
            if (now - entry.usedAt > this->options.closeAfterIdle) {
                place = this->idle.erase(place);
                this->dropOne();
                continue;
            }
            if (now - entry.checkedAt < this->options.pingAfterIdle) {
                ++place;
                continue;
            }
            std::unique_ptr<Entry> taken = std::move(*place);
            place = this->idle.erase(place);
            asio::co_spawn(this->executor, this->pingAndReturn(std::move(taken)), asio::detached);
        }
    }
}

net::awaitable<void> ConnectionPool::Core::pingAndReturn(std::unique_ptr<Entry> entry)
{
    const std::shared_ptr<Core> self = this->shared_from_this();
    co_await this->ping(*entry);
    this->giveBack(std::move(entry));
}

void ConnectionPool::Core::giveBack(std::unique_ptr<Entry> entry)
{
    const bool evicted = entry->openedAt <= this->evictedUpTo;
    if (this->closed || evicted || !entry->client.isOpen()) {
        this->counters.evicted += evicted ? 1 : 0;
        this->dropOne();
        return;
    }
    const auto place = std::find_if(
        this->idle.begin(), this->idle.end(), [&entry](const auto &other) { return other->usedAt <= entry->usedAt; });
    this->idle.insert(place, std::move(entry));
    this->wakeOne();
}

void ConnectionPool::Core::dropOne()
{
    --this->counters.open;
    this->wakeOne();
}

void ConnectionPool::Core::wakeOne()
{
    if (!this->waiters.empty()) {
        this->waiters.front()->cancel();
        this->waiters.splice(this->waiters.end(), this->waiters, this->waiters.begin());
    }
}

ConnectionPool::Lease::Lease(std::shared_ptr<Core> pool, std::unique_ptr<Entry> entry)
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
        this->pool->giveBack(std::move(this->entry));
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
    : core(std::make_shared<Core>(executor, endpoint, options))
{
    asio::co_spawn(executor, this->core->maintain(), asio::detached);
}

ConnectionPool::~ConnectionPool()
{
    this->close();
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::acquire(core::Duration timeout)
{
    return this->core->acquire(timeout, false);
}

net::awaitable<ConnectionPool::Lease> ConnectionPool::acquireNew(core::Duration timeout)
{
    return this->core->acquire(timeout, true);
}

void ConnectionPool::closeIdleOlderThan(core::TimePoint time)
{
    this->core->closeIdleUpTo(time - core::Duration(1));
}

void ConnectionPool::evictOlderThan(core::TimePoint openedAt)
{
    if (this->core->testing || this->core->closed || openedAt <= this->core->evictedUpTo) {
        return;
    }
    this->core->testing = true;
    asio::co_spawn(this->core->executor, this->core->testNewConnection(openedAt), asio::detached);
}

void ConnectionPool::close()
{
    Core &pool = *this->core;
    pool.closed = true;
    while (!pool.idle.empty()) {
        pool.idle.pop_front();
        pool.dropOne();
    }
    pool.maintenanceTimer.cancel();
    for (asio::steady_timer *waiter : pool.waiters) {
        waiter->cancel();
    }
}

ConnectionPoolCounters ConnectionPool::counters() const
{
    ConnectionPoolCounters counters = this->core->counters;
    counters.idle = static_cast<int>(this->core->idle.size());
    return counters;
}

}
