#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::pooling {

using ConnectionId = std::uint64_t;

/// How a unit of work gets its connection.
struct ConnectionChoice
{
    enum class Kind {
        Reuse, ///< Use `connection`, which is idle and belongs to the workspace.
        Open, ///< Open a new connection, known as `connection` from now on.
    };

    Kind kind = Kind::Open;
    ConnectionId connection = 0;
    std::optional<ConnectionId> evicted; ///< Idle connection of another workspace to close first.
};

/// Accounts for the connections of one daemon to one backend server. A connection belongs to one workspace from its
/// start to its end. Pure.
class ConnectionTracker
{
public:
    explicit ConnectionTracker(unsigned limit);

    /// Changes the limit. Connections above it stay until they are idle.
    void setLimit(unsigned limit);

    /// The server has refused a new connection because it has too many. No more than those that are open are used
    /// until @p until.
    void blockNewConnections(core::TimePoint until);

    /// Lets new connections be opened again if the time given to blockNewConnections() has passed.
    void tick(core::TimePoint now);

    /// True if a unit can get a connection now.
    bool hasFree() const;

    /// True if a transaction may start: some connections are kept for single statements, so that resting transactions
    /// cannot hold all of them.
    bool hasFreeForTransaction() const;

    /// Takes a connection for @p workspace, preferring the idle one used last; nothing if all are in use.
    std::optional<ConnectionChoice> take(std::string_view workspace, bool forTransaction);

    /// The connection has been opened. Until then it counts as being opened.
    void opened(ConnectionId connection);

    /// The connection is idle again.
    void release(ConnectionId connection, core::TimePoint now);

    /// The connection has ended or could not be opened.
    void remove(ConnectionId connection);

    /// The idle connection used longest ago, if it was last used before @p before.
    std::optional<ConnectionId> idleSince(core::TimePoint before) const;

    std::size_t open() const;
    std::size_t inUse() const;

private:
    struct Entry
    {
        std::string workspace;
        bool inUse = false;
        bool forTransaction = false;
        bool opening = false;
        core::TimePoint lastUsed;
    };

    unsigned currentLimit() const;
    unsigned transactionLimit() const;
    std::optional<ConnectionId> findIdle(std::string_view workspace) const;
    std::optional<ConnectionId> leastRecentlyUsed() const;

    unsigned limit;
    std::optional<unsigned> openWhenRefused; ///< Connections that were open when the server refused another one.
    core::TimePoint blockedUntil;
    ConnectionId lastId = 0;
    std::size_t used = 0;
    std::size_t transactions = 0;
    std::size_t opensInProgress = 0;
    std::map<ConnectionId, Entry> connections;
};

}
