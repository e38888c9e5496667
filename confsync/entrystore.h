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

/// Configuration replicated from the platform's store: versioned entries, deltas between daemons, relays and freshness.
namespace endiveshore::confsync {

/// State of one key. Its version is the store revision of its last change.
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
    Changes, ///< All changes after `since`, including deletions.
    /// All live entries; keys that are missing do not exist. Used if tombstones of deletions after `since` may have
    /// been pruned.
    Full,
    Same, ///< No entries: the live entries with this digest are also those at the revision of the delta.
};

/// Leads from any state between `since` and `revision` to the state at `revision`.
struct Delta
{
    DeltaKind kind = DeltaKind::Changes;
    std::int64_t since = 0;
    std::int64_t revision = 0;
    std::uint64_t digest = 0; ///< Digest of the live entries, in a delta of the kind Same.
    std::vector<EntryChange> entries;
    std::vector<std::string> unchangedKeys; ///< Live entries that have not changed after `since`, in a full delta.
};

enum class MergeResult {
    Applied, ///< The input was applied and the revision has increased.
    Stale, ///< The own state is as new as the input or newer; nothing has changed.
    Gap, ///< Changes between the own revision and the input are missing; nothing has changed.
};

/// Versioned entries of one daemon.
///
/// Invariant: the live entries equal those of the store at revision(). Every input states the revision range that it
/// covers, so input that is older than the own state is ignored as a whole and can neither restore an old value nor
/// resurrect a deleted entry, even after its tombstone was pruned. Input that would leave a gap is refused.
class EntryStore
{
public:
    /// Keeps at most @p maxTombstones deleted entries; daemons that are further behind get a full delta.
    explicit EntryStore(std::size_t maxTombstones = 10'000);

    /// Replaces the state by a snapshot: the live @p entries of the store at @p revision.
    MergeResult applySnapshot(std::span<const EntryChange> entries, std::int64_t revision);

    /// Applies all changes of the store after revision @p since up to @p revision.
    MergeResult applyEvents(std::span<const EntryChange> events, std::int64_t since, std::int64_t revision);

    MergeResult mergeDelta(const Delta &delta);

    /// Delta for a daemon at revision @p since whose live entries have the digest @p digest. Without the digest, the
    /// delta may be a full one even if the live entries of both daemons are the same.
    Delta delta(std::int64_t since, std::optional<std::uint64_t> digest = std::nullopt) const;

    /// Digest of the keys and versions of the live entries.
    std::uint64_t digest() const;

    /// Highest store revision up to which the state is complete; 0 before the first input. Never decreases.
    std::int64_t revision() const;

    /// Live entry of @p key, or nullptr. The pointer is valid until the next change.
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
    std::int64_t tombstoneFloor = 0; ///< All deletions after this revision are kept as tombstones.
    std::size_t tombstones = 0;
    std::map<std::string, Entry, std::less<>> entries;
};

}
