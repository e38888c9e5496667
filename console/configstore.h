#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::console {

struct StoredValue
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< Store revision of the last change of the key.
};

struct RangeResult
{
    std::vector<StoredValue> values; ///< In key order.
    std::int64_t revision = 0; ///< Store revision at the time of reading.
};

struct SwapResult
{
    bool swapped = false;
    std::int64_t revision = 0; ///< Revision of the change, if swapped.
    std::optional<StoredValue> current; ///< If not swapped: the stored value, or nothing if the key is absent.
};

/// Blocking interface to the calls of the platform's key-value store that the operator command uses. All calls throw
/// core::Error(StoreUnavailable), with outcome NotRun if the call cannot have taken effect and Unknown if it may have.
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    /// Value of @p key, or nothing if the key is absent.
    virtual std::optional<StoredValue> get(std::string_view key, core::Duration timeout) = 0;

    /// All values whose key starts with @p prefix.
    virtual RangeResult range(std::string_view prefix, core::Duration timeout) = 0;

    /// Sets @p key to @p value if its revision is @p base; 0 means that the key must not exist.
    virtual SwapResult
    compareAndSwap(std::string_view key, std::int64_t base, std::string_view value, core::Duration timeout)
        = 0;

    /// Removes @p key if its revision is @p base.
    virtual SwapResult remove(std::string_view key, std::int64_t base, core::Duration timeout) = 0;

    /// Revision of the first removal of @p key after revision @p after. Also throws if the store's history does not
    /// contain the removal, for example after a compaction.
    virtual std::int64_t removalRevision(std::string_view key, std::int64_t after, core::Duration timeout) = 0;
};

}
