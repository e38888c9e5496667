#pragma once

#include "confsync/entrystore.h"
#include "net/asyncio.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace endiveshore::daemon {

/// All configuration entries at one revision of the store.
struct ConfigurationSnapshot
{
    std::vector<confsync::EntryChange> entries;
    std::int64_t revision = 0;
};

enum class FollowEnd {
    Stopped, ///< The callback returned false.
    Lost, ///< The store is unreachable, sends nothing or refuses the watch.
    Compacted, ///< The store has compacted the requested revision; the caller must read a snapshot first.
};

/// Receives the changes of complete revisions, and the revision up to which all changes have been delivered. Called
/// without changes to confirm that there are none up to that revision. Returns false to end the watch.
using FollowCallback = std::function<bool(std::span<const confsync::EntryChange> changes, std::int64_t revision)>;

/// Read access of one daemon to the configuration in the store. Other entries of the store are not reported.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Reads a snapshot. Throws core::Error(StoreUnavailable).
    virtual net::awaitable<ConfigurationSnapshot> read() = 0;

    /// Watches the store and reports the changes after @p revision until the watch ends; returns the reason. Does not
    /// throw core::Error.
    virtual net::awaitable<FollowEnd> follow(std::int64_t revision, FollowCallback callback) = 0;
};

}
