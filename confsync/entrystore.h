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

/// Configuration replicated from the platform's store: versioned entries, deltas between daemons, relays and the age of
/// the local copy.
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
    Same, ///< No entries: the receiver's live entries, which have the digest `digest`, are also those at `revision`.
};

/// Brings a store at any revision between `since` and `revision` to the state at `revision`.
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
    Stale, ///< The input is not newer than this store; nothing has changed.
    Gap, ///< Changes between revision() and the start of the input are missing; nothing has changed.
};

/// Versioned entries of one daemon.
///
/// Invariant: the live entries equal those of the platform's store at revision(). Every input states its revision
/// range, so input that is not newer than this store is ignored as a whole and can neither restore an old value nor
/// resurrect a deleted entry, even after the entry's tombstone was pruned. Input that would leave a gap is refused.
class EntryStore
{
public:
    /// Keeps at most @p maxTombstones deleted entries. A daemon whose revision is older than a pruned deletion cannot
    /// get DeltaKind::Changes.
    explicit EntryStore(std::size_t maxTombstones = 10'000);

    /// Replaces the state by a snapshot: the live @p entries of the platform's store at @p revision.
    MergeResult applySnapshot(std::span<const EntryChange> entries, std::int64_t revision);

    /// Applies all changes of the platform's store after revision @p since up to @p revision.
    MergeResult applyEvents(std::span<const EntryChange> events, std::int64_t since, std::int64_t revision);

    MergeResult mergeDelta(const Delta &delta);

    /// Delta for a daemon at revision @p since whose live entries have the digest @p digest. Without the digest, the
    /// delta may be DeltaKind::Full even if the live entries of both daemons are the same.
    Delta delta(std::int64_t since, std::optional<std::uint64_t> digest = std::nullopt) const;

    /// Digest of the keys and versions of the live entries.
    std::uint64_t digest() const;

    /// Highest revision of the platform's store up to which the state is complete; 0 before the first input. Never
    /// decreases.
    std::int64_t revision() const;

    /// Revision of the last change of @p key, also if that change deleted it; nothing if it is not known.
    std::optional<std::int64_t> versionOf(std::string_view key) const;

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
