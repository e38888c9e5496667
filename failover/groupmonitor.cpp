#include "failover/groupmonitor.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace endiveshore::failover {

namespace {

// A server with this many misses is probed less often. Higher by one than the number of misses that raises a suspicion.
constexpr int MissesBeforeSlowProbes = 3;

// Older reports are not evidence of the current state of a group.
constexpr core::Milliseconds ReportLifetime{2'000};

}

GroupMonitor::GroupMonitor(
    GroupDescription group, std::string daemon, std::string dataCentre, std::uint64_t seed, MonitorOptions options)
    : group(std::move(group))
    , daemon(std::move(daemon))
    , dataCentre(std::move(dataCentre))
    , options(options)
    , random(seed)
    , knownPrimary(this->group.initialPrimary)
{
    // A restarted daemon must not continue a term that was granted to its previous process.
    this->owner = this->daemon + "#" + std::to_string(this->random());
    for (const GroupServer &server : this->group.servers) {
        this->servers[server.id].nextProbe = core::TimePoint::min();
    }
}

void GroupMonitor::setHomes(std::set<std::string> ownServers, std::vector<PeerHome> peers)
{
    this->ownServers = std::move(ownServers);
    this->peers = std::move(peers);
}

std::int64_t GroupMonitor::term() const
{
    return this->knownTerm;
}

const std::string &GroupMonitor::primary() const
{
    return this->knownPrimary;
}

bool GroupMonitor::suspectsPrimary() const
{
    const auto found = this->servers.find(this->knownPrimary);
    return found != this->servers.end() && found->second.known.misses >= this->options.missesBeforeSuspicion;
}

const GroupMonitor::KnownServer &GroupMonitor::server(const std::string &id) const
{
    return this->servers.at(id).known;
}

const GroupDescription &GroupMonitor::description() const
{
    return this->group;
}

bool GroupMonitor::isValidPrimary(const ServerReport &report) const
{
    return report.primary && report.fencedTerm <= report.term;
}

bool GroupMonitor::isProbedAtFullRate(const std::string &id, core::TimePoint now) const
{
    if (this->phase != Phase::Watching || this->noValidPrimarySince) {
        return true;
    }
    // The connections of failed probes stay open at a paused server and count against its connection limit when the
    // server resumes.
    if (this->servers.at(id).known.misses >= MissesBeforeSlowProbes) {
        return false;
    }
    return id == this->knownPrimary || this->ownServers.contains(id) || now < this->settledAt;
}

bool GroupMonitor::lacksValidPrimary(core::TimePoint now) const
{
    for (const auto &[id, watched] : this->servers) {
        const ServerReport &report = watched.known.report;
        const bool fresh = watched.known.answered && now - watched.known.reportedAt < ReportLifetime;
        if (!fresh) {
            continue;
        }
        const bool lostRole = id == this->knownPrimary && (!report.primary || report.term != this->knownTerm);
        if (lostRole || std::max(report.fencedTerm, report.term) > this->knownTerm) {
            return true;
        }
    }
    return false;
}

std::size_t GroupMonitor::majority() const
{
    return this->servers.size() / 2 + 1;
}

std::size_t GroupMonitor::rank() const
{
    std::vector<std::string> homes{this->daemon};
    for (const PeerHome &peer : this->peers) {
        homes.push_back(peer.daemon);
    }
    const std::string key = this->group.database + "#" + std::to_string(this->knownTerm);
    const std::vector<std::string> order = core::rendezvousOrder(key, homes);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), this->daemon) - order.begin());
}

core::Milliseconds GroupMonitor::randomUpTo(core::Milliseconds limit)
{
    // The standard distributions differ between libraries; with a plain remainder, a seed gives the same run with
    // every library.
    return core::Milliseconds(
        static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(limit.count() + 1)));
}

std::int64_t GroupMonitor::highestFence() const
{
    std::int64_t highest = this->knownTerm;
    for (const auto &[id, watched] : this->servers) {
        highest = std::max({highest, watched.known.report.fencedTerm, watched.known.report.term});
    }
    return highest;
}

Actions GroupMonitor::tick(core::TimePoint now)
{
    Actions actions;
    this->sendDueProbes(now, actions);
    this->checkValidPrimary(now, actions);
    this->checkLeaving(now, actions);
    this->tickPhase(now, actions);
    return actions;
}

void GroupMonitor::probe(WatchedServer &watched, const std::string &id, bool newConnection, Actions &actions)
{
    bool &pending = newConnection ? watched.probingNew : watched.probing;
    if (!pending) {
        pending = true;
        actions.push_back(ProbeServer{.server = id, .newConnection = newConnection});
    }
}

void GroupMonitor::probeEnded(WatchedServer &watched, bool newConnection)
{
    // A probe that does not require a new connection still opens a connection if none is open, and the caller then
    // reports newConnection. The result of such a probe ends the regular probe, unless a probe on a new connection is
    // pending.
    bool &pending = newConnection && watched.probingNew ? watched.probingNew : watched.probing;
    pending = false;
}

void GroupMonitor::sendDueProbes(core::TimePoint now, Actions &actions)
{
    for (auto &[id, watched] : this->servers) {
        const core::Milliseconds extra = this->isProbedAtFullRate(id, now)
            ? core::Milliseconds(0)
            : this->options.otherProbeInterval - this->options.probeInterval;
        const bool due = watched.nextProbe == core::TimePoint::min() || now >= watched.nextProbe + extra;
        if (!due || watched.probing || watched.probingNew) {
            continue;
        }
        // The jitter keeps the homes of a group from probing at the same moments.
        const core::Milliseconds jitter = this->options.probeInterval / 10;
        watched.nextProbe = now + this->options.probeInterval - this->randomUpTo(jitter);
        // After a miss only a new connection can tell whether the server is back.
        this->probe(watched, id, watched.known.misses > 0, actions);
    }
}

Actions GroupMonitor::probeAnswered(const std::string &server,
                                    const ServerReport &report,
                                    bool newConnection,
                                    core::TimePoint now)
{
    Actions actions;
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return actions;
    }
    WatchedServer &watched = found->second;
    this->probeEnded(watched, newConnection);
    watched.known.report = report;
    watched.known.reportedAt = now;
    watched.known.answered = true;
    watched.known.misses = 0;
    watched.surveyed = true;
    const bool valid = this->isValidPrimary(report);
    if (newConnection || !valid) {
        this->answerPendingQueries(watched, !valid, actions);
    }
    if (valid && (report.term > this->knownTerm || (report.term == this->knownTerm && this->knownPrimary.empty()))) {
        this->learnPrimary(report.term, server, true, "the server reports itself as primary", now, actions);
    }
    const bool beforeFencing
        = this->phase == Phase::Confirming || this->phase == Phase::Waiting || this->phase == Phase::Surveying;
    if (valid && server == this->knownPrimary && report.term == this->knownTerm && beforeFencing
        && this->attempt.reason == Reason::Suspicion) {
        this->cancel("the primary answers again", actions);
    }
    this->followIfNeeded(server, now, actions);
    this->checkValidPrimary(now, actions);
    if (this->phase == Phase::Surveying) {
        this->resolveSurvey(now, actions);
    }
    return actions;
}

Actions GroupMonitor::probeFailed(const std::string &server, bool newConnection, core::TimePoint now)
{
    Actions actions;
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return actions;
    }
    WatchedServer &watched = found->second;
    this->probeEnded(watched, newConnection);
    if (!newConnection) {
        // Possibly only the connection failed, so the server is probed again on a new connection.
        this->probe(watched, server, true, actions);
        return actions;
    }
    if (watched.known.misses++ == 0) {
        watched.firstMiss = now;
    }
    this->answerPendingQueries(watched, true, actions);
    watched.surveyed = true;
    if (this->phase == Phase::Surveying) {
        this->resolveSurvey(now, actions);
    }
    if (server == this->knownPrimary && this->phase == Phase::Watching && !this->noValidPrimarySince
        && watched.known.misses >= this->options.missesBeforeSuspicion && now >= this->nextQuery) {
        this->beginConfirming(now, actions);
    }
    return actions;
}

void GroupMonitor::answerPendingQueries(WatchedServer &watched, bool suspects, Actions &actions)
{
    for (const std::uint64_t token : watched.pendingQueries) {
        actions.push_back(AnswerPeer{.token = token, .suspects = suspects});
    }
    watched.pendingQueries.clear();
}

Actions
GroupMonitor::peerQueryReceived(std::uint64_t token, const std::string &server, std::int64_t term, core::TimePoint)
{
    Actions actions;
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || term < this->knownTerm) {
        actions.push_back(AnswerPeer{.token = token, .suspects = false});
        return actions;
    }
    if (found->second.known.misses > 0) {
        actions.push_back(AnswerPeer{.token = token, .suspects = true});
        return actions;
    }
    found->second.pendingQueries.push_back(token);
    this->probe(found->second, server, true, actions);
    return actions;
}

Actions GroupMonitor::primaryAnnounced(std::int64_t term, const std::string &server, core::TimePoint now)
{
    Actions actions;
    if (term > this->knownTerm && this->servers.contains(server)) {
        this->learnPrimary(term, server, false, "gossip", now, actions);
    }
    return actions;
}

void GroupMonitor::learnPrimary(std::int64_t term,
                                const std::string &id,
                                bool mustAnnounce,
                                std::string reason,
                                core::TimePoint now,
                                Actions &actions)
{
    actions.push_back(LogDecision{
        .decision = "primary of " + this->group.database + " is " + id + " in term " + std::to_string(term),
        .reason = std::move(reason),
        .alternatives = "previously: " + this->knownPrimary + " in term " + std::to_string(this->knownTerm)});
    this->knownTerm = term;
    this->knownPrimary = id;
    this->settledAt = now + this->options.settleTime;
    this->noValidPrimarySince.reset();
    // Probes missed before the server became primary must not raise a suspicion at once.
    this->servers[id].known.misses = 0;
    actions.push_back(PrimaryChanged{.term = term, .server = id, .mustAnnounce = mustAnnounce});
    // An attempt that has sent fence calls for a higher term continues: servers that granted the attempt's term cannot
    // follow this primary until this attempt or a later attempt ends.
    const bool fencesSent = this->phase == Phase::Fencing || this->phase == Phase::Promoting;
    if (this->phase != Phase::Watching && (!fencesSent || this->attempt.term <= term)) {
        this->cancel("a primary of term " + std::to_string(term) + " exists", actions);
    }
    for (const auto &[other, watched] : this->servers) {
        this->followIfNeeded(other, now, actions);
    }
}

void GroupMonitor::followIfNeeded(const std::string &id, core::TimePoint now, Actions &actions)
{
    const WatchedServer &watched = this->servers.at(id);
    const ServerReport &report = watched.known.report;
    const bool fresh = watched.known.answered && now - watched.known.reportedAt < ReportLifetime;
    if (!fresh || id == this->knownPrimary || report.term >= this->knownTerm || report.fencedTerm > this->knownTerm) {
        return;
    }
    for (const GroupServer &server : this->group.servers) {
        if (server.id == this->knownPrimary) {
            actions.push_back(FollowServer{.server = id, .term = this->knownTerm, .primaryAddress = server.address});
        }
    }
}

void GroupMonitor::setLeaving(std::set<std::string> servers)
{
    this->leavingServers = std::move(servers);
}

void GroupMonitor::checkLeaving(core::TimePoint now, Actions &actions)
{
    if (this->phase != Phase::Watching || !this->leavingServers.contains(this->knownPrimary)) {
        return;
    }
    if (this->leavingServers.size() > this->servers.size() - this->majority()) {
        // The remaining servers are not a majority, so replacing the primary would gain nothing: leaving servers are
        // not fenced, and the attempt would fail.
        return;
    }
    this->beginAttempt(Reason::Leaving, true, "the VM of the primary is leaving", now, actions);
}

bool GroupMonitor::isExemptFromFence(const std::string &id) const
{
    // Only fenced servers can be promoted, and a leaving server must not be. The remaining servers are a majority (see
    // checkLeaving()), so the attempt can succeed without the leaving servers.
    return this->attempt.reason == Reason::Leaving && this->leavingServers.contains(id);
}

bool GroupMonitor::isReplacing() const
{
    return this->attempt.reason == Reason::Suspicion || this->attempt.reason == Reason::Leaving;
}

void GroupMonitor::checkValidPrimary(core::TimePoint now, Actions &actions)
{
    if (!this->lacksValidPrimary(now)) {
        this->noValidPrimarySince.reset();
        return;
    }
    if (!this->noValidPrimarySince) {
        this->noValidPrimarySince = now;
    }
    const auto wait = this->options.repairWait + static_cast<int>(this->rank()) * this->options.rankDelay;
    if (this->phase == Phase::Watching && now - *this->noValidPrimarySince >= wait) {
        this->beginAttempt(Reason::NoValidPrimary,
                           false,
                           "term " + std::to_string(this->highestFence())
                               + " was granted, but its primary is not known",
                           now,
                           actions);
    }
}

}
