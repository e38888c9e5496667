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
    std::string address; ///< "ip:port" under which others reach this member.
    std::string dataCentre;
    std::string region;
    std::uint64_t incarnation = 1; ///< Must rise with each start under the same id.
    std::uint64_t seed = 1; ///< Of the random choices.
    std::vector<std::string> seeds = {}; ///< Addresses; the own one is ignored.
    core::Duration pingInterval = std::chrono::milliseconds(300);
    core::Duration ackTimeout = std::chrono::milliseconds(120); ///< Before indirect pings; above the slowest link.
    core::Duration suspicionTimeout
        = std::chrono::seconds(1); ///< From the own failed ping to the declaration of death.
    core::Duration gossipSuspicionTimeout = std::chrono::seconds(2); ///< After gossip, before own pings of the suspect.
    core::Duration refusedSuspicionTimeout = std::chrono::milliseconds(300); ///< After a refused connection.
    core::Duration joinTimeout = std::chrono::seconds(2); ///< Without an answer of any seed.
    std::size_t indirectPings = 2; ///< Members asked to ping a silent one.
    std::size_t maxDatagramBytes = 1'200;
    // Updates in one datagram are limited by a token bucket, which keeps storms within the control budget, but never
    // below a minimum, so that the newest update always travels. When 300 terms change at once among 100 members, 99 %
    // of the news has arrived after 8.5 s with a burst of 16 KB and after 4.6 s with 48 KB.
    double piggybackBytesPerSecond = 1'500;
    double piggybackBurstBytes = 48'000;
    double piggybackMinBytes = 250;
};

/// SWIM membership with piggybacked updates and periodic comparison of entries. Pure: time comes from the caller, and
/// datagrams and events are returned. The cost per member does not depend on the number of members. tick() is to be
/// called at least every 50 ms.
class GossipMember
{
public:
    explicit GossipMember(GossipOptions options);

    GossipOutput tick(core::TimePoint now);

    /// Handles a datagram. Malformed ones are ignored.
    GossipOutput receive(core::TimePoint now, std::string_view fromAddress, std::string_view text);

    /// Announces that this member leaves; afterwards it neither pings nor answers.
    GossipOutput leave(core::TimePoint now);

    /// Reports that @p memberId refused a connection: it is suspected at once, with a shorter suspicion.
    GossipOutput reportRefused(std::string_view memberId, core::TimePoint now);

    /// Notices of the own revision to the live members of the own data centre.
    GossipOutput notifyDataCentre();

    /// Replaces the seeds, for example from the VM list.
    void setSeeds(std::vector<std::string> seeds);

    /// Sets the configuration revision announced with every datagram; it never falls.
    void setConfigRevision(std::uint64_t revision);

    /// Sets a key of the application state and spreads it. Returns false if the known value is as new.
    bool setState(const std::string &key, const StateValue &value);

    const std::map<std::string, StateValue> &states() const;

    /// All known members including this one, ordered by id; dead and left ones are kept for an hour.
    std::vector<Member> members() const;

    /// This member.
    const Member &self() const;

    /// True once the entries of other members have been fetched, or no seed has answered for `joinTimeout`.
    bool hasJoined() const;

    /// True if this member has heard from others within the last second, its recent pings were not mostly in vain and
    /// it holds a majority of the known members alive. After a pause a ping has to be answered first. Known are also
    /// members dead for less than 60 s and seeds that are not alive, as long as they are seeds; members that have left
    /// are not.
    bool seesMajority(core::TimePoint now) const;

    /// When the latest answered ping was sent; the epoch if none was answered.
    core::TimePoint lastConfirmation() const;

private:
    // Unanswered pings before a death is declared. With 10 % loss a ping and its two indirect pings fail with a
    // probability of 0.022, three in a row once in 100,000 suspicions.
    static constexpr unsigned RequiredPings = 3;

    struct KnownMember
    {
        Member member;
        std::uint64_t hash = 0; ///< Of the id.
        core::TimePoint changed; ///< Of the state.
        bool ownEvidence = false; ///< A ping of this member failed, or a connection was refused.
        unsigned unanswered = 0; ///< Pings of this member since the suspicion began.
        unsigned requiredPings = RequiredPings;
        core::TimePoint deadline; ///< Of the suspicion.
        core::TimePoint nextPing; ///< Of the suspect.
    };

    enum class ProbeKind {
        Regular,
        Suspect,
        Reconnect, ///< Of a seed or a dead member.
        Relay, ///< For another member.
    };

    struct Probe
    {
        ProbeKind kind = ProbeKind::Regular;
        std::string target; ///< Empty for a seed.
        core::TimePoint sent;
        bool indirect = false; ///< Others have been asked.
        std::string originAddress = {}; ///< For Relay.
        std::uint64_t originSequence = 0;
    };

    struct CatchUp
    {
        bool done = false;
        std::uint64_t bucket = 0;
        std::uint64_t count = 1;
        std::uint64_t sequence = 0; ///< Of the digest awaiting an answer; 0 if none.
        core::TimePoint sent;
        core::TimePoint started;
    };

    // gossipmember.cpp: probes and suspicion.
    GossipOutput takeOutput();
    void resumeAfterPause(core::TimePoint now);
    void checkProbes(core::TimePoint now);
    void checkSuspects(core::TimePoint now);
    void pingNext(core::TimePoint now);
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
    std::set<std::string> suspects;
    std::map<std::uint64_t, Probe> probes;
    UpdateQueue updates;
    double piggybackTokens = 0; ///< Bytes of updates that may be sent now.
    GossipOutput output;
    CatchUp catchUp;
    std::deque<bool> probeResults; ///< The latest regular pings.
    std::uint64_t nextSequence = 1;
    std::uint64_t remoteMemberCount = 0;
    std::uint64_t remoteStateCount = 0;
    core::TimePoint lastTick;
    core::TimePoint lastReceived;
    core::TimePoint confirmedAt;
    core::TimePoint resumedAt; ///< End of the last pause.
    core::TimePoint nextPing;
    core::TimePoint nextSuspectPing;
    core::TimePoint nextReconnect;
    core::TimePoint nextSync;
    core::TimePoint lastChange;
    std::uint64_t changes = 0; ///< Updates queued since the start.
    std::uint64_t changesSeen = 0; ///< At the last comparison.
    core::TimePoint nextTombstoneSweep;
    bool stopped = false; ///< Left or superseded.
    mutable bool countsStale = true;
    mutable core::TimePoint countedAt;
    mutable std::size_t aliveCount = 0;
    mutable std::size_t knownCount = 0;
};

}
