#pragma once

#include "core/time.h"
#include "membership/gossipmessage.h"
#include "membership/updatequeue.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace endiveshore::membership {

struct GossipOptions
{
    std::string id;
    std::string address; ///< "ip:port" at which other members reach this member.
    std::string dataCentre;
    std::string region;
    std::uint64_t incarnation = 1; ///< Must increase with each start under the same id.
    std::uint64_t seed = 1; ///< Seed of the random number generator.
    std::vector<std::string> seeds = {}; ///< Addresses of members to join through; this member's address is ignored.
    core::Duration pingInterval = std::chrono::milliseconds(300);
    /// Until indirect pings are requested; above the round trip of the slowest link.
    core::Duration ackTimeout = std::chrono::milliseconds(120);
    /// From a failed ping by this member to the declaration of death.
    core::Duration suspicionTimeout = std::chrono::seconds(1);
    /// From a suspicion learned by gossip until this member pings the suspect itself.
    core::Duration gossipSuspicionTimeout = std::chrono::seconds(2);
    /// Replaces suspicionTimeout after a refused connection.
    core::Duration refusedSuspicionTimeout = std::chrono::milliseconds(300);
    /// After this time without an answer of a seed, hasJoined() is true.
    core::Duration joinTimeout = std::chrono::seconds(2);
    std::size_t indirectPings = 2; ///< Members requested to ping a member that does not answer.
    /// Of the pings and comparisons with members of other regions, one in this many is made while the fleet is steady;
    /// 1 for all. Members of a region with fewer than regionalGossipMembers are treated as members of every region.
    unsigned remoteRegionInterval = 1;
    std::size_t regionalGossipMembers = 8; ///< Smallest number of live members of a region that gossips by itself.
    std::size_t maxDatagramBytes = 1'200;
    // A token bucket limits the bytes of updates in datagrams, which keeps bursts of updates within the control budget.
    // Each datagram may carry a minimum, so that the newest update is always sent. When 300 terms change at once among
    // 100 members, 99 % of the updates have arrived after 8.5 s with a burst of 16 KB and after 4.6 s with 48 KB.
    double piggybackBytesPerSecond = 1'500;
    double piggybackBurstBytes = 48'000;
    double piggybackMinBytes = 250;
};

/// SWIM membership with piggybacked updates and periodic comparison of entries. Does no I/O: the caller passes in the
/// time and handles the returned datagrams and events. The cost per member does not depend on the number of members.
/// tick() must be called at least every 50 ms.
class GossipMember
{
public:
    explicit GossipMember(GossipOptions options);

    GossipOutput tick(core::TimePoint now);

    /// Handles a datagram. Malformed datagrams are ignored.
    GossipOutput receive(core::TimePoint now, std::string_view fromAddress, std::string_view text);

    /// Announces that this member leaves. Afterwards the member neither pings nor answers.
    GossipOutput leave(core::TimePoint now);

    /// Reports that @p memberId refused a connection. The member is suspected at once, with a shorter timeout.
    GossipOutput reportRefused(std::string_view memberId, core::TimePoint now);

    /// Sends this member's configuration revision to the live members of its data centre.
    GossipOutput notifyDataCentre();

    /// Replaces the seeds, for example from the VM list.
    void setSeeds(std::vector<std::string> seeds);

    /// Sets the configuration revision that every datagram announces. A lower revision than the current one is ignored.
    void setConfigRevision(std::uint64_t revision);

    /// Sets a key of the application state and spreads the value. Returns false if the known value is at least as new.
    bool setState(const std::string &key, const StateValue &value);

    const std::map<std::string, StateValue> &states() const;

    /// All known members including this one, ordered by id. Dead and left members are kept for an hour.
    std::vector<Member> members() const;

    const Member &self() const;

    /// True once the entries of another member have been fetched, or no seed has answered for `joinTimeout`.
    bool hasJoined() const;

    /// True if this member has received a datagram within the last second, fewer than 5 of its latest 6 pings were
    /// unanswered and a majority of the known members is alive. After a pause of this process a ping must have been
    /// answered first. Known members include members dead for less than 60 s and current seeds that are not alive, but
    /// not members that have left.
    bool seesMajority(core::TimePoint now) const;

    /// Time at which the latest answered ping was sent; the epoch if no ping was answered.
    core::TimePoint lastConfirmation() const;

private:
    // Unanswered pings before a suspect is declared dead. With 10 % packet loss a ping and its two indirect pings fail
    // with a probability of 0.022, and three in a row fail once in 100,000 suspicions.
    static constexpr unsigned RequiredPings = 3;

    struct KnownMember
    {
        Member member;
        std::uint64_t hash = 0; ///< Hash of the id.
        core::TimePoint changedAt; ///< Last change of the state.
        bool ownEvidence = false; ///< This daemon's own ping failed, or the member refused a connection.
        unsigned unanswered = 0; ///< This daemon's unanswered pings since the suspicion began.
        unsigned requiredPings = RequiredPings;
        core::TimePoint deadline; ///< End of the suspicion.
        core::TimePoint nextPing; ///< Next ping if the member is suspect.
    };

    enum class ProbeKind {
        Regular,
        Suspect,
        Reconnect, ///< To a dead member, or to a seed that is not a live member.
        Relay, ///< Indirect ping on behalf of another member.
    };

    struct Probe
    {
        ProbeKind kind = ProbeKind::Regular;
        std::string target; ///< Member id; empty for a seed.
        core::TimePoint sent;
        bool indirect = false; ///< Indirect pings have been requested.
        std::string originAddress = {}; ///< Requester of a Relay probe.
        std::uint64_t originSequence = 0;
    };

    /// Initial transfer of all entries, bucket by bucket.
    struct CatchUp
    {
        bool done = false;
        std::uint64_t bucket = 0;
        std::uint64_t count = 1;
        std::uint64_t sequence = 0; ///< Sequence of the digest that awaits an answer; 0 if there is none.
        core::TimePoint sent;
        core::TimePoint started;
    };

    // gossipmember.cpp: probes and suspicion.
    GossipOutput takeOutput();
    void resumeAfterPause(core::TimePoint now);
    void checkProbes(core::TimePoint now);
    void checkSuspects(core::TimePoint now);
    void pingNext(core::TimePoint now);
    /// True if @p member is due for a ping or a comparison that is not urgent. Thins out those with other regions.
    bool isDue(const Member &member);
    /// True if no member has changed its state recently.
    bool isSteady(core::TimePoint now) const;
    /// Live members of @p region.
    std::size_t regionSize(std::string_view region);
    void pingUnreachable(core::TimePoint now);
    void probe(core::TimePoint now, ProbeKind kind, const std::string &target, const std::string &address);
    void requestIndirectPings(std::uint64_t sequence, const Member &target);
    void finishProbe(std::uint64_t sequence, const GossipHeader &header, std::string_view fromAddress);
    void recordProbe(bool answered);
    void suspectByEvidence(core::TimePoint now, KnownMember &known);
    void answer(const GossipHeader &header, std::string_view fromAddress, core::TimePoint now);
    GossipHeader header(GossipType type, std::uint64_t sequence) const;
    void send(const std::string &address, const GossipHeader &header, std::string_view receiverId);
    const KnownMember *randomAlive(std::string_view except);
    /// Live member to compare entries with, mostly of the own region.
    const KnownMember *comparisonPartner();
    unsigned maxSent() const;

    // gossipentries.cpp: merge and comparison of entries.
    void mergeMember(core::TimePoint now, const Member &entry);
    void mergeOwn(const Member &entry);
    bool mergeState(const std::string &key, const StateValue &value);
    void addMember(core::TimePoint now, const Member &entry);
    void changeState(core::TimePoint now, KnownMember &known, MemberState state);
    void queueUpdate(UpdateKind kind, const std::string &key);
    void emit(MemberEventKind kind, const Member &member);
    void raiseRevision(Member &member, std::uint64_t revision);
    void synchronise(core::TimePoint now);
    void sendDigest(const std::string &address, std::uint64_t bucket, std::uint64_t count, std::uint64_t sequence);
    void receiveDigest(const GossipHeader &header, std::string_view fromAddress);
    void receiveState(const GossipHeader &header);
    void sendBucket(const std::string &address, const SyncDigest &digest, std::uint64_t sequence);
    void sendOwnEntry(const std::string &address);
    std::uint64_t bucketHash(std::uint64_t bucket, std::uint64_t count) const;
    std::uint64_t bucketCount() const;
    void removeTombstones(core::TimePoint now);
    void countMembers(core::TimePoint now) const;

    GossipOptions options;
    Member own;
    std::uint64_t ownHash = 0;
    std::mt19937_64 random;
    std::map<std::string, KnownMember, std::less<>> known;
    std::map<std::string, StateValue> stateValues;
    std::map<std::string, std::uint64_t> stateHashes;
    std::vector<std::string> probeOrder; ///< Alive and suspect members.
    std::size_t probePosition = 0;
    std::map<std::string, std::size_t, std::less<>> regionSizes; ///< Live members by region.
    bool regionsStale = true;
    unsigned remoteCount = 0; ///< Members of other regions passed over or chosen by isDue().
    core::TimePoint stateChangedAt; ///< Last time that a member joined, restarted or changed its state.
    std::set<std::string> suspects;
    std::map<std::uint64_t, Probe> probes;
    UpdateQueue updates;
    double piggybackTokens = 0; ///< Bytes of updates that may be sent now.
    GossipOutput output;
    CatchUp catchUp;
    std::deque<bool> probeResults; ///< True for each of the latest regular pings that was answered.
    std::uint64_t nextSequence = 1;
    std::uint64_t remoteMemberCount = 0;
    std::uint64_t remoteStateCount = 0;
    core::TimePoint lastTick;
    core::TimePoint lastReceived;
    core::TimePoint confirmedAt;
    core::TimePoint resumedAt; ///< End of the last pause of this process.
    core::TimePoint nextPing;
    core::TimePoint nextSuspectPing;
    core::TimePoint nextReconnect;
    core::TimePoint nextSync;
    core::TimePoint lastChange;
    std::uint64_t changes = 0; ///< Updates queued since the start.
    std::uint64_t changesSeen = 0; ///< Value of changes at the last comparison of entries.
    core::TimePoint nextTombstoneSweep;
    bool stopped = false; ///< This member has left or was superseded.
    mutable bool countsStale = true;
    mutable core::TimePoint countedAt;
    mutable std::size_t aliveCount = 0;
    mutable std::size_t knownCount = 0;
};

}
