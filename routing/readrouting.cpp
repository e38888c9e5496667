#include "routing/readrouting.h"

#include "core/hashing.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace endiveshore::routing {

namespace {

// Servers whose expected delays differ by less are considered equally fast. Finer steps would send all reads to the
// replica with the lowest reported lag.
constexpr core::Duration DelayStep = core::Milliseconds(5);

struct RankedReplica
{
    const ReadCandidate *candidate = nullptr;
    core::Duration distance{};
    long long delaySteps = 0;
    bool uncertain = false; ///< The status does not prove that the replica meets the age bound and the position.
    std::uint64_t order = 0; ///< Tie-breaker that differs between requests.

    auto key() const
    {
        return std::tuple(
            this->delaySteps, this->distance, this->uncertain, std::bit_width(this->candidate->load), this->order);
    }
};

core::Duration distanceTo(const ReadRequest &request, const ReadCandidate &candidate, const ReadPolicy &policy)
{
    if (candidate.dataCentre == request.dataCentre) {
        return core::Duration::zero();
    }
    return candidate.region == request.region ? policy.regionDelay : policy.remoteDelay;
}

bool hasStatus(const ReadCandidate &candidate, const ReadPolicy &policy)
{
    return candidate.statusAge && *candidate.statusAge <= policy.maximumStatusAge;
}

session::Coverage coverageOf(const ReadRequest &request, const ReadCandidate &candidate)
{
    return request.required ? session::coverage(*request.required, candidate.appliedPosition, candidate.termStarts)
                            : session::Coverage::Covered;
}

/// Reason to pass over @p candidate regardless of the other candidates; std::nullopt if there is no such reason.
std::optional<PassOverReason>
passOverReason(const ReadRequest &request, const ReadCandidate &candidate, const ReadPolicy &policy)
{
    if (!candidate.reachable) {
        return PassOverReason::Unreachable;
    }
    if (candidate.isPrimary) {
        return std::nullopt;
    }
    if (candidate.leaving) {
        return PassOverReason::Leaving;
    }
    if (request.maxAge <= core::Duration::zero()) {
        return PassOverReason::PrimaryOnly;
    }
    if (!hasStatus(candidate, policy)) {
        return std::nullopt;
    }
    if (candidate.lag > request.maxAge) {
        return PassOverReason::TooOld;
    }
    const session::Coverage covered = coverageOf(request, candidate);
    if (covered == session::Coverage::Diverged) {
        return PassOverReason::Diverged;
    }
    if (covered == session::Coverage::Covered) {
        return std::nullopt;
    }
    // A replica that does not know the session's term yet must follow a new primary before it can catch up.
    const bool catchesUp = candidate.term >= request.required->term && candidate.lag <= request.catchUpWait
        && request.catchUpWait > core::Duration::zero();
    return catchesUp ? std::nullopt : std::optional(PassOverReason::Behind);
}

}

std::string_view passOverReasonName(PassOverReason reason)
{
    switch (reason) {
    case PassOverReason::Unreachable:
        return "unreachable";
    case PassOverReason::Leaving:
        return "leaving";
    case PassOverReason::PrimaryOnly:
        return "primary_only";
    case PassOverReason::TooOld:
        return "too_old";
    case PassOverReason::Behind:
        return "behind";
    case PassOverReason::Diverged:
        return "diverged";
    case PassOverReason::Superseded:
        return "superseded";
    }
    return "unknown";
}

ReadPlan
chooseReadServers(const ReadRequest &request, std::span<const ReadCandidate> candidates, const ReadPolicy &policy)
{
    ReadPlan plan;
    const ReadCandidate *primary = nullptr;
    for (const ReadCandidate &candidate : candidates) {
        // During a promotion two servers may claim the role; the server with the newer term is the primary.
        if (candidate.isPrimary && candidate.reachable && (primary == nullptr || candidate.term > primary->term)) {
            primary = &candidate;
        }
    }
    const bool primaryIsNear
        = primary != nullptr && !primary->leaving && distanceTo(request, *primary, policy) == core::Duration::zero();

    std::vector<RankedReplica> replicas;
    for (const ReadCandidate &candidate : candidates) {
        if (&candidate == primary) {
            continue;
        }
        if (const std::optional<PassOverReason> reason = passOverReason(request, candidate, policy)) {
            plan.passedOver.push_back({.serverId = candidate.serverId, .reason = *reason});
            continue;
        }
        if (candidate.isPrimary) {
            plan.passedOver.push_back({.serverId = candidate.serverId, .reason = PassOverReason::Superseded});
            continue;
        }
        const bool known = hasStatus(candidate, policy);
        const bool covered = known && coverageOf(request, candidate) == session::Coverage::Covered;
        if (known && !covered && primaryIsNear) {
            plan.passedOver.push_back({.serverId = candidate.serverId, .reason = PassOverReason::Behind});
            continue;
        }
        RankedReplica replica{.candidate = &candidate, .distance = distanceTo(request, candidate, policy)};
        const core::Duration delay = replica.distance + (known && !covered ? candidate.lag : core::Duration::zero());
        replica.delaySteps = delay / DelayStep;
        replica.uncertain = !covered || candidate.lag + *candidate.statusAge > request.maxAge;
        replica.order = core::rendezvousWeight(candidate.serverId, std::to_string(request.tieBreaker));
        replicas.push_back(replica);
    }
    std::sort(replicas.begin(), replicas.end(), [](const RankedReplica &left, const RankedReplica &right) {
        return left.key() < right.key();
    });
    for (const RankedReplica &replica : replicas) {
        plan.servers.push_back(replica.candidate->serverId);
    }
    if (primary == nullptr) {
        return plan;
    }
    if (primary->leaving && !plan.servers.empty()) {
        plan.passedOver.push_back({.serverId = primary->serverId, .reason = PassOverReason::Leaving});
        return plan;
    }
    plan.servers.push_back(primary->serverId);
    return plan;
}

}
