#pragma once

#include "backend/serverclient.h"

#include <cstdint>
#include <memory>

namespace endiveshore::backend {

struct ConnectionPoolOptions
{
    int limit = 15; ///< Open connections at a time, including those being opened.
    core::Milliseconds connectTimeout{500};
    core::Milliseconds pingTimeout{500};
    core::Milliseconds pingAfterIdle{2'000}; ///< An idle connection is checked when it was unused for this long.
    core::Milliseconds closeAfterIdle{20'000}; ///< Well below the idle limit of the servers.
};

struct ConnectionPoolCounters
{
    int open = 0; ///< Idle, leased and being opened.
    int idle = 0;
    int opening = 0;
    std::uint64_t opened = 0;
    std::uint64_t openFailures = 0;
    std::uint64_t pingFailures = 0;
    std::uint64_t evicted = 0;
    std::uint64_t reused = 0;
};

/// Connections to one backend server. All calls happen on the pool's executor, which must run on one thread.
class ConnectionPool
{
    struct Core;
    struct Entry;

public:
    /// Exclusive use of one connection; returns it to the pool on destruction. A closed connection is dropped.
    class Lease
    {
    public:
        Lease();
        Lease(Lease &&other) noexcept;
        Lease &operator=(Lease &&other) noexcept;
        ~Lease();

        ServerClient &client() const;
        core::TimePoint openedAt() const;

        /// True if the connection served a request before; a failure may then be due to its age.
        bool isReused() const;

    private:
        friend class ConnectionPool;
        Lease(std::shared_ptr<Core> pool, std::unique_ptr<Entry> entry);
        void release();

        std::shared_ptr<Core> pool;
        std::unique_ptr<Entry> entry;
    };

    ConnectionPool(const net::Executor &executor, net::TcpEndpoint endpoint, ConnectionPoolOptions options = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// The most recently used idle connection, else a new one. Waits while the limit is reached. Throws
    /// core::Error: DeadlineExceeded after @p timeout, BackendUnreachable if connecting fails (both not run).
    net::awaitable<Lease> acquire(core::Duration timeout);

    /// As acquire(), but always a connection opened now; closes an idle one to make room.
    net::awaitable<Lease> acquireNew(core::Duration timeout);

    /// Closes the idle connections opened before @p time.
    void closeIdleOlderThan(core::TimePoint time);

    /// Called when a connection was found silent: tests a new connection, and once it works closes the idle
    /// connections opened up to @p openedAt and drops the leased ones when they return.
    void evictOlderThan(core::TimePoint openedAt);

    /// Closes the idle connections; leased ones are closed when they return. Further calls of acquire() fail.
    void close();

    ConnectionPoolCounters counters() const;

private:
    std::shared_ptr<Core> core;
};

}
