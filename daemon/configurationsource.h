#pragma once

#include "confsync/entrystore.h"
#include "net/asyncio.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace endiveshore::daemon {

/// All entries of the configuration at one revision of the store.
struct ConfigurationSnapshot
{
    std::vector<confsync::EntryChange> entries;
    std::int64_t revision = 0;
};

enum class FollowEnd {
    Stopped, ///< The callback asked for the end.
    Lost, ///< The store cannot be reached, is silent or refuses.
    Compacted, ///< The history from the wanted revision on is gone; read a snapshot first.
};

/// Receives the changes of whole revisions and the revision up to which all changes have been delivered. Called without
/// changes as a confirmation that all of them are known. Returns false to end.
using FollowCallback = std::function<bool(std::span<const confsync::EntryChange> changes, std::int64_t revision)>;

/// The store of the configuration as one daemon reaches it. Reports only entries of the configuration.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Throws core::Error(StoreUnavailable).
    virtual net::awaitable<ConfigurationSnapshot> read() = 0;

    /// Reports the changes after @p revision until one of the reasons of FollowEnd. Does not throw core::Error.
    virtual net::awaitable<FollowEnd> follow(std::int64_t revision, FollowCallback callback) = 0;
};

}
