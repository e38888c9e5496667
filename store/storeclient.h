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
    std::vector<net::TcpEndpoint> endpoints; ///< At least one; after a failure the next endpoint is used.
    core::Duration connectTimeout = std::chrono::milliseconds(500);
    core::Duration callTimeout = std::chrono::milliseconds(2'000); ///< Limit of one call, with connection attempts.
};

/// Entry of the store. The version is the store revision of the entry's last change.
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
    /// Maximum number of entries per call. The response must stay below 8 MB, which holds 5 entries of the maximum size
    /// of 1 MB.
    std::int64_t pageSize = 200;
    std::int64_t revision = 0; ///< Store revision to read at; 0 reads the newest revision.
};

struct SwapResult
{
    bool swapped = false;
    std::int64_t version = 0; ///< Version of the entry after the call; 0 if it is absent.
    std::string currentValue; ///< Value found in the store, if not swapped.
};

struct StoreEvent
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
};

enum class WatchEndReason {
    Stopped, ///< The callback returned false.
    ConnectionLost,
    TimedOut, ///< No message arrived within the inactivity timeout.
    Refused, ///< The store responded with an error or an unreadable message.
    Compacted, ///< The store has discarded the history from the requested revision on; read a snapshot first.
};

struct WatchOptions
{
    std::string prefix;
    std::int64_t fromRevision = 1; ///< First revision to report.
    /// A watch without any message for this long is considered broken. Must exceed the store's progress interval.
    core::Duration inactivityTimeout = std::chrono::milliseconds(1'500);
};

/// Receives the events of complete revisions, and the revision up to which all events have been delivered. Called
/// without events for a progress notification, and when the watch opens with no change outstanding; both confirm that
/// no change up to that revision is missing. Returns false to end the watch.
using WatchCallback = std::function<bool(const std::vector<StoreEvent> &events, std::int64_t revision)>;

/// Client of the platform's key-value store (etcd v3 JSON gateway). Runs on one executor and is not thread-safe;
/// several calls may be pending. One idle connection is kept for calls; each watch opens its own connection.
///
/// Calls throw core::Error(StoreUnavailable). The outcome is unknown if a change may have been applied; it is not run
/// if the change was certainly not applied, and for all reads.
class StoreClient
{
public:
    StoreClient(const net::Executor &executor, StoreClientOptions options);
    ~StoreClient();

    /// Reads all entries whose key starts with @p prefix at one store revision. After a failure a read is retried; the
    /// total number of attempts per page is the number of endpoints plus one.
    net::awaitable<StoreSnapshot> range(std::string prefix, RangeOptions options = {});

    net::awaitable<std::optional<StoreEntry>> get(std::string key);

    /// Writes @p value if the entry's version is @p expectedVersion; 0 requires that the entry is absent. Never retried
    /// once the change may have been applied.
    net::awaitable<SwapResult> compareAndSwap(std::string key, std::int64_t expectedVersion, std::string value);

    /// Deletes the entry if its version is @p expectedVersion. The version in the result is the revision of the
    /// deletion.
    net::awaitable<SwapResult> remove(std::string key, std::int64_t expectedVersion);

    /// Watches a prefix until the watch ends for one of the reasons of WatchEndReason. Does not throw core::Error.
    net::awaitable<WatchEndReason> watch(WatchOptions options, WatchCallback callback);

    /// Number of requests sent to the store, including watches.
    std::uint64_t callCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Exclusive end of the range of all keys that begin with @p prefix.
std::string prefixEnd(std::string_view prefix);

}
