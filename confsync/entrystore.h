#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Configuration that follows the platform's store: versioned entries, deltas between daemons, relays and freshness.
namespace endiveshore::confsync {

/// State of one key. Its version is the store revision of the change that led to it.
struct Entry
{
    std::string value;
    std::int64_t version = 0;
    bool deleted = false; ///< Tombstone; its version may be that of a snapshot taken after the deletion.
};

struct EntryChange
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
};

enum class DeltaKind {
    Changes, ///< All changes after since, deletions included.
    Full, ///< All live entries; keys that are missing do not exist. Used where tombstones after since are not kept.
    Same, ///< The live entries with this digest are also those at the revision of the delta.
};

/// Leads from any state between since and revision to the state at revision.
struct Delta
{
    DeltaKind kind = DeltaKind::Changes;
    std::int64_t since = 0;
    std::int64_t revision = 0;
    std::uint64_t digest = 0; ///< Of a delta of the kind Same.
    std::vector<EntryChange> entries;
    std::vector<std::string> unchangedKeys; ///< Of a full delta: live entries that have not changed after since.
};

enum class MergeResult {
    Applied, ///< The revision has risen.
    Stale, ///< The own state is as new or newer; nothing changed.
    Gap, ///< Changes between the own revision and the input are missing; nothing changed.
};

/// Versioned entries of one daemon.
///
/// Invariant: the live entries equal those of the store at revision(). Every input carries the revision range that it
/// covers, so input that is older than the own state is ignored as a whole and can neither return an old value nor
/// resurrect a deleted entry, even where the tombstone is no longer kept. Input that would leave a gap is refused.
class EntryStore
{
public:
    /// Keeps at most @p maxTombstones deleted entries; daemons that are further behind get a full delta.
    explicit EntryStore(std::size_t maxTombstones = 10'000);

    /// Replaces the state by the live @p entries of the store at @p revision.
    MergeResult applySnapshot(std::span<const EntryChange> entries, std::int64_t revision);

    /// Applies all changes of the store after revision @p since up to @p revision.
    MergeResult applyEvents(std::span<const EntryChange> events, std::int64_t since, std::int64_t revision);

    MergeResult mergeDelta(const Delta &delta);

    /// What a daemon at revision @p since lacks, whose live entries have the digest @p digest. Without the digest, a
    /// daemon that lacks nothing but a higher revision may get a full delta.
    Delta delta(std::int64_t since, std::optional<std::uint64_t> digest = std::nullopt) const;

    /// Digest of the keys and versions of the live entries.
    std::uint64_t digest() const;

    /// Highest store revision up to which the state is complete; 0 before the first input. Never falls.
    std::int64_t revision() const;

    /// The live entry of @p key, or nullptr. Valid until the next change.
    const Entry *find(std::string_view key) const;

    /// Calls @p visit for each live entry whose key starts with @p prefix, in the order of the keys.
    void visit(std::string_view prefix,
               const std::function<void(std::string_view key, const Entry &entry)> &visit) const;

    std::size_t liveCount() const;
    std::size_t tombstoneCount() const;

private:
    MergeResult
    replaceBy(std::span<const EntryChange> entries, std::span<const std::string> unchangedKeys, std::int64_t revision);
    void set(const EntryChange &change);
    void pruneTombstones();

    std::size_t maxTombstones;
    std::int64_t currentRevision = 0;
    std::int64_t tombstoneFloor = 0; ///< Deletions after this revision are known as tombstones.
    std::size_t tombstones = 0;
    std::map<std::string, Entry, std::less<>> entries;
};

}
