#pragma once

#include "core/time.h"
#include "failover/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endiveshore::failover {

struct GroupServer
{
    std::string id;
    std::string address; ///< "ip:port", also sent to the servers that replicate from it.
    std::string dataCentre;

    bool operator==(const GroupServer &other) const = default;
};

/// Database group: the servers of one database.
struct GroupDescription
{
    std::string database;
    std::vector<GroupServer> servers;
    std::string initialPrimary; ///< Primary of term 1.
};

/// Another daemon that is home of a server of the group.
struct PeerHome
{
    std::string daemon;
    std::string dataCentre;
    std::vector<std::string> servers; ///< Servers of the group whose home the daemon is.
};

struct MonitorOptions
{
    core::Milliseconds probeInterval{300};
    /// For servers that are neither the primary nor among this daemon's own. After a partition a former primary and its
    /// home agree on the old term; only a probe between the two former sides shows them the later term.
    core::Milliseconds otherProbeInterval{2'000};
    core::Milliseconds probeTimeout{300}; ///< For one probe; enforced by the caller of the monitor.
    int missesBeforeSuspicion = 2;
    core::Milliseconds confirmTimeout{400}; ///< For the verdicts of the other homes.
    core::Milliseconds denialBackoff{600}; ///< Until the next query after other homes denied a suspicion.
    /// Time after the first missed probe from which the primary's home ignores denials, as it cannot serve writes.
    core::Milliseconds homeOverrideAfter{2'500};
    core::Milliseconds rankDelay{150}; ///< Before an attempt, multiplied by the rendezvous rank of this daemon.
    core::Milliseconds jitter{60}; ///< Maximum random addition to the delay before a survey.
    core::Milliseconds resendAfter{200}; ///< Until an unanswered fence or promote call is repeated.
    core::Milliseconds fenceTimeout{700};
    core::Milliseconds promoteTimeout{900};
    /// After a failed attempt; also gives a competing home whose fence was seen time to complete its own.
    core::Milliseconds attemptRetryDelay{500};
    core::Milliseconds repairWait{800}; ///< Time without a valid primary before this daemon promotes a server.
    core::Milliseconds settleTime{3'000}; ///< All servers are probed for this long after a change of primary.
    core::Milliseconds unconfirmedLag{900}; ///< Minimum lag of the replicas to act without another home's confirmation.
};

/// Detects the failure of the primary of one database group and promotes another server. Each home of the group runs a
/// monitor. The monitor does no I/O: the time is passed in, the caller carries out the returned actions, and random
/// numbers derive from the seed.
///
/// A term has at most one primary because a server grants a term to one owner only, owners differ between monitors, and
/// a monitor sends promote calls for a term to one server only. An attempt after a failed one uses a higher term.
class GroupMonitor
{
public:
    GroupMonitor(GroupDescription group,
                 std::string daemon,
                 std::string dataCentre,
                 std::uint64_t seed,
                 MonitorOptions options = {});

    /// Sets the servers of the group whose home this daemon is, and the other homes of the group.
    void setHomes(std::set<std::string> ownServers, std::vector<PeerHome> peers);

    /// Sets the servers whose VMs are leaving. A leaving primary is replaced before it fails.
    void setLeaving(std::set<std::string> servers);

    Actions tick(core::TimePoint now);

    /// @p newConnection tells whether the connection was opened for this probe, even if the probe did not require that.
    Actions
    probeAnswered(const std::string &server, const ServerReport &report, bool newConnection, core::TimePoint now);
    Actions probeFailed(const std::string &server, bool newConnection, core::TimePoint now);
    Actions peerAnswered(const std::string &daemon, std::uint64_t queryId, Verdict verdict, core::TimePoint now);
    Actions fenceAnswered(const std::string &server, std::int64_t term, const FenceReply &reply, core::TimePoint now);
    Actions promoteAnswered(const std::string &server, std::int64_t term, bool promoted, core::TimePoint now);

    /// Reports a primary that is known from gossip or from another daemon.
    Actions primaryAnnounced(std::int64_t term, const std::string &server, core::TimePoint now);

    /// Another home suspects that @p server, the primary of @p term, has failed, and asks whether this home suspects it
    /// too. The answer is an AnswerPeer action with @p token, now or after a probe.
    Actions peerQueryReceived(std::uint64_t token, const std::string &server, std::int64_t term, core::TimePoint now);

    struct KnownServer
    {
        ServerReport report;
        core::TimePoint reportedAt;
        bool answered = false; ///< The server has answered at least one probe.
        int misses = 0; ///< Probes on new connections that failed since the last answer.
    };

    std::int64_t term() const;
    const std::string &primary() const;
    bool suspectsPrimary() const;
    const KnownServer &server(const std::string &id) const;
    const GroupDescription &description() const;

private:
    enum class Phase {
        Watching,
        Confirming,
        Waiting,
        Surveying,
        Fencing,
        Promoting,
    };

    enum class Reason {
        Suspicion, ///< The primary does not answer.
        Leaving, ///< The primary works, but its VM is leaving.
        NoValidPrimary, ///< The primary lost its role, or a later term was granted whose primary is not known.
    };

    struct WatchedServer
    {
        KnownServer known;
        core::TimePoint nextProbe;
        core::TimePoint firstMiss;
        bool probing = false;
        bool probingNew = false;
        bool surveyed = false; ///< A probe has ended since the survey began.
        std::vector<std::uint64_t> pendingQueries; ///< Tokens of peer queries that wait for the probe.
    };

    struct Attempt
    {
        Reason reason = Reason::Suspicion;
        bool confirmed = false; ///< The lag of the replicas need not show the failure.
        std::int64_t baselineFence = 0; ///< A higher fenced term in a survey was set by a competing home.
        std::int64_t term = 0;
        std::map<std::string, FenceReply> granted;
        std::set<std::string> refused;
        std::string candidate;
        core::TimePoint resendAt;
    };

    bool isValidPrimary(const ServerReport &report) const;
    bool isProbedAtFullRate(const std::string &id, core::TimePoint now) const;
    bool lacksValidPrimary(core::TimePoint now) const;
    std::size_t majority() const;
    std::size_t rank() const;
    core::Milliseconds randomUpTo(core::Milliseconds limit);
    std::int64_t highestFence() const;

    void probe(WatchedServer &watched, const std::string &id, bool newConnection, Actions &actions);
    void probeEnded(WatchedServer &watched, bool newConnection);
    void sendDueProbes(core::TimePoint now, Actions &actions);
    void checkValidPrimary(core::TimePoint now, Actions &actions);
    void checkLeaving(core::TimePoint now, Actions &actions);
    bool isReplacing() const;
    bool isExemptFromFence(const std::string &id) const;
    void learnPrimary(std::int64_t term,
                      const std::string &id,
                      bool mustAnnounce,
                      std::string reason,
                      core::TimePoint now,
                      Actions &actions);
    void followIfNeeded(const std::string &id, core::TimePoint now, Actions &actions);
    void answerPendingQueries(WatchedServer &watched, bool suspects, Actions &actions);

    void beginConfirming(core::TimePoint now, Actions &actions);
    void resolveConfirming(core::TimePoint now, Actions &actions);
    void beginAttempt(Reason reason, bool confirmed, std::string explanation, core::TimePoint now, Actions &actions);
    void waitBeforeSurvey(core::Milliseconds delay, core::TimePoint now);
    void beginSurvey(core::TimePoint now, Actions &actions);
    void resolveSurvey(core::TimePoint now, Actions &actions);
    void beginFencing(core::TimePoint now, Actions &actions);
    void resolveFencing(core::TimePoint now, Actions &actions);
    void beginPromoting(core::TimePoint now, Actions &actions);
    void postpone(std::string reason, core::Milliseconds delay, core::TimePoint now, Actions &actions);
    void cancel(std::string reason, Actions &actions);
    void tickPhase(core::TimePoint now, Actions &actions);

    GroupDescription group;
    std::string daemon;
    std::string dataCentre;
    std::string owner;
    MonitorOptions options;
    std::mt19937_64 random;
    std::set<std::string> ownServers;
    std::set<std::string> leavingServers;
    std::vector<PeerHome> peers;
    std::map<std::string, WatchedServer> servers;
    std::int64_t knownTerm = 1;
    std::string knownPrimary;
    std::int64_t lastAttemptTerm = 0;
    core::TimePoint settledAt;
    std::optional<core::TimePoint> noValidPrimarySince;
    core::TimePoint nextQuery;
    Phase phase = Phase::Watching;
    core::TimePoint phaseEnd;
    Attempt attempt;
    std::uint64_t lastQueryId = 0;
    std::map<std::string, std::optional<Verdict>> verdicts;
};

}
