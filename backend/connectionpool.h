#pragma once

#include "backend/serverclient.h"

#include <cstdint>
#include <memory>

namespace endiveshore::backend {

struct ConnectionPoolOptions
{
    int limit = 15; ///< Maximum number of connections, including connections being opened.
    core::Milliseconds connectTimeout{500};
    core::Milliseconds pingTimeout{500};
    core::Milliseconds pingAfterIdle{2'000}; ///< An idle connection is pinged when it was unused for this long.
    core::Milliseconds closeAfterIdle{20'000}; ///< Must stay well below the idle timeout of the servers.
};

struct ConnectionPoolCounters
{
    int open = 0; ///< Connections that are idle, leased or being opened.
    int idle = 0;
    int opening = 0;
    std::uint64_t opened = 0;
    std::uint64_t openFailures = 0;
    std::uint64_t pingFailures = 0;
    std::uint64_t evicted = 0;
    std::uint64_t reused = 0;
};

/// Pool of connections to one backend server. All functions must be called on the pool's executor, which must run on
/// one thread.
class ConnectionPool
{
    struct SharedState;
    struct Entry;

public:
    /// RAII guard for the exclusive use of one connection. Returns the connection to the pool on destruction; a closed
    /// connection is removed from the pool.
    class Lease
    {
    public:
        Lease();
        Lease(Lease &&other) noexcept;
        Lease &operator=(Lease &&other) noexcept;
        ~Lease();

        ServerClient &client() const;
        core::TimePoint openedAt() const;

        /// True if the connection had been idle in the pool; a failure may then mean that the connection went stale.
        bool isReused() const;

    private:
        friend class ConnectionPool;
        Lease(std::shared_ptr<SharedState> pool, std::unique_ptr<Entry> entry);
        void release();

        std::shared_ptr<SharedState> pool;
        std::unique_ptr<Entry> entry;
    };

    ConnectionPool(const net::Executor &executor, net::TcpEndpoint endpoint, ConnectionPoolOptions options = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Returns the most recently used idle connection, or opens a new connection. Waits while the limit is reached.
    /// Throws core::Error: DeadlineExceeded after @p timeout, BackendUnreachable if connecting fails or the pool is
    /// closed (outcome not run for both).
    net::awaitable<Lease> acquire(core::Duration timeout);

    /// Like acquire(), but always opens a new connection; at the limit an idle connection is closed to make room.
    net::awaitable<Lease> acquireNew(core::Duration timeout);

    /// Closes the idle connections opened before @p time.
    void closeIdleOlderThan(core::TimePoint time);

    /// To be called when a connection opened at @p openedAt does not respond. Probes a new connection; once the probe
    /// succeeds, closes the idle connections opened up to @p openedAt, and closes leased connections of the same age
    /// when they are returned.
    void evictOlderThan(core::TimePoint openedAt);

    /// Closes the idle connections; leased connections are closed when they are returned. Later calls of acquire()
    /// fail.
    void close();

    ConnectionPoolCounters counters() const;

private:
    std::shared_ptr<SharedState> state;
};

}
