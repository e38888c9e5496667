#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// Key-value pair of the metadata store, or the removal of a key.
struct MetadataItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Store revision of the key's last change.
    std::uint64_t lease = 0; ///< Id of the lease that the key is attached to; 0 for none.
    bool isRemoved = false;
};

struct MetadataPage
{
    std::vector<MetadataItem> items;
    bool hasMore = false;
    std::uint64_t revision = 0; ///< Revision of the store.
    std::uint64_t era = 0; ///< Era of the store; see core::StorePoint.
    bool historyLost = false; ///< The changes to watch are no longer available; all items have to be read again.
};

struct MetadataChange
{
    std::string key;
    /// Condition on the key's revision; 0 if the key must not exist, nothing for no condition.
    std::optional<std::uint64_t> expectedRevision;
    std::optional<std::string> value; ///< New value; nothing to remove the key.
    std::uint64_t lease = 0; ///< Id of the lease that the key is attached to; 0 for none.
};

struct MetadataSwap
{
    bool applied = false;
    bool leaseEnded = false;
    std::uint64_t revision = 0; ///< Revision of the change.
    std::uint64_t era = 0; ///< Era of the store when it answered.
    std::vector<MetadataItem> current; ///< State of the keys with a condition; empty if the changes were applied.
};

/// Lease of the era in which it was granted. In a later era its id can belong to another daemon's lease.
struct MetadataLease
{
    std::uint64_t id = 0; ///< 0 for none.
    std::uint64_t era = 0;

    bool operator==(const MetadataLease &) const = default;
};

struct LeaseRenewal
{
    bool isRenewed = false; ///< False if the lease has ended.
    std::uint64_t era = 0; ///< Era of the store when it answered.

    explicit operator bool() const
    {
        return this->isRenewed;
    }
};

/// The platform's store for state that must survive the loss of all daemons. A call that fails throws
/// core::Error(StoreUnavailable): with outcome NotRun if the store certainly did not carry out the call, otherwise with
/// outcome Unknown.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// Returns one page of the items whose keys begin with @p prefix, after the key @p after.
    virtual net::awaitable<MetadataPage> range(std::string prefix, std::string after, core::Duration timeout) = 0;

    /// Returns the changes after @p revision to keys that begin with @p prefix; the store waits up to @p wait for the
    /// first change. The call fails if it is not answered within @p timeout.
    virtual net::awaitable<MetadataPage>
    watch(std::string prefix, std::uint64_t revision, core::Milliseconds wait, core::Duration timeout) = 0;

    /// Compare-and-swap: applies all of @p changes if all of their conditions hold, otherwise none.
    virtual net::awaitable<MetadataSwap> swap(std::vector<MetadataChange> changes, core::Duration timeout) = 0;

    virtual net::awaitable<MetadataLease> grantLease(core::Milliseconds lifetime, core::Duration timeout) = 0;

    virtual net::awaitable<LeaseRenewal> renewLease(std::uint64_t lease, core::Duration timeout) = 0;

    virtual net::awaitable<void> endLease(std::uint64_t lease, core::Duration timeout) = 0;
};

/// Order to promote a server to the primary of its service.
struct PromotionOrder
{
    std::string service;
    std::string server;
    std::string holder; ///< Id of the daemon that holds the promotion duty.
    std::uint64_t fence = 0; ///< Fencing token; the platform refuses orders with a fence below the highest seen.
};

enum class PromotionAnswer {
    Accepted,
    Refused, ///< Another holder used a higher fence, or the server is not running.
    Busy, ///< The platform did not take the order, for example under load; it is not carried out.
    Unknown, ///< No usable answer; the order may be carried out, possibly later.
};

/// Platform service that promotes servers to primaries.
class PromotionService
{
public:
    virtual ~PromotionService() = default;
    virtual net::awaitable<PromotionAnswer> promote(PromotionOrder order, core::Duration timeout) = 0;
};

}
