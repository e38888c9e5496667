#include "confsync/entrystore.h"

#include "core/hashing.h"

#include <algorithm>
#include <set>

namespace endiveshore::confsync {

EntryStore::EntryStore(std::size_t maxTombstones)
    : maxTombstones(maxTombstones)
{
}

MergeResult EntryStore::applySnapshot(std::span<const EntryChange> entries, std::int64_t revision)
{
    return this->replaceBy(entries, {}, revision);
}

MergeResult EntryStore::replaceBy(std::span<const EntryChange> entries,
                                  std::span<const std::string> unchangedKeys,
                                  std::int64_t revision)
{
    if (revision <= this->currentRevision) {
        return MergeResult::Stale;
    }
    std::set<std::string_view> present(unchangedKeys.begin(), unchangedKeys.end());
    for (const EntryChange &entry : entries) {
        present.insert(entry.key);
        this->set(entry);
    }
    for (auto &[key, entry] : this->entries) {
        if (entry.deleted || present.contains(key)) {
            continue;
        }
        // The revision of the deletion is unknown. The revision of the snapshot is a safe version, because an entry
        // that was created again before the snapshot would be part of the snapshot.
        entry = {.value = {}, .version = revision, .deleted = true};
        ++this->tombstones;
    }
    // Entries that were created and deleted between the previous revision and the snapshot have no tombstone here.
    this->tombstoneFloor = revision;
    this->currentRevision = revision;
    this->pruneTombstones();
    return MergeResult::Applied;
}

MergeResult EntryStore::applyEvents(std::span<const EntryChange> events, std::int64_t since, std::int64_t revision)
{
    if (revision <= this->currentRevision) {
        return MergeResult::Stale;
    }
    if (since > this->currentRevision) {
        return MergeResult::Gap;
    }
    const std::int64_t known = this->currentRevision;
    for (const EntryChange &event : events) {
        if (event.version > known && event.version <= revision) {
            this->set(event);
        }
    }
    this->currentRevision = revision;
    this->pruneTombstones();
    return MergeResult::Applied;
}

MergeResult EntryStore::mergeDelta(const Delta &delta)
{
    if (delta.revision <= this->currentRevision) {
        return MergeResult::Stale;
    }
    if (delta.kind == DeltaKind::Changes) {
        return this->applyEvents(delta.entries, delta.since, delta.revision);
    }
    if (delta.kind == DeltaKind::Full) {
        // The unchanged entries are taken from the state of this daemon, which must be at least as new as `since`.
        return delta.since > this->currentRevision
            ? MergeResult::Gap
            : this->replaceBy(delta.entries, delta.unchangedKeys, delta.revision);
    }
    if (delta.digest != this->digest()) {
        return MergeResult::Gap;
    }
    // Entries that were created and deleted between the two revisions have no tombstone here.
    this->tombstoneFloor = delta.revision;
    this->currentRevision = delta.revision;
    return MergeResult::Applied;
}

Delta EntryStore::delta(std::int64_t since, std::optional<std::uint64_t> digest) const
{
    Delta delta{.since = since, .revision = this->currentRevision};
    if (since >= this->tombstoneFloor) {
        for (const auto &[key, entry] : this->entries) {
            if (entry.version > since) {
                delta.entries.push_back(
                    {.key = key, .value = entry.value, .version = entry.version, .deleted = entry.deleted});
            }
        }
        return delta;
    }
    if (digest && *digest == this->digest()) {
        delta.kind = DeltaKind::Same;
        delta.digest = *digest;
        return delta;
    }
    delta.kind = DeltaKind::Full;
    for (const auto &[key, entry] : this->entries) {
        if (entry.deleted) {
            continue;
        }
        if (entry.version <= since) {
            delta.unchangedKeys.push_back(key);
        } else {
            delta.entries.push_back({.key = key, .value = entry.value, .version = entry.version});
        }
    }
    return delta;
}

std::uint64_t EntryStore::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[key, entry] : this->entries) {
        if (!entry.deleted) {
            digest = core::stableHash(std::to_string(digest) + '|' + std::to_string(entry.version) + '|' + key);
        }
    }
    return digest;
}

std::int64_t EntryStore::revision() const
{
    return this->currentRevision;
}

std::optional<std::int64_t> EntryStore::versionOf(std::string_view key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.version);
}

const Entry *EntryStore::find(std::string_view key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() || found->second.deleted ? nullptr : &found->second;
}

void EntryStore::visit(std::string_view prefix,
                       const std::function<void(std::string_view key, const Entry &entry)> &visit) const
{
    for (auto found = this->entries.lower_bound(prefix);
         found != this->entries.end() && std::string_view(found->first).starts_with(prefix);
         ++found) {
        if (!found->second.deleted) {
            visit(found->first, found->second);
        }
    }
}

std::size_t EntryStore::liveCount() const
{
    return this->entries.size() - this->tombstones;
}

std::size_t EntryStore::tombstoneCount() const
{
    return this->tombstones;
}

void EntryStore::set(const EntryChange &change)
{
    if (change.version <= 0) {
        return;
    }
    Entry &entry = this->entries[change.key];
    if (change.version <= entry.version) {
        return;
    }
    this->tombstones -= entry.deleted ? 1 : 0;
    this->tombstones += change.deleted ? 1 : 0;
    entry.version = change.version;
    entry.deleted = change.deleted;
    entry.value = change.deleted ? std::string() : change.value;
}

void EntryStore::pruneTombstones()
{
    if (this->tombstones <= this->maxTombstones) {
        return;
    }
    std::vector<std::int64_t> versions;
    for (const auto &[key, entry] : this->entries) {
        if (entry.deleted) {
            versions.push_back(entry.version);
        }
    }
    // Keeps half of the limit, so that pruning is rare.
    const auto bound = versions.end() - static_cast<std::ptrdiff_t>(this->maxTombstones / 2) - 1;
    std::nth_element(versions.begin(), bound, versions.end());
    this->tombstoneFloor = std::max(this->tombstoneFloor, *bound);
    this->tombstones -= std::erase_if(
        this->entries, [bound](const auto &item) { return item.second.deleted && item.second.version <= *bound; });
}

}
