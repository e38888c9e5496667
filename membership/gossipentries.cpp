#include "core/hashing.h"
#include "membership/gossipmember.h"

#include <algorithm>
#include <tuple>

namespace endiveshore::membership {

using namespace std::chrono_literals;

namespace {

// Dead and left members are kept for this long, so that old gossip does not revive them and the membership recovers
// after a network partition.
constexpr core::Duration TombstoneLifetime = 1h;
constexpr core::Duration TombstoneSweepInterval = 10s;
// Dead members count as known members for this long when the majority is determined.
constexpr core::Duration RecentlyDeadWindow = 60s;
constexpr core::Duration CountLifetime = 1s;
// Interval between comparisons of entries. Each comparison covers one bucket; a bucket fits into one or two datagrams.
constexpr core::Duration SyncInterval = 2s;
// Shorter interval for ChangeLifetime after a change, so that members that missed the updates receive them within
// seconds.
constexpr core::Duration SyncIntervalAfterChange = 500ms;
constexpr core::Duration ChangeLifetime = 20s;
constexpr core::Duration CatchUpTimeout = 200ms;
constexpr std::uint64_t MembersPerBucket = 8;
constexpr std::uint64_t StatesPerBucket = 16;
constexpr int MaxSyncDatagrams = 4;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t hashOf(std::uint64_t idHash, const Member &member)
{
    return mix(idHash ^ mix(member.incarnation * 2 + 1) ^ mix(member.refutation * 2));
}

std::uint64_t hashOf(std::uint64_t keyHash, const StateValue &value)
{
    return mix(keyHash ^ mix(static_cast<std::uint64_t>(value.version)) ^ core::stableHash(value.text)
               ^ mix(static_cast<std::uint64_t>(value.number) * 3 + 1));
}

bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

}

void GossipMember::setSeeds(std::vector<std::string> seeds)
{
    std::erase(seeds, this->options.address);
    this->options.seeds = std::move(seeds);
    this->countsStale = true;
}

void GossipMember::setConfigRevision(std::uint64_t revision)
{
    this->own.configRevision = std::max(this->own.configRevision, revision);
}

bool GossipMember::setState(const std::string &key, const StateValue &value)
{
    return this->mergeState(key, value);
}

const std::map<std::string, StateValue> &GossipMember::states() const
{
    return this->stateValues;
}

const Member &GossipMember::self() const
{
    return this->own;
}

std::vector<Member> GossipMember::members() const
{
    std::vector<Member> all;
    all.reserve(this->known.size() + 1);
    for (const auto &[id, entry] : this->known) {
        if (all.size() <= this->known.size() && this->own.id < id && (all.empty() || all.back().id < this->own.id)) {
            all.push_back(this->own);
        }
        all.push_back(entry.member);
    }
    if (all.empty() || all.back().id < this->own.id) {
        all.push_back(this->own);
    }
    return all;
}

void GossipMember::emit(MemberEventKind kind, const Member &member)
{
    this->output.events.push_back({kind, member});
}

void GossipMember::queueUpdate(UpdateKind kind, const std::string &key)
{
    this->updates.add(kind, key);
    ++this->changes;
}

void GossipMember::raiseRevision(Member &member, std::uint64_t revision)
{
    if (revision > member.configRevision) {
        member.configRevision = revision;
        this->output.revisionUpdates.push_back({member.id, revision});
    }
}

void GossipMember::mergeMember(core::TimePoint now, const Member &entry)
{
    if (entry.id == this->own.id) {
        this->mergeOwn(entry);
        return;
    }
    const auto found = this->known.find(entry.id);
    if (found == this->known.end()) {
        if (isLive(entry.state)) {
            this->addMember(now, entry);
        }
        return;
    }
    KnownMember &current = found->second;
    const auto version = std::tie(entry.incarnation, entry.refutation);
    const auto currentVersion = std::tie(current.member.incarnation, current.member.refutation);
    if (version < currentVersion) {
        return;
    }
    this->raiseRevision(current.member, entry.configRevision);
    if (version == currentVersion) {
        if (entry.state > current.member.state) {
            this->changeState(now, current, entry.state);
        } else if (entry.state == current.member.state) {
            this->updates.recordReceived(UpdateKind::Member, entry.id);
        }
        return;
    }
    const bool restarted = entry.incarnation != current.member.incarnation;
    const MemberState before = current.member.state;
    const std::uint64_t revision = current.member.configRevision;
    current.member = entry;
    current.member.state = before;
    current.member.configRevision = restarted ? entry.configRevision : revision;
    this->regionsStale = true;
    if (restarted && isLive(before) && isLive(entry.state)) {
        this->stateChangedAt = now;
        this->emit(MemberEventKind::Restarted, current.member);
    }
    if (entry.state != before) {
        this->changeState(now, current, entry.state);
    }
    this->queueUpdate(UpdateKind::Member, entry.id);
}

void GossipMember::mergeOwn(const Member &entry)
{
    if (entry.incarnation < this->own.incarnation) {
        return;
    }
    if (entry.incarnation > this->own.incarnation) {
        if (entry.address != this->own.address) {
            this->stopped = true;
            this->emit(MemberEventKind::Superseded, entry);
            return;
        }
        // An earlier process at this address had a higher incarnation, for example before the clock stepped back.
        this->own.incarnation = entry.incarnation + 1;
        this->queueUpdate(UpdateKind::Member, this->own.id);
        return;
    }
    if (entry.state == MemberState::Alive || entry.refutation < this->own.refutation) {
        return;
    }
    this->own.refutation = entry.refutation + 1;
    this->queueUpdate(UpdateKind::Member, this->own.id);
}

void GossipMember::addMember(core::TimePoint now, const Member &entry)
{
    KnownMember added;
    added.member = entry;
    added.member.state = MemberState::Alive;
    added.hash = core::stableHash(entry.id);
    added.changedAt = now;
    this->stateChangedAt = now;
    this->regionsStale = true;
    KnownMember &stored = this->known.emplace(entry.id, std::move(added)).first->second;
    // A random position in the order, because members that join together would otherwise be pinged together.
    const std::size_t place = this->random() % (this->probeOrder.size() + 1);
    this->probeOrder.insert(this->probeOrder.begin() + static_cast<std::ptrdiff_t>(place), entry.id);
    this->countsStale = true;
    this->queueUpdate(UpdateKind::Member, entry.id);
    this->emit(MemberEventKind::Joined, stored.member);
    if (entry.configRevision != 0) {
        this->output.revisionUpdates.push_back({entry.id, entry.configRevision});
    }
    if (entry.state == MemberState::Suspect) {
        this->changeState(now, stored, MemberState::Suspect);
    }
}

void GossipMember::changeState(core::TimePoint now, KnownMember &known, MemberState state)
{
    static constexpr MemberEventKind Kinds[]{
        MemberEventKind::AliveAgain, MemberEventKind::Suspect, MemberEventKind::Dead, MemberEventKind::Left};
    const std::string id = known.member.id;
    const MemberState before = known.member.state;
    known.member.state = state;
    known.changedAt = now;
    this->stateChangedAt = now;
    this->regionsStale = true;
    known.ownEvidence = false;
    known.unanswered = 0;
    known.requiredPings = RequiredPings;
    this->countsStale = true;
    if (state == MemberState::Suspect) {
        known.deadline = now + this->options.gossipSuspicionTimeout;
        this->suspects.insert(id);
    } else {
        this->suspects.erase(id);
    }
    if (isLive(state) && !isLive(before)) {
        const std::size_t place = this->random() % (this->probeOrder.size() + 1);
        this->probeOrder.insert(this->probeOrder.begin() + static_cast<std::ptrdiff_t>(place), id);
    } else if (!isLive(state) && isLive(before)) {
        std::erase(this->probeOrder, id);
    }
    this->queueUpdate(UpdateKind::Member, id);
    const bool rejoined = before == MemberState::Left && state == MemberState::Alive;
    this->emit(rejoined ? MemberEventKind::Joined : Kinds[static_cast<std::size_t>(state)], known.member);
}

bool GossipMember::mergeState(const std::string &key, const StateValue &value)
{
    const auto found = this->stateValues.find(key);
    if (found != this->stateValues.end() && !isNewer(value, found->second)) {
        if (value == found->second) {
            this->updates.recordReceived(UpdateKind::State, key);
        }
        return false;
    }
    this->stateValues[key] = value;
    this->stateHashes[key] = core::stableHash(key);
    this->queueUpdate(UpdateKind::State, key);
    return true;
}

void GossipMember::synchronise(core::TimePoint now)
{
    if (this->catchUp.done) {
        if (now >= this->nextSync) {
            if (this->changes != this->changesSeen) {
                this->changesSeen = this->changes;
                this->lastChange = now;
            }
            const bool changed = now - this->lastChange < ChangeLifetime;
            this->nextSync = now + (changed ? SyncIntervalAfterChange : SyncInterval);
            if (const KnownMember *partner = this->comparisonPartner()) {
                const std::uint64_t count = this->bucketCount();
                this->sendDigest(partner->member.address, this->random() % count, count, this->nextSequence++);
            }
        }
        return;
    }
    if (this->catchUp.sequence != 0 && now - this->catchUp.sent < CatchUpTimeout) {
        return;
    }
    const KnownMember *partner = this->comparisonPartner();
    if (partner == nullptr) {
        this->catchUp.sequence = 0;
        this->catchUp.done = now - this->catchUp.started >= this->options.joinTimeout;
        return;
    }
    if (this->bucketCount() > this->catchUp.count) {
        // There are more entries than assumed, so the transfer restarts with smaller buckets.
        this->catchUp.count = this->bucketCount();
        this->catchUp.bucket = 0;
    }
    this->catchUp.sequence = this->nextSequence++;
    this->catchUp.sent = now;
    this->sendDigest(partner->member.address, this->catchUp.bucket, this->catchUp.count, this->catchUp.sequence);
}

void GossipMember::sendDigest(const std::string &address,
                              std::uint64_t bucket,
                              std::uint64_t count,
                              std::uint64_t sequence)
{
    GossipHeader digest = this->header(GossipType::Sync, sequence);
    digest.digest = SyncDigest{bucket, count, this->bucketHash(bucket, count), false};
    this->send(address, digest, {});
}

void GossipMember::receiveDigest(const GossipHeader &header, std::string_view fromAddress)
{
    if (!header.digest) {
        return;
    }
    const std::string address(fromAddress);
    const SyncDigest &digest = *header.digest;
    const std::uint64_t hash = this->bucketHash(digest.bucket, digest.count);
    if (hash == digest.hash) {
        if (!digest.answer) {
            GossipHeader same = this->header(GossipType::State, header.sequence);
            same.memberCount = this->known.size() + 1;
            same.stateCount = this->stateValues.size();
            this->output.datagrams.push_back({address, GossipWriter(same, this->options.maxDatagramBytes).finish()});
        }
        return;
    }
    this->sendBucket(address, digest, header.sequence);
    if (!digest.answer) {
        GossipHeader back = this->header(GossipType::Sync, header.sequence);
        back.digest = SyncDigest{digest.bucket, digest.count, hash, true};
        this->send(address, back, header.sender);
    }
}

void GossipMember::sendBucket(const std::string &address, const SyncDigest &digest, std::uint64_t sequence)
{
    GossipHeader header = this->header(GossipType::State, sequence);
    header.memberCount = this->known.size() + 1;
    header.stateCount = this->stateValues.size();
    GossipWriter writer(header, this->options.maxDatagramBytes);
    int sent = 0;
    auto flush = [&] {
        this->output.datagrams.push_back({address, writer.finish()});
        writer = GossipWriter(header, this->options.maxDatagramBytes);
        return ++sent < MaxSyncDatagrams;
    };
    if (this->ownHash % digest.count == digest.bucket) {
        writer.addMember(this->own);
    }
    for (const auto &[id, entry] : this->known) {
        if (entry.hash % digest.count != digest.bucket || writer.addMember(entry.member)) {
            continue;
        }
        if (!flush()) {
            return;
        }
        writer.addMember(entry.member);
    }
    for (const auto &[key, value] : this->stateValues) {
        if (this->stateHashes.at(key) % digest.count != digest.bucket || writer.addState(key, value)) {
            continue;
        }
        if (!flush()) {
            return;
        }
        writer.addState(key, value);
    }
    flush();
}

void GossipMember::receiveState(const GossipHeader &header)
{
    this->remoteMemberCount = std::max(this->remoteMemberCount, header.memberCount);
    this->remoteStateCount = std::max(this->remoteStateCount, header.stateCount);
    if (this->catchUp.done || header.sequence == 0 || header.sequence != this->catchUp.sequence) {
        return;
    }
    this->catchUp.sequence = 0;
    if (this->bucketCount() > this->catchUp.count) {
        return;
    }
    ++this->catchUp.bucket;
    this->catchUp.done = this->catchUp.bucket >= this->catchUp.count;
}

void GossipMember::sendOwnEntry(const std::string &address)
{
    GossipWriter writer(this->header(GossipType::State, 0), this->options.maxDatagramBytes);
    writer.addMember(this->own);
    this->output.datagrams.push_back({address, writer.finish()});
}

std::uint64_t GossipMember::bucketCount() const
{
    const std::uint64_t members = std::max<std::uint64_t>(
        this->known.size() + 1, this->catchUp.done ? std::uint64_t(0) : this->remoteMemberCount);
    const std::uint64_t states = std::max<std::uint64_t>(
        this->stateValues.size(), this->catchUp.done ? std::uint64_t(0) : this->remoteStateCount);
    return std::max<std::uint64_t>(1,
                                   std::max((members + MembersPerBucket - 1) / MembersPerBucket,
                                            (states + StatesPerBucket - 1) / StatesPerBucket));
}

std::uint64_t GossipMember::bucketHash(std::uint64_t bucket, std::uint64_t count) const
{
    std::uint64_t sum = this->ownHash % count == bucket ? hashOf(this->ownHash, this->own) : 0;
    for (const auto &[id, entry] : this->known) {
        if (entry.hash % count == bucket && isLive(entry.member.state)) {
            sum += hashOf(entry.hash, entry.member);
        }
    }
    for (const auto &[key, hash] : this->stateHashes) {
        if (hash % count == bucket) {
            sum += hashOf(hash, this->stateValues.at(key));
        }
    }
    return sum;
}

void GossipMember::removeTombstones(core::TimePoint now)
{
    if (now < this->nextTombstoneSweep) {
        return;
    }
    this->nextTombstoneSweep = now + TombstoneSweepInterval;
    std::erase_if(this->known, [now](const auto &entry) {
        return !isLive(entry.second.member.state) && now - entry.second.changedAt >= TombstoneLifetime;
    });
}

void GossipMember::countMembers(core::TimePoint now) const
{
    if (!this->countsStale && now - this->countedAt < CountLifetime) {
        return;
    }
    this->countsStale = false;
    this->countedAt = now;
    this->aliveCount = 1;
    this->knownCount = 1;
    std::set<std::string_view> countedAddresses;
    for (const auto &[id, entry] : this->known) {
        const MemberState state = entry.member.state;
        const bool recentlyDead = state == MemberState::Dead && now - entry.changedAt < RecentlyDeadWindow;
        if (state == MemberState::Alive) {
            ++this->aliveCount;
        }
        if (isLive(state) || recentlyDead) {
            ++this->knownCount;
        }
        if (isLive(state) || recentlyDead || state == MemberState::Left) {
            countedAddresses.insert(entry.member.address);
        }
    }
    for (const std::string &seed : this->options.seeds) {
        if (countedAddresses.insert(seed).second) {
            ++this->knownCount;
        }
    }
}

}
