#include "membership/gossipmember.h"

#include "core/hashing.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace endiveshore::membership {

using namespace std::chrono_literals;

namespace {

// A tick this late means that the process was paused. Missing answers from that time are not evidence of failures.
constexpr core::Duration PauseLimit = 500ms;
// Interval between pings of suspects. Only one suspect is pinged at a time, so that the cost stays bounded with many
// suspects.
constexpr core::Duration SuspectPingInterval = 150ms;
constexpr unsigned RequiredPingsAfterRefusal = 1;
// Answers to a probe that arrive later are ignored.
constexpr core::Duration ProbeLifetime = 2s;
// Interval between pings of unreachable members and seeds, one at a time. These pings rejoin the sides of a network
// partition when the partition has ended.
constexpr core::Duration ReconnectInterval = 1s;
// An update is sent TransmissionFactor times the logarithm of the number of members.
constexpr unsigned TransmissionFactor = 3;
// A member that receives no datagram for this long considers itself isolated.
constexpr core::Duration IsolationTimeout = 1s;
// If 5 of the latest 6 pings (1.8 s) are unanswered, most members are unreachable.
constexpr std::size_t RecordedProbes = 6;
constexpr std::ptrdiff_t MaxFailedProbes = 4;
// After a change of a member's state, all members are pinged equally often for this long. A region that is lost or
// comes back is thus detected as fast as with equal pings.
constexpr core::Duration EqualPingTime = 3s;

}

GossipMember::GossipMember(GossipOptions options)
    : options(std::move(options))
    , ownHash(core::stableHash(this->options.id))
    , random(this->options.seed)
    , piggybackTokens(this->options.piggybackBurstBytes)
{
    this->own.id = this->options.id;
    this->own.address = this->options.address;
    this->own.dataCentre = this->options.dataCentre;
    this->own.region = this->options.region;
    this->own.incarnation = this->options.incarnation;
    this->setSeeds(this->options.seeds);
    this->queueUpdate(UpdateKind::Member, this->own.id);
}

GossipOutput GossipMember::takeOutput()
{
    GossipOutput result = std::move(this->output);
    this->output = {};
    return result;
}

GossipOutput GossipMember::tick(core::TimePoint now)
{
    if (this->lastTick == core::TimePoint()) {
        this->catchUp.started = now;
        this->catchUp.done = this->options.seeds.empty();
    } else if (now - this->lastTick > PauseLimit) {
        this->resumeAfterPause(now);
    }
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->piggybackTokens = std::min(this->options.piggybackBurstBytes,
                                     this->piggybackTokens + elapsed * this->options.piggybackBytesPerSecond);
    this->lastTick = now;
    if (this->stopped) {
        return this->takeOutput();
    }
    this->checkProbes(now);
    this->checkSuspects(now);
    if (now >= this->nextPing) {
        this->nextPing = std::max(this->nextPing + this->options.pingInterval, now + this->options.pingInterval / 2);
        this->pingNext(now);
    }
    if (now >= this->nextReconnect) {
        this->pingUnreachable(now);
    }
    this->synchronise(now);
    this->removeTombstones(now);
    return this->takeOutput();
}

void GossipMember::resumeAfterPause(core::TimePoint now)
{
    const core::Duration gap = now - this->lastTick;
    this->resumedAt = now;
    this->probes.clear();
    this->probeResults.clear();
    for (const std::string &id : this->suspects) {
        this->known.at(id).deadline += gap;
    }
}

void GossipMember::checkProbes(core::TimePoint now)
{
    std::vector<std::string> failed;
    for (auto entry = this->probes.begin(); entry != this->probes.end();) {
        Probe &probe = entry->second;
        const core::Duration age = now - probe.sent;
        const auto target = this->known.find(probe.target);
        const bool checked = probe.kind == ProbeKind::Regular || probe.kind == ProbeKind::Suspect;
        if (checked && target != this->known.end()) {
            if (!probe.indirect && age >= this->options.ackTimeout) {
                probe.indirect = true;
                this->requestIndirectPings(entry->first, target->second.member);
            }
            if (age >= this->options.pingInterval) {
                if (probe.kind == ProbeKind::Regular) {
                    this->recordProbe(false);
                    failed.push_back(probe.target);
                } else {
                    ++target->second.unanswered;
                }
                entry = this->probes.erase(entry);
                continue;
            }
        }
        entry = age >= ProbeLifetime ? this->probes.erase(entry) : std::next(entry);
    }
    for (const std::string &id : failed) {
        this->suspectByEvidence(now, this->known.at(id));
    }
}

void GossipMember::suspectByEvidence(core::TimePoint now, KnownMember &known)
{
    if (known.member.state == MemberState::Dead || known.member.state == MemberState::Left || known.ownEvidence) {
        return;
    }
    if (known.member.state == MemberState::Alive) {
        this->changeState(now, known, MemberState::Suspect);
    }
    known.ownEvidence = true;
    known.deadline = now + this->options.suspicionTimeout;
    known.nextPing = now;
}

GossipOutput GossipMember::reportRefused(std::string_view memberId, core::TimePoint now)
{
    const auto found = this->known.find(memberId);
    if (found != this->known.end() && !this->stopped) {
        KnownMember &target = found->second;
        this->suspectByEvidence(now, target);
        if (target.member.state == MemberState::Suspect) {
            target.deadline = std::min(target.deadline, now + this->options.refusedSuspicionTimeout);
            target.requiredPings = RequiredPingsAfterRefusal;
            this->probe(now, ProbeKind::Suspect, target.member.id, target.member.address);
        }
    }
    return this->takeOutput();
}

void GossipMember::checkSuspects(core::TimePoint now)
{
    std::vector<std::string> dead;
    KnownMember *next = nullptr;
    for (const std::string &id : this->suspects) {
        KnownMember &suspect = this->known.at(id);
        if (!suspect.ownEvidence) {
            // The member that raised the suspicion declares the death. This member pings the suspect itself only if
            // the death has not been declared by the deadline.
            if (now >= suspect.deadline) {
                this->suspectByEvidence(now, suspect);
            }
        } else if (now >= suspect.deadline && suspect.unanswered >= suspect.requiredPings) {
            dead.push_back(id);
            continue;
        }
        if (suspect.ownEvidence && now >= suspect.nextPing && (next == nullptr || suspect.nextPing < next->nextPing)) {
            next = &suspect;
        }
    }
    if (next != nullptr && now >= this->nextSuspectPing) {
        this->nextSuspectPing = now + SuspectPingInterval;
        next->nextPing = now + SuspectPingInterval;
        this->probe(now, ProbeKind::Suspect, next->member.id, next->member.address);
    }
    for (const std::string &id : dead) {
        this->changeState(now, this->known.at(id), MemberState::Dead);
    }
}

void GossipMember::pingNext(core::TimePoint now)
{
    if (this->probeOrder.empty()) {
        return;
    }
    const bool steady = this->isSteady(now);
    for (std::size_t passed = 0; passed < this->probeOrder.size(); ++passed) {
        if (this->probePosition >= this->probeOrder.size()) {
            std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
            this->probePosition = 0;
        }
        const Member &target = this->known.at(this->probeOrder[this->probePosition++]).member;
        if (steady && !this->isDue(target)) {
            continue;
        }
        this->probe(now, ProbeKind::Regular, target.id, target.address);
        return;
    }
}

bool GossipMember::isSteady(core::TimePoint now) const
{
    return now - this->stateChangedAt >= EqualPingTime && this->suspects.empty();
}

bool GossipMember::isDue(const Member &member)
{
    if (member.region == this->own.region) {
        return true;
    }
    const std::size_t smaller = std::min(this->regionSize(member.region), this->regionSize(this->own.region));
    if (smaller < this->options.regionalGossipMembers) {
        return true;
    }
    return ++this->remoteCount % this->options.remoteRegionInterval == 0;
}

std::size_t GossipMember::regionSize(std::string_view region)
{
    if (this->regionsStale) {
        this->regionsStale = false;
        this->regionSizes = {{this->own.region, 1}};
        for (const std::string &id : this->probeOrder) {
            ++this->regionSizes[this->known.at(id).member.region];
        }
    }
    const auto found = this->regionSizes.find(region);
    return found == this->regionSizes.end() ? 0 : found->second;
}

void GossipMember::pingUnreachable(core::TimePoint now)
{
    this->nextReconnect = now + (this->catchUp.done ? ReconnectInterval : this->options.pingInterval);
    std::vector<std::pair<std::string, std::string>> candidates;
    std::set<std::string_view> liveAddresses;
    for (const auto &[id, entry] : this->known) {
        if (entry.member.state == MemberState::Dead) {
            candidates.emplace_back(id, entry.member.address);
        } else if (entry.member.state != MemberState::Left) {
            liveAddresses.insert(entry.member.address);
        }
    }
    for (const std::string &seed : this->options.seeds) {
        if (!liveAddresses.contains(seed)) {
            candidates.emplace_back(std::string(), seed);
        }
    }
    if (candidates.empty()) {
        return;
    }
    const auto &[id, address] = candidates[this->random() % candidates.size()];
    this->probe(now, ProbeKind::Reconnect, id, address);
}

void GossipMember::probe(core::TimePoint now, ProbeKind kind, const std::string &target, const std::string &address)
{
    const std::uint64_t sequence = this->nextSequence++;
    this->probes.emplace(sequence, Probe{kind, target, now});
    this->send(address, this->header(GossipType::Ping, sequence), target);
}

void GossipMember::requestIndirectPings(std::uint64_t sequence, const Member &target)
{
    GossipHeader request = this->header(GossipType::PingRequest, sequence);
    request.target = target.id;
    request.targetAddress = target.address;
    std::set<std::string> asked;
    for (std::size_t attempt = 0;
         attempt < this->options.indirectPings * 3 && asked.size() < this->options.indirectPings;
         ++attempt) {
        const KnownMember *helper = this->randomAlive(target.id);
        if (helper != nullptr && asked.insert(helper->member.id).second) {
            this->send(helper->member.address, request, helper->member.id);
        }
    }
}

const GossipMember::KnownMember *GossipMember::randomAlive(std::string_view except)
{
    // A few random picks find a live member unless most members are suspect, and then returning none is acceptable.
    constexpr int Picks = 8;
    for (int pick = 0; pick < Picks && !this->probeOrder.empty(); ++pick) {
        const std::string &id = this->probeOrder[this->random() % this->probeOrder.size()];
        const KnownMember &candidate = this->known.at(id);
        if (id != except && candidate.member.state == MemberState::Alive) {
            return &candidate;
        }
    }
    return nullptr;
}

const GossipMember::KnownMember *GossipMember::comparisonPartner()
{
    constexpr int Picks = 8;
    const KnownMember *partner = nullptr;
    for (int pick = 0; pick < Picks; ++pick) {
        partner = this->randomAlive({});
        if (partner == nullptr || this->isDue(partner->member)) {
            break;
        }
    }
    return partner;
}

GossipOutput GossipMember::receive(core::TimePoint now, std::string_view fromAddress, std::string_view text)
{
    if (this->stopped) {
        return {};
    }
    boost::leaf::result<GossipMessage> parsed = parseGossip(text);
    if (!parsed || parsed->header.sender == this->own.id) {
        return {};
    }
    if (this->lastTick != core::TimePoint() && now - this->lastTick > PauseLimit) {
        // The datagram waited in the socket during a pause of the process.
        this->resumeAfterPause(now);
        this->lastTick = now;
    }
    const GossipMessage &message = *parsed;
    this->lastReceived = now;
    for (const Member &entry : message.members) {
        this->mergeMember(now, entry);
    }
    for (const auto &[key, value] : message.states) {
        if (this->mergeState(key, value)) {
            this->output.stateUpdates.push_back({key, value});
        }
    }
    const auto sender = this->known.find(message.header.sender);
    if (sender != this->known.end()) {
        this->raiseRevision(sender->second.member, message.header.revision);
    }
    if (!this->stopped) {
        this->answer(message.header, fromAddress, now);
    }
    return this->takeOutput();
}

void GossipMember::answer(const GossipHeader &header, std::string_view fromAddress, core::TimePoint now)
{
    const std::string address(fromAddress);
    if (header.wantsEntry) {
        this->sendOwnEntry(address);
    }
    switch (header.type) {
    case GossipType::Ping: {
        GossipHeader ack = this->header(GossipType::Ack, header.sequence);
        ack.wantsEntry = !this->known.contains(header.sender);
        this->send(address, ack, header.sender);
        break;
    }
    case GossipType::PingRequest: {
        const std::uint64_t sequence = this->nextSequence++;
        this->probes.emplace(sequence, Probe{ProbeKind::Relay, header.target, now, true, address, header.sequence});
        this->send(header.targetAddress, this->header(GossipType::Ping, sequence), header.target);
        break;
    }
    case GossipType::Ack:
    case GossipType::IndirectAck:
        this->finishProbe(header.sequence, header, fromAddress);
        break;
    case GossipType::Sync:
        this->receiveDigest(header, fromAddress);
        break;
    case GossipType::State:
        this->receiveState(header);
        break;
    case GossipType::Notice:
        break;
    }
}

void GossipMember::finishProbe(std::uint64_t sequence, const GossipHeader &header, std::string_view fromAddress)
{
    const auto found = this->probes.find(sequence);
    if (found == this->probes.end()) {
        return;
    }
    const Probe probe = found->second;
    const std::string &answering = header.type == GossipType::Ack ? header.sender : header.target;
    if (!probe.target.empty() && probe.target != answering) {
        return;
    }
    this->probes.erase(found);
    if (probe.kind == ProbeKind::Relay) {
        GossipHeader indirect = this->header(GossipType::IndirectAck, probe.originSequence);
        indirect.target = probe.target;
        this->send(probe.originAddress, indirect, {});
        return;
    }
    this->confirmedAt = std::max(this->confirmedAt, probe.sent);
    if (probe.kind == ProbeKind::Regular) {
        this->recordProbe(true);
    }
    if (const auto target = this->known.find(probe.target); target != this->known.end()) {
        target->second.unanswered = 0;
    }
    if (probe.target.empty() && !this->catchUp.done && this->catchUp.sequence == 0) {
        // The seed is alive, so the initial transfer of entries starts with the seed.
        this->catchUp.sequence = this->nextSequence++;
        this->catchUp.sent = probe.sent;
        this->sendDigest(std::string(fromAddress), 0, this->catchUp.count, this->catchUp.sequence);
    }
}

void GossipMember::recordProbe(bool answered)
{
    this->probeResults.push_back(answered);
    if (this->probeResults.size() > RecordedProbes) {
        this->probeResults.pop_front();
    }
}

GossipHeader GossipMember::header(GossipType type, std::uint64_t sequence) const
{
    return {.type = type, .sender = this->own.id, .sequence = sequence, .revision = this->own.configRevision};
}

void GossipMember::send(const std::string &address, const GossipHeader &header, std::string_view receiverId)
{
    GossipWriter writer(header, this->options.maxDatagramBytes);
    const auto receiver = this->known.find(receiverId);
    // A member that is considered suspect or dead must receive its entry to be able to refute the suspicion or death.
    if (receiver != this->known.end() && receiver->second.member.state != MemberState::Alive) {
        writer.addMember(receiver->second.member);
    }
    const std::size_t before = writer.size();
    const double allowed = std::max(this->piggybackTokens, this->options.piggybackMinBytes);
    this->updates.drain(this->maxSent(), [this, &writer, before, allowed](UpdateKind kind, const std::string &key) {
        if (static_cast<double>(writer.size() - before) >= allowed) {
            return false;
        }
        if (kind == UpdateKind::State) {
            return writer.addState(key, this->stateValues.at(key));
        }
        if (key == this->own.id) {
            return writer.addMember(this->own);
        }
        const auto entry = this->known.find(key);
        return entry == this->known.end() || writer.addMember(entry->second.member);
    });
    this->piggybackTokens = std::max(0.0, this->piggybackTokens - static_cast<double>(writer.size() - before));
    this->output.datagrams.push_back({address, writer.finish()});
}

unsigned GossipMember::maxSent() const
{
    return TransmissionFactor * static_cast<unsigned>(std::bit_width(this->known.size() + 1));
}

GossipOutput GossipMember::leave(core::TimePoint now)
{
    if (this->stopped) {
        return {};
    }
    this->lastTick = now;
    this->own.state = MemberState::Left;
    this->queueUpdate(UpdateKind::Member, this->own.id);
    // Enough members are notified for the update to survive the loss of some datagrams.
    std::vector<std::string> order = this->probeOrder;
    std::shuffle(order.begin(), order.end(), this->random);
    order.resize(std::min<std::size_t>(order.size(), this->maxSent()));
    for (const std::string &id : order) {
        GossipWriter writer(this->header(GossipType::State, 0), this->options.maxDatagramBytes);
        writer.addMember(this->own);
        this->output.datagrams.push_back({this->known.at(id).member.address, writer.finish()});
    }
    this->stopped = true;
    return this->takeOutput();
}

GossipOutput GossipMember::notifyDataCentre()
{
    for (const std::string &id : this->probeOrder) {
        const Member &member = this->known.at(id).member;
        if (member.dataCentre == this->own.dataCentre && !this->stopped) {
            GossipWriter writer(this->header(GossipType::Notice, 0), this->options.maxDatagramBytes);
            this->output.datagrams.push_back({member.address, writer.finish()});
        }
    }
    return this->takeOutput();
}

bool GossipMember::hasJoined() const
{
    return this->catchUp.done;
}

core::TimePoint GossipMember::lastConfirmation() const
{
    return this->confirmedAt;
}

bool GossipMember::seesMajority(core::TimePoint now) const
{
    this->countMembers(now);
    if (this->knownCount == 1) {
        return !this->stopped;
    }
    const bool paused = now - this->lastTick > PauseLimit || this->confirmedAt < this->resumedAt;
    if (this->stopped || paused || now - this->lastReceived > IsolationTimeout) {
        return false;
    }
    const std::ptrdiff_t failed = std::count(this->probeResults.begin(), this->probeResults.end(), false);
    return failed <= MaxFailedProbes && this->aliveCount * 2 > this->knownCount;
}

}
