#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::store {

struct StoreClientOptions
{
    std::vector<net::TcpEndpoint> endpoints; ///< At least one; tried in turn after failures.
    core::Duration connectTimeout = std::chrono::milliseconds(500);
    core::Duration callTimeout = std::chrono::milliseconds(2'000); ///< Per call, with its connection attempts.
};

/// Entry of the store. Its version is the store revision of its last change.
struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

struct StoreSnapshot
{
    std::vector<StoreEntry> entries;
    std::int64_t revision = 0; ///< Store revision at which all entries were read.
};

struct RangeOptions
{
    /// Entries per call. Together they must stay below 8 MB of answer: 5 entries of the largest size, 1 MB.
    std::int64_t pageSize = 200;
    std::int64_t revision = 0; ///< Reads at this store revision; 0 = the newest.
};

struct SwapResult
{
    bool swapped = false;
    std::int64_t version = 0; ///< Version of the entry after the call; 0 if it is absent.
    std::string currentValue; ///< Value found, if not swapped.
};

struct StoreEvent
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
};

enum class WatchEndReason {
    Stopped, ///< The callback asked for the end.
    ConnectionLost,
    TimedOut, ///< Nothing arrived within the silence deadline.
    Refused, ///< The store answered with an error.
    Compacted, ///< The history from the wanted revision on is gone; read a snapshot first.
};

struct WatchOptions
{
    std::string prefix;
    std::int64_t fromRevision = 1; ///< First revision to report.
    /// A watch without any message for this long counts as dead. Must exceed the store's progress interval.
    core::Duration inactivityTimeout = std::chrono::milliseconds(1'500);
};

/// Receives the events of whole revisions and the revision up to which all events have been delivered. Called without
/// events for progress notifications, and when the watch opens and no change is outstanding; both confirm that all
/// changes are known. Returns false to end the watch.
using WatchCallback = std::function<bool(const std::vector<StoreEvent> &events, std::int64_t revision)>;

/// Client of the platform's key-value store (etcd v3 JSON gateway). Runs on one executor and is not thread-safe;
/// several calls may be pending. One idle connection is kept for calls; each watch has its own.
///
/// Calls throw core::Error(StoreUnavailable). The outcome is unknown if a change may have been applied, and not run
/// if it surely was not and for all reads.
class StoreClient
{
public:
    StoreClient(const net::Executor &executor, StoreClientOptions options);
    ~StoreClient();

    /// All entries whose key starts with @p prefix, read at one store revision. Reads are repeated once if the
    /// connection fails.
    net::awaitable<StoreSnapshot> range(std::string prefix, RangeOptions options = {});

    net::awaitable<std::optional<StoreEntry>> get(std::string key);

    /// Writes @p value if the entry's version is @p expectedVersion; 0 = if it is absent. Never repeated by itself.
    net::awaitable<SwapResult> compareAndSwap(std::string key, std::int64_t expectedVersion, std::string value);

    /// Deletes the entry if its version is @p expectedVersion. The resulting version is the revision of the deletion.
    net::awaitable<SwapResult> remove(std::string key, std::int64_t expectedVersion);

    /// Watches a prefix until the watch ends for one of the reasons of WatchEndReason. Does not throw core::Error.
    net::awaitable<WatchEndReason> watch(WatchOptions options, WatchCallback callback);

    /// Calls sent to the store so far, watches included.
    std::uint64_t callCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// End of the key range that holds all keys with @p prefix.
std::string prefixEnd(std::string_view prefix);

}
