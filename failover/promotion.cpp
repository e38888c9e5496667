#include "failover/groupmonitor.h"

#include <algorithm>
#include <tuple>

/// Phases of GroupMonitor from the suspicion to the promotion.
namespace endiveshore::failover {

void GroupMonitor::beginConfirming(core::TimePoint now, Actions &actions)
{
    this->phase = Phase::Confirming;
    this->phaseEnd = now + this->options.confirmTimeout;
    this->attempt = Attempt{.reason = Reason::Suspicion};
    this->verdicts.clear();
    ++this->lastQueryId;
    std::string queried;
    for (const PeerHome &peer : this->peers) {
        this->verdicts[peer.daemon] = std::nullopt;
        queried += (queried.empty() ? "" : ", ") + peer.daemon;
        actions.push_back(QueryPeer{.daemon = peer.daemon,
                                    .server = this->knownPrimary,
                                    .term = this->knownTerm,
                                    .queryId = this->lastQueryId});
    }
    const int misses = this->servers.at(this->knownPrimary).known.misses;
    actions.push_back(LogDecision{.decision = "suspect primary " + this->knownPrimary + " of " + this->group.database,
                                  .reason = std::to_string(misses) + " probes on new connections failed",
                                  .alternatives = "queried homes: " + queried});
    this->resolveConfirming(now, actions);
}

Actions
GroupMonitor::peerAnswered(const std::string &daemon, std::uint64_t queryId, Verdict verdict, core::TimePoint now)
{
    Actions actions;
    const auto found = this->verdicts.find(daemon);
    if (this->phase == Phase::Confirming && queryId == this->lastQueryId && found != this->verdicts.end()) {
        found->second = verdict;
        this->resolveConfirming(now, actions);
    }
    return actions;
}

void GroupMonitor::resolveConfirming(core::TimePoint now, Actions &actions)
{
    const bool timedOut = now >= this->phaseEnd;
    bool pending = false;
    bool otherDataCentreExists = false;
    bool confirmed = false;
    bool denied = false;
    bool primaryHomeMayDeny = false; ///< The primary's home has denied or not answered yet.
    std::string summary;
    for (const PeerHome &peer : this->peers) {
        otherDataCentreExists = otherDataCentreExists || peer.dataCentre != this->dataCentre;
    }
    for (const PeerHome &peer : this->peers) {
        std::optional<Verdict> verdict = this->verdicts[peer.daemon];
        if (!verdict && timedOut) {
            verdict = Verdict::Unreachable;
        }
        const bool homeOfPrimary
            = std::find(peer.servers.begin(), peer.servers.end(), this->knownPrimary) != peer.servers.end();
        pending = pending || !verdict;
        primaryHomeMayDeny = primaryHomeMayDeny || (homeOfPrimary && (!verdict || verdict == Verdict::Denies));
        denied = denied || verdict == Verdict::Denies;
        confirmed = confirmed
            || (verdict == Verdict::Confirms && (!otherDataCentreExists || peer.dataCentre != this->dataCentre));
        const char *text = "no answer";
        if (verdict == Verdict::Confirms) {
            text = "confirms";
        } else if (verdict == Verdict::Denies) {
            text = "denies";
        }
        summary += (summary.empty() ? "" : ", ") + peer.daemon + " " + text;
    }
    if (confirmed && !primaryHomeMayDeny) {
        this->beginAttempt(Reason::Suspicion, true, "the primary does not answer; " + summary, now, actions);
        return;
    }
    if (pending) {
        return;
    }
    const core::Duration unreachableFor = now - this->servers.at(this->knownPrimary).firstMiss;
    if (denied && this->ownServers.contains(this->knownPrimary) && unreachableFor >= this->options.homeOverrideAfter) {
        this->beginAttempt(Reason::Suspicion, true, "this home cannot reach the primary; " + summary, now, actions);
        return;
    }
    if (denied) {
        this->nextQuery = now + this->options.denialBackoff;
        this->cancel("another home reaches the primary: " + summary, actions);
        return;
    }
    this->beginAttempt(
        Reason::Suspicion, false, "the primary does not answer; acting without confirmation; " + summary, now, actions);
}

void GroupMonitor::beginAttempt(
    Reason reason, bool confirmed, std::string explanation, core::TimePoint now, Actions &actions)
{
    const std::size_t rank = this->rank();
    actions.push_back(
        LogDecision{.decision = "prepare promotion in " + this->group.database,
                    .reason = std::move(explanation),
                    .alternatives = "rank " + std::to_string(rank) + " of " + std::to_string(this->peers.size() + 1)});
    // A fence seen during a suspicion belongs to a competing home, which first gets time to complete its attempt. A
    // group without a valid primary has already been given that time (repairWait).
    const std::int64_t baseline = reason == Reason::NoValidPrimary ? this->highestFence() : this->knownTerm;
    this->attempt = Attempt{.reason = reason, .confirmed = confirmed, .baselineFence = baseline};
    this->waitBeforeSurvey(static_cast<int>(rank) * this->options.rankDelay, now);
    this->tickPhase(now, actions);
}

void GroupMonitor::waitBeforeSurvey(core::Milliseconds delay, core::TimePoint now)
{
    this->phase = Phase::Waiting;
    this->phaseEnd = now + delay + this->randomUpTo(this->options.jitter);
}

void GroupMonitor::beginSurvey(core::TimePoint now, Actions &actions)
{
    this->phase = Phase::Surveying;
    // Time for a probe on the open connection and a second probe on a new connection.
    this->phaseEnd = now + 2 * this->options.probeTimeout + this->options.jitter;
    for (auto &[id, watched] : this->servers) {
        watched.surveyed = false;
        if (this->isReplacing() && id == this->knownPrimary) {
            watched.surveyed = true;
            continue;
        }
        this->probe(watched, id, false, actions);
    }
}

void GroupMonitor::resolveSurvey(core::TimePoint now, Actions &actions)
{
    std::size_t reachable = 0;
    bool pending = false;
    std::int64_t smallestLag = std::numeric_limits<std::int64_t>::max();
    for (const auto &[id, watched] : this->servers) {
        if (this->isReplacing() && id == this->knownPrimary) {
            continue;
        }
        pending = pending || !watched.surveyed;
        const bool answered = watched.surveyed && watched.known.answered && watched.known.misses == 0;
        reachable += answered ? 1 : 0;
        if (answered && !watched.known.report.primary) {
            smallestLag = std::min(smallestLag, watched.known.report.lagMs);
        }
    }
    if (pending && now < this->phaseEnd) {
        return;
    }
    if (reachable < this->majority()) {
        this->postpone("fewer than a majority of the servers answered", this->options.attemptRetryDelay, now, actions);
        return;
    }
    if (const std::int64_t fence = this->highestFence(); fence > this->attempt.baselineFence) {
        this->attempt.baselineFence = fence;
        this->postpone(
            "another home fenced term " + std::to_string(fence), this->options.attemptRetryDelay, now, actions);
        return;
    }
    // A fenced replica receives nothing, so its lag indicates a failed primary only while the replica is not fenced.
    const bool needsLag = !this->attempt.confirmed && this->attempt.reason == Reason::Suspicion;
    if (needsLag && smallestLag < this->options.unconfirmedLag.count()) {
        this->postpone("a replica still receives from the primary and no other home confirms",
                       this->options.attemptRetryDelay,
                       now,
                       actions);
        return;
    }
    this->beginFencing(now, actions);
}

void GroupMonitor::beginFencing(core::TimePoint now, Actions &actions)
{
    this->phase = Phase::Fencing;
    this->phaseEnd = now + this->options.fenceTimeout;
    this->attempt.term = std::max(this->highestFence(), this->lastAttemptTerm) + 1;
    this->attempt.granted.clear();
    this->attempt.refused.clear();
    this->attempt.candidate.clear();
    this->attempt.resendAt = now + this->options.resendAfter;
    this->lastAttemptTerm = this->attempt.term;
    actions.push_back(
        LogDecision{.decision = "fence term " + std::to_string(this->attempt.term) + " of " + this->group.database,
                    .reason = "a majority of the servers answered",
                    .alternatives = "primary " + this->knownPrimary + " in term " + std::to_string(this->knownTerm)});
    for (const auto &[id, watched] : this->servers) {
        if (this->isExemptFromFence(id)) {
            continue;
        }
        actions.push_back(FenceServer{.server = id, .term = this->attempt.term, .owner = this->owner});
    }
}

Actions
GroupMonitor::fenceAnswered(const std::string &server, std::int64_t term, const FenceReply &reply, core::TimePoint now)
{
    Actions actions;
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return actions;
    }
    ServerReport &report = found->second.known.report;
    report.fencedTerm = std::max(report.fencedTerm, reply.fencedTerm);
    if (this->phase != Phase::Fencing || term != this->attempt.term) {
        return actions;
    }
    if (reply.granted) {
        this->attempt.granted[server] = reply;
    } else {
        this->attempt.refused.insert(server);
    }
    this->resolveFencing(now, actions);
    return actions;
}

void GroupMonitor::resolveFencing(core::TimePoint now, Actions &actions)
{
    if (this->attempt.granted.size() >= this->majority()) {
        this->beginPromoting(now, actions);
        return;
    }
    const bool impossible = this->servers.size() - this->attempt.refused.size() < this->majority();
    if (impossible || now >= this->phaseEnd) {
        this->attempt.baselineFence = this->highestFence();
        const std::string reason = impossible ? "another home holds term " : "too few servers granted term ";
        this->postpone(reason + std::to_string(this->attempt.term), this->options.attemptRetryDelay, now, actions);
        return;
    }
    if (now < this->attempt.resendAt) {
        return;
    }
    this->attempt.resendAt = now + this->options.resendAfter;
    for (const auto &[id, watched] : this->servers) {
        if (!this->isExemptFromFence(id) && !this->attempt.granted.contains(id)
            && !this->attempt.refused.contains(id)) {
            actions.push_back(FenceServer{.server = id, .term = this->attempt.term, .owner = this->owner});
        }
    }
}

void GroupMonitor::beginPromoting(core::TimePoint now, Actions &actions)
{
    // Any majority of fenced servers holds each acknowledged entry, so the primary to be replaced is excluded if enough
    // other servers granted the fence.
    const bool replacing = this->isReplacing();
    const bool excludePrimary = replacing && this->attempt.granted.contains(this->knownPrimary)
        && this->attempt.granted.size() > this->majority();
    std::string alternatives;
    std::tuple<std::int64_t, std::int64_t, bool> best{-1, -1, false};
    for (const auto &[id, reply] : this->attempt.granted) {
        alternatives += (alternatives.empty() ? "" : ", ") + id + " at (" + std::to_string(reply.lastTerm) + ", "
            + std::to_string(reply.received) + ")";
        if (excludePrimary && id == this->knownPrimary) {
            continue;
        }
        const bool preferred = (id == this->knownPrimary) != replacing;
        const std::tuple<std::int64_t, std::int64_t, bool> value{reply.lastTerm, reply.received, preferred};
        if (value > best) {
            best = value;
            this->attempt.candidate = id;
        }
    }
    this->phase = Phase::Promoting;
    this->phaseEnd = now + this->options.promoteTimeout;
    this->attempt.resendAt = now + this->options.resendAfter;
    actions.push_back(LogDecision{.decision = "promote " + this->attempt.candidate + " to primary of "
                                      + this->group.database + " in term " + std::to_string(this->attempt.term),
                                  .reason = "most advanced server of the fenced majority",
                                  .alternatives = alternatives});
    actions.push_back(
        PromoteServer{.server = this->attempt.candidate, .term = this->attempt.term, .owner = this->owner});
}

Actions GroupMonitor::promoteAnswered(const std::string &server, std::int64_t term, bool promoted, core::TimePoint now)
{
    Actions actions;
    const bool expected
        = this->phase == Phase::Promoting && term == this->attempt.term && server == this->attempt.candidate;
    if (promoted && term > this->knownTerm) {
        // The promotion is valid even if this monitor has since abandoned the attempt.
        this->learnPrimary(term, server, true, "promoted by this daemon", now, actions);
        return actions;
    }
    if (!promoted && expected) {
        this->postpone("the candidate refused the promotion", this->options.attemptRetryDelay, now, actions);
    }
    return actions;
}

void GroupMonitor::postpone(std::string reason, core::Milliseconds delay, core::TimePoint now, Actions &actions)
{
    actions.push_back(LogDecision{.decision = "postpone promotion in " + this->group.database,
                                  .reason = std::move(reason),
                                  .alternatives = "next attempt after " + std::to_string(delay.count()) + " ms"});
    this->waitBeforeSurvey(delay + this->randomUpTo(delay / 2), now);
}

void GroupMonitor::cancel(std::string reason, Actions &actions)
{
    this->phase = Phase::Watching;
    this->verdicts.clear();
    actions.push_back(
        LogDecision{.decision = "cancel promotion in " + this->group.database,
                    .reason = std::move(reason),
                    .alternatives = "primary " + this->knownPrimary + " in term " + std::to_string(this->knownTerm)});
}

void GroupMonitor::tickPhase(core::TimePoint now, Actions &actions)
{
    switch (this->phase) {
    case Phase::Watching:
        return;
    case Phase::Confirming:
        this->resolveConfirming(now, actions);
        return;
    case Phase::Waiting:
        if (now < this->phaseEnd) {
            return;
        }
        if (this->attempt.reason == Reason::NoValidPrimary && !this->lacksValidPrimary(now)) {
            this->cancel("the group has a valid primary again", actions);
            return;
        }
        if (this->attempt.reason == Reason::Leaving && !this->leavingServers.contains(this->knownPrimary)) {
            this->cancel("the primary is no longer leaving", actions);
            return;
        }
        this->beginSurvey(now, actions);
        return;
    case Phase::Surveying:
        this->resolveSurvey(now, actions);
        return;
    case Phase::Fencing:
        this->resolveFencing(now, actions);
        return;
    case Phase::Promoting:
        if (now >= this->phaseEnd) {
            this->attempt.baselineFence = this->highestFence();
            this->postpone("the candidate did not answer the promotion", this->options.jitter, now, actions);
            return;
        }
        if (now >= this->attempt.resendAt) {
            this->attempt.resendAt = now + this->options.resendAfter;
            actions.push_back(
                PromoteServer{.server = this->attempt.candidate, .term = this->attempt.term, .owner = this->owner});
        }
        return;
    }
}

}
