#include "standins/revisionstore.h"

#include <algorithm>

namespace endiveshore::standins {

namespace {

template<typename Value>
bool compareValues(const Value &actual, CompareResult result, const Value &expected)
{
    switch (result) {
    case CompareResult::Equal:
        return actual == expected;
    case CompareResult::Greater:
        return actual > expected;
    case CompareResult::Less:
        return actual < expected;
    case CompareResult::NotEqual:
        break;
    }
    return actual != expected;
}

bool isOpenEnd(std::string_view end)
{
    return end == std::string_view("\0", 1);
}

}

bool KeyRange::contains(std::string_view candidate) const
{
    if (this->end.empty()) {
        return candidate == this->key;
    }
    return candidate >= this->key && (isOpenEnd(this->end) || candidate < this->end);
}

std::int64_t RevisionStore::revision() const
{
    return this->currentRevision;
}

std::int64_t RevisionStore::compactedRevision() const
{
    return this->compacted;
}

const KeyRevision *RevisionStore::newest(std::string_view key) const
{
    const auto found = this->history.find(key);
    return found == this->history.end() || found->second.back().deleted() ? nullptr : &found->second.back();
}

bool RevisionStore::satisfies(const std::vector<Compare> &compares) const
{
    return std::all_of(compares.begin(), compares.end(), [this](const Compare &compare) {
        const KeyRevision *entry = this->newest(compare.key);
        const KeyRevision absent;
        const KeyRevision &actual = entry != nullptr ? *entry : absent;
        switch (compare.target) {
        case CompareTarget::Version:
            return compareValues(actual.version, compare.result, compare.number);
        case CompareTarget::Create:
            return compareValues(actual.createRevision, compare.result, compare.number);
        case CompareTarget::Mod:
            return compareValues(actual.modRevision, compare.result, compare.number);
        case CompareTarget::Value:
            break;
        }
        // In etcd, comparing the value of an absent key fails with every operator.
        return entry != nullptr && compareValues(actual.value, compare.result, compare.value);
    });
}

std::vector<OperationResult> RevisionStore::apply(const std::vector<Operation> &operations)
{
    const std::int64_t nextRevision = this->currentRevision + 1;
    const std::size_t logSize = this->log.size();
    std::vector<OperationResult> results;
    for (const Operation &operation : operations) {
        OperationResult result;
        if (const auto *rangeOperation = std::get_if<RangeOperation>(&operation)) {
            result.range = this->range(*rangeOperation);
        } else if (const auto *put = std::get_if<PutOperation>(&operation)) {
            const KeyRevision *previous = this->newest(put->key);
            this->record({.key = put->key,
                          .value = put->value,
                          .createRevision = previous != nullptr ? previous->createRevision : nextRevision,
                          .modRevision = nextRevision,
                          .version = previous != nullptr ? previous->version + 1 : 1,
                          .lease = put->lease});
        } else if (const auto *deletion = std::get_if<DeleteOperation>(&operation)) {
            result.deleted = this->removeRange(deletion->range, nextRevision);
        }
        results.push_back(std::move(result));
    }
    if (this->log.size() != logSize) {
        this->currentRevision = nextRevision;
    }
    return results;
}

RangeResult RevisionStore::range(const RangeOperation &operation) const
{
    RangeResult result;
    for (auto found = this->history.lower_bound(operation.range.key); found != this->history.end(); ++found) {
        const auto &[key, revisions] = *found;
        if (!operation.range.contains(key)) {
            break;
        }
        const auto newer = operation.revision <= 0
            ? revisions.end()
            : std::upper_bound(
                revisions.begin(),
                revisions.end(),
                operation.revision,
                [](std::int64_t revision, const KeyRevision &entry) { return revision < entry.modRevision; });
        if (newer == revisions.begin() || std::prev(newer)->deleted()) {
            continue;
        }
        ++result.count;
        if (operation.limit <= 0 || static_cast<std::int64_t>(result.entries.size()) < operation.limit) {
            result.entries.push_back(*std::prev(newer));
        }
    }
    return result;
}

std::vector<KeyRevision> RevisionStore::changes(const KeyRange &range, std::int64_t from) const
{
    const auto first = std::lower_bound(
        this->log.begin(), this->log.end(), from, [](const KeyRevision &entry, std::int64_t revision) {
            return entry.modRevision < revision;
        });
    std::vector<KeyRevision> found;
    std::copy_if(first, this->log.end(), std::back_inserter(found), [&range](const KeyRevision &entry) {
        return range.contains(entry.key);
    });
    return found;
}

void RevisionStore::compact(std::int64_t revision)
{
    this->compacted = std::max(this->compacted, std::min(revision, this->currentRevision));
    std::erase_if(this->log, [this](const KeyRevision &entry) { return entry.modRevision <= this->compacted; });
    for (auto found = this->history.begin(); found != this->history.end();) {
        std::vector<KeyRevision> &revisions = found->second;
        const auto newer = std::upper_bound(
            revisions.begin(), revisions.end(), this->compacted, [](std::int64_t bound, const KeyRevision &entry) {
                return bound < entry.modRevision;
            });
        if (newer != revisions.begin()) {
            const bool keepLast = !std::prev(newer)->deleted();
            revisions.erase(revisions.begin(), keepLast ? std::prev(newer) : newer);
        }
        found = revisions.empty() ? this->history.erase(found) : std::next(found);
    }
}

void RevisionStore::restore(std::int64_t revision)
{
    this->currentRevision = std::min(this->currentRevision, std::max(revision, this->compacted));
    const auto isLater = [this](const KeyRevision &entry) { return entry.modRevision > this->currentRevision; };
    std::erase_if(this->log, isLater);
    std::vector<Operation> deletions;
    for (auto found = this->history.begin(); found != this->history.end();) {
        std::erase_if(found->second, isLater);
        if (found->second.empty()) {
            found = this->history.erase(found);
            continue;
        }
        if (!found->second.back().deleted() && found->second.back().lease != 0) {
            deletions.emplace_back(DeleteOperation{.range = {.key = found->first, .end = {}}});
        }
        ++found;
    }
    this->leases.clear();
    this->nextLease = FirstLease;
    if (!deletions.empty()) {
        this->apply(deletions);
    }
}

std::int64_t RevisionStore::grantLease(std::int64_t id, core::Milliseconds timeToLive, core::TimePoint now)
{
    const std::int64_t chosen = id != 0 ? id : this->nextLease++;
    this->leases[chosen] = {.timeToLive = timeToLive, .expiry = now + timeToLive};
    return chosen;
}

std::optional<core::Milliseconds> RevisionStore::keepLeaseAlive(std::int64_t id, core::TimePoint now)
{
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return std::nullopt;
    }
    found->second.expiry = now + found->second.timeToLive;
    return found->second.timeToLive;
}

bool RevisionStore::revokeLease(std::int64_t id)
{
    if (this->leases.erase(id) == 0) {
        return false;
    }
    this->removeLeaseKeys(id);
    return true;
}

bool RevisionStore::hasLease(std::int64_t id) const
{
    return this->leases.contains(id);
}

bool RevisionStore::expireLeases(core::TimePoint now)
{
    const std::int64_t before = this->currentRevision;
    for (auto found = this->leases.begin(); found != this->leases.end();) {
        if (found->second.expiry > now) {
            ++found;
            continue;
        }
        const std::int64_t id = found->first;
        found = this->leases.erase(found);
        this->removeLeaseKeys(id);
    }
    return this->currentRevision != before;
}

void RevisionStore::record(KeyRevision entry)
{
    std::vector<KeyRevision> &revisions = this->history[entry.key];
    revisions.push_back(entry);
    this->log.push_back(std::move(entry));
}

std::int64_t RevisionStore::removeRange(const KeyRange &range, std::int64_t atRevision)
{
    std::vector<std::string> keys;
    for (auto found = this->history.lower_bound(range.key); found != this->history.end(); ++found) {
        if (!range.contains(found->first)) {
            break;
        }
        if (!found->second.back().deleted()) {
            keys.push_back(found->first);
        }
    }
    for (const std::string &key : keys) {
        this->record({.key = key, .modRevision = atRevision});
    }
    return static_cast<std::int64_t>(keys.size());
}

void RevisionStore::removeLeaseKeys(std::int64_t id)
{
    std::vector<Operation> deletions;
    for (const auto &[key, revisions] : this->history) {
        if (!revisions.back().deleted() && revisions.back().lease == id) {
            deletions.emplace_back(DeleteOperation{.range = {.key = key, .end = {}}});
        }
    }
    if (!deletions.empty()) {
        this->apply(deletions);
    }
}

}
