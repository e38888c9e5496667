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

/// Keys from key up to, but without, end. An empty end means the single key; "\0" means all keys from key on.
struct KeyRange
{
    std::string key;
    std::string end;

    bool contains(std::string_view candidate) const;
};

struct RangeResult
{
    std::vector<KeyRevision> entries;
    std::int64_t count = 0; ///< Matching keys, also beyond the limit.
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
    std::int64_t limit = 0; ///< 0 = no limit.
    std::int64_t revision = 0; ///< 0 = the newest.
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

/// Outcome of one operation: the entries of a range or the entries that a deletion removed.
struct OperationResult
{
    RangeResult range;
    std::int64_t deleted = 0;
};

/// Multi-version key-value model with the revision semantics of etcd v3. All changes of one apply() share one revision.
class RevisionStore
{
public:
    std::int64_t revision() const;
    std::int64_t compactedRevision() const;

    bool satisfies(const std::vector<Compare> &compares) const;
    std::vector<OperationResult> apply(const std::vector<Operation> &operations);
    RangeResult range(const RangeOperation &operation) const;

    /// Changes to keys in @p range from revision @p from on, in revision order.
    std::vector<KeyRevision> changes(const KeyRange &range, std::int64_t from) const;

    /// Forgets the history up to @p revision.
    void compact(std::int64_t revision);

    /// Returns the id of a new lease; @p id 0 chooses one.
    std::int64_t grantLease(std::int64_t id, core::Milliseconds timeToLive, core::TimePoint now);
    /// The time to live, or nothing if the lease is unknown.
    std::optional<core::Milliseconds> keepLeaseAlive(std::int64_t id, core::TimePoint now);
    /// Removes the lease and its keys; false if the lease is unknown.
    bool revokeLease(std::int64_t id);
    bool hasLease(std::int64_t id) const;
    /// Removes lapsed leases with their keys; true if any key was removed.
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
    std::int64_t nextLease = 7'000'001;
    std::map<std::string, std::vector<KeyRevision>, std::less<>> history;
    std::vector<KeyRevision> log; ///< All changes in revision order.
    std::map<std::int64_t, Lease> leases;
};

}
