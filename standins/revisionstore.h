#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveshore::standins {

/// State of one key at one revision, as in etcd's mvccpb.KeyValue.
struct KeyRevision
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0; ///< 0 = deleted at modRevision.
    std::int64_t lease = 0;

    bool deleted() const
    {
        return this->version == 0;
    }
};

/// Keys from `key` (included) to `end` (excluded), as in etcd. An empty `end` means the single key; "\0" means all keys
/// from `key` on.
struct KeyRange
{
    std::string key;
    std::string end;

    bool contains(std::string_view candidate) const;
};

struct RangeResult
{
    std::vector<KeyRevision> entries;
    std::int64_t count = 0; ///< Number of matching keys, including those beyond the limit.
};

enum class CompareTarget {
    Version,
    Create,
    Mod,
    Value,
};

enum class CompareResult {
    Equal,
    Greater,
    Less,
    NotEqual,
};

struct Compare
{
    std::string key;
    CompareTarget target = CompareTarget::Mod;
    CompareResult result = CompareResult::Equal;
    std::int64_t number = 0;
    std::string value;
};

struct RangeOperation
{
    KeyRange range;
    std::int64_t limit = 0; ///< Maximum number of returned entries; 0 = no limit.
    std::int64_t revision = 0; ///< Store revision to read; 0 = the current revision.
};

struct PutOperation
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

struct DeleteOperation
{
    KeyRange range;
};

using Operation = std::variant<RangeOperation, PutOperation, DeleteOperation>;

/// Result of one operation: the entries of a range, or the number of keys that a deletion removed.
struct OperationResult
{
    RangeResult range;
    std::int64_t deleted = 0;
};

/// Multi-version key-value store in memory with the revision semantics of etcd v3. All changes of one apply() share one
/// revision.
class RevisionStore
{
public:
    std::int64_t revision() const;
    std::int64_t compactedRevision() const;

    /// True if every comparison holds for the current entries.
    bool satisfies(const std::vector<Compare> &compares) const;
    std::vector<OperationResult> apply(const std::vector<Operation> &operations);
    RangeResult range(const RangeOperation &operation) const;

    /// Changes to keys in @p range from revision @p from on, in revision order.
    std::vector<KeyRevision> changes(const KeyRange &range, std::int64_t from) const;

    /// Discards the history up to @p revision; the current entries stay.
    void compact(std::int64_t revision);

    /// Returns to the state at @p revision, or at the compacted revision if that is later. All leases and the keys
    /// attached to them are gone; later revisions and lease ids are given out again.
    void restore(std::int64_t revision);

    /// Creates a lease and returns its id; the store chooses the id if @p id is 0.
    std::int64_t grantLease(std::int64_t id, core::Milliseconds timeToLive, core::TimePoint now);
    /// Renews the lease and returns its time to live, or nothing if the lease is unknown.
    std::optional<core::Milliseconds> keepLeaseAlive(std::int64_t id, core::TimePoint now);
    /// Removes the lease and its keys; false if the lease is unknown.
    bool revokeLease(std::int64_t id);
    bool hasLease(std::int64_t id) const;
    /// Removes expired leases and their keys; true if any key was removed.
    bool expireLeases(core::TimePoint now);

private:
    struct Lease
    {
        core::Milliseconds timeToLive{0};
        core::TimePoint expiry;
    };

    const KeyRevision *newest(std::string_view key) const;
    void record(KeyRevision entry);
    std::int64_t removeRange(const KeyRange &range, std::int64_t atRevision);
    void removeLeaseKeys(std::int64_t id);

    std::int64_t currentRevision = 1;
    std::int64_t compacted = 0;
    static constexpr std::int64_t FirstLease = 7'000'001;
    std::int64_t nextLease = FirstLease;
    std::map<std::string, std::vector<KeyRevision>, std::less<>> history;
    std::vector<KeyRevision> log; ///< All changes in revision order.
    std::map<std::int64_t, Lease> leases;
};

}
