#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// An item of the metadata store, or its removal.
struct MetadataItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change.
    std::uint64_t lease = 0; ///< 0: none.
    bool isRemoved = false;
};

struct MetadataPage
{
    std::vector<MetadataItem> items;
    bool hasMore = false;
    std::uint64_t revision = 0; ///< Of the store.
    bool historyLost = false; ///< Of a watch: read everything anew.
};

struct MetadataChange
{
    std::string key;
    std::optional<std::uint64_t> expectedRevision; ///< 0: the key must not exist; nothing: no condition.
    std::optional<std::string> value; ///< Nothing: the key is removed.
    std::uint64_t lease = 0; ///< 0: none.
};

struct MetadataSwap
{
    bool applied = false;
    bool leaseEnded = false;
    std::uint64_t revision = 0; ///< Of the change.
    std::vector<MetadataItem> current; ///< State of the keys with a condition, if not applied.
};

/// The platform's store for what must outlive all daemons. All calls throw core::Error(StoreUnavailable): with outcome
/// not run if the store has certainly not carried out the call, with outcome unknown otherwise.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// One page of the items whose keys begin with @p prefix, after the key @p after.
    virtual net::awaitable<MetadataPage> range(std::string prefix, std::string after, core::Duration timeout) = 0;

    /// Changes after @p revision to keys that begin with @p prefix; waits up to @p wait for the first one.
    virtual net::awaitable<MetadataPage> watch(std::string prefix, std::uint64_t revision, core::Milliseconds wait) = 0;

    /// Applies all of @p changes or none.
    virtual net::awaitable<MetadataSwap> swap(std::vector<MetadataChange> changes, core::Duration timeout) = 0;

    /// Id of a new lease.
    virtual net::awaitable<std::uint64_t> grantLease(core::Milliseconds lifetime, core::Duration timeout) = 0;

    /// False if the lease has ended.
    virtual net::awaitable<bool> renewLease(std::uint64_t lease, core::Duration timeout) = 0;

    virtual net::awaitable<void> endLease(std::uint64_t lease, core::Duration timeout) = 0;
};

/// An order to make a server the primary of its service.
struct PromotionOrder
{
    std::string service;
    std::string server;
    std::string holder; ///< Daemon that holds the duty.
    std::uint64_t fence = 0; ///< An order with a lower one than the platform has seen is refused.
};

enum class PromotionAnswer {
    Accepted,
    Refused, ///< Another holder used a higher fence, or the server does not run.
    Busy, ///< Not carried out.
    Unknown, ///< May be carried out, also later.
};

/// Platform service that replaces primaries.
class PromotionService
{
public:
    virtual ~PromotionService() = default;
    virtual net::awaitable<PromotionAnswer> promote(PromotionOrder order, core::Duration timeout) = 0;
};

}
