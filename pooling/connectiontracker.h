#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::pooling {

using ConnectionId = std::uint64_t;

/// Connection assigned to a unit of work, and how to obtain it.
struct ConnectionChoice
{
    enum class Kind {
        Reuse, ///< `connection` is idle and belongs to the workspace.
        Open, ///< A new connection has to be opened under the id `connection`.
    };

    Kind kind = Kind::Open;
    ConnectionId connection = 0;
    std::optional<ConnectionId> evicted; ///< Idle connection of another workspace that has to be closed first.
};

/// Tracks the connections of one daemon to one backend server against its connection limit. A connection belongs to one
/// workspace for its whole lifetime. Does no I/O.
class ConnectionTracker
{
public:
    explicit ConnectionTracker(unsigned limit);

    /// Changes the limit. Connections in use above the new limit stay open until they are idle.
    void setLimit(unsigned limit);

    /// Records that the server refused a connection because its connection limit is reached. Until @p until, the limit
    /// is the number of connections that are open now.
    void blockNewConnections(core::TimePoint until);

    /// Ends the limit set by blockNewConnections() once @p now has reached the end time given there.
    void tick(core::TimePoint now);

    /// True if a unit can get a connection now.
    bool hasFree() const;

    /// True if a transaction can get a connection now. Some connections are reserved for single statements, so that
    /// idle transactions cannot hold all of them.
    bool hasFreeForTransaction() const;

    /// Assigns a connection to a unit of @p workspace: the most recently used idle connection of the workspace, or a
    /// new connection if the workspace has no idle connection. Returns nothing if no connection is free.
    std::optional<ConnectionChoice> take(std::string_view workspace, bool forTransaction);

    /// Records that a connection returned with Kind::Open has been opened. The number of connections being opened at a
    /// time is limited.
    void opened(ConnectionId connection);

    /// Records that the connection is idle again.
    void release(ConnectionId connection, core::TimePoint now);

    /// Records that the connection was closed or could not be opened.
    void remove(ConnectionId connection);

    /// The least recently used idle connection, if its last use was before @p before.
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
    std::optional<unsigned> openWhenRefused; ///< Connections open at the refusal; the limit until `blockedUntil`.
    core::TimePoint blockedUntil;
    ConnectionId lastId = 0;
    std::size_t used = 0; ///< Connections in use, including those being opened.
    std::size_t usedByTransactions = 0;
    std::size_t opensInProgress = 0;
    std::map<ConnectionId, Entry> connections;
};

}
