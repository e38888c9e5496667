#include "gateway/ratelimiter.h"

#include <algorithm>
#include <utility>

namespace endiveshore::gateway {

namespace {

/// With a smaller burst a bucket could never admit an operation.
constexpr double MinimumBurst = 1;
/// Smallest even share of the burst, for each rank in use, for which each daemon has its own bucket. With less, callers
/// that arrive at the same moment by chance are refused although their workspace is within its rate.
constexpr double MinimumOwnBurst = 6;
/// Part of the rate that refills the fallback buckets of the daemons, which are used only while the pool is
/// unreachable.
constexpr double FallbackPart = 0.005;
/// Operations that the pools of all regions together hold beyond the burst. Callers of one region that arrive at the
/// same moment by chance are thus served although the pools of other regions hold the rest of the burst. Half of what
/// the platform tolerates above any rate.
constexpr double SpareOperations = 10;

/// Scales the limits @p whole by @p share. Without a share nothing is admitted.
limits::ShareLimits partOf(const limits::ShareLimits &whole, double share)
{
    return {.ratePerSecond = whole.ratePerSecond * share,
            .burst = share > 0 ? std::max(MinimumBurst, whole.burst * share) : 0};
}

double shareOf(const RateShares &shares, const std::string &workspace)
{
    const auto found = shares.find(workspace);
    return found == shares.end() ? 0 : found->second;
}

}

core::Duration longestRateWait(core::Duration latencyObjective)
{
    // The same wait for most routes: while operations of other routes keep the queue longer than a route may wait, that
    // route would get nothing.
    constexpr core::Duration CommonWait = std::chrono::milliseconds(400);
    return std::min(CommonWait, latencyObjective / 2);
}

RateLimiter::RateLimiter(bool ordersByPriority)
    : ordered(ordersByPriority)
{
}

bool RateLimiter::ordersByPriority() const
{
    return this->ordered;
}

core::PriorityRank RateLimiter::effectiveRank(core::PriorityRank rank) const
{
    return this->ordered ? rank : 0;
}

void RateLimiter::updateRanks(const Configuration &configuration)
{
    if (!this->ordered) {
        return;
    }
    std::set<core::PriorityRank> ranks;
    for (const auto &[name, route] : configuration.routes) {
        ranks.insert(core::priorityRank(route.priority));
    }
    this->ranksInUse = std::max<std::size_t>(1, ranks.size());
    this->lowestRank = ranks.empty() ? 0 : *ranks.rbegin();
}

void RateLimiter::setBucket(Buckets &buckets,
                            const std::string &workspace,
                            limits::ShareLimits limits,
                            core::TimePoint now)
{
    const auto bucket = buckets.find(workspace);
    if (bucket == buckets.end()) {
        buckets.emplace(workspace, limits::UrgencyBucket(limits, now));
    } else {
        bucket->second.setLimits(limits, now);
    }
}

void RateLimiter::update(const Configuration &configuration, const DaemonShares &shares, core::TimePoint now)
{
    this->currentShares = shares.own;
    this->updateRanks(configuration);
    const double minimumOwnBurst = MinimumOwnBurst * static_cast<double>(this->ranksInUse);
    const auto isRemoved = [&](const auto &entry) { return !configuration.workspaces.contains(entry.first); };
    std::erase_if(this->buckets, isRemoved);
    std::erase_if(this->pools, isRemoved);
    std::erase_if(this->poolUse, isRemoved);
    std::erase_if(this->returned, [&](const std::string &name) { return !configuration.workspaces.contains(name); });
    this->awaitingShare.clear();
    for (const auto &[name, workspace] : configuration.workspaces) {
        if (!shares.own.contains(name) && !this->buckets.contains(name)) {
            this->awaitingShare.insert(name);
            continue;
        }
        const limits::ShareLimits &whole = workspace.limits;
        const double share = shareOf(shares.own, name);
        const bool pooled = whole.burst / static_cast<double>(shares.daemons) < minimumOwnBurst && shares.daemons > 1;
        if (!pooled) {
            this->pools.erase(name);
            setBucket(this->buckets, name, partOf(whole, share), now);
            continue;
        }
        limits::ShareLimits pool = partOf(whole, shareOf(shares.region, name));
        pool.ratePerSecond *= 1 - FallbackPart;
        if (shares.regions > 1 && pool.ratePerSecond > 0) {
            pool.burst += SpareOperations / static_cast<double>(shares.regions);
        }
        // The daemons may have spent the burst from their own buckets until now.
        const bool replacesOwnBuckets = this->ordered && !this->pools.contains(name) && this->buckets.contains(name);
        setBucket(this->pools, name, pool, now);
        if (replacesOwnBuckets) {
            this->pools.at(name).empty(now);
        }
        this->poolUse[name].limits = pool;
        const double fallback = FallbackPart / static_cast<double>(shares.daemons);
        setBucket(this->buckets, name, {.ratePerSecond = whole.ratePerSecond * fallback, .burst = MinimumBurst}, now);
    }
}

bool RateLimiter::isPooled(std::string_view workspace) const
{
    return this->pools.contains(workspace);
}

RateAnswer RateLimiter::bookFromPool(std::string_view workspace,
                                     core::Duration longestWait,
                                     core::TimePoint now,
                                     core::PriorityRank rank)
{
    const auto pool = this->pools.find(workspace);
    if (pool == this->pools.end()) {
        return {};
    }
    const core::PriorityRank effective = this->effectiveRank(rank);
    const RateAnswer answer{.isKnown = true, .startAfter = pool->second.book(effective, longestWait, now)};
    ++this->poolRequests[pool->first];
    PoolUse &use = this->poolUse[pool->first];
    ++(answer.startAfter ? use.granted : use.refused);
    ++(answer.startAfter ? use.grantedByRank : use.refusedByRank).at(effective);
    return answer;
}

void RateLimiter::emptyPools(const std::function<bool(const std::string &workspace)> &isTakenOver, core::TimePoint now)
{
    for (auto &[workspace, pool] : this->pools) {
        if (isTakenOver(workspace)) {
            pool.empty(now);
        }
    }
}

std::map<std::string, PoolUse, std::less<>> RateLimiter::takeExhaustedPools()
{
    std::map<std::string, PoolUse, std::less<>> exhausted;
    for (auto &[name, use] : this->poolUse) {
        if (use.refused > 0) {
            exhausted.emplace(name, use);
        }
        use.granted = 0;
        use.refused = 0;
        use.grantedByRank.fill(0);
        use.refusedByRank.fill(0);
    }
    return exhausted;
}

void RateLimiter::countDemand(const std::string &workspace, core::PriorityRank rank)
{
    ++this->demand[workspace];
    if (this->ordered && rank < this->lowestRank) {
        ++this->urgentDemand[workspace].at(rank);
    }
}

RateAnswer
RateLimiter::book(std::string_view workspace, core::Duration longestWait, core::TimePoint now, core::PriorityRank rank)
{
    if (this->awaitingShare.contains(workspace)) {
        return {};
    }
    const auto bucket = this->buckets.find(workspace);
    if (bucket == this->buckets.end()) {
        return {.isKnown = true, .startAfter = {}};
    }
    return {.isKnown = true, .startAfter = bucket->second.book(this->effectiveRank(rank), longestWait, now)};
}

bool RateLimiter::tryTakeReturned(std::string_view workspace)
{
    const auto found = this->returned.find(workspace);
    if (found == this->returned.end()) {
        return false;
    }
    this->returned.erase(found);
    return true;
}

void RateLimiter::returnOperation(std::string_view workspace)
{
    if (this->isPooled(workspace)) {
        this->returned.emplace(workspace);
        return;
    }
    const auto bucket = this->buckets.find(workspace);
    if (bucket != this->buckets.end()) {
        bucket->second.returnTokens(1);
    }
}

double RateLimiter::tokens(std::string_view workspace, core::TimePoint now)
{
    const auto bucket = this->buckets.find(workspace);
    return bucket == this->buckets.end() ? 0 : bucket->second.level(now);
}

double RateLimiter::share(std::string_view workspace) const
{
    const auto found = this->currentShares.find(workspace);
    return found == this->currentShares.end() ? 0 : found->second;
}

std::map<std::string, std::uint64_t, std::less<>> RateLimiter::takePoolRequests()
{
    return std::exchange(this->poolRequests, {});
}

std::map<std::string, std::uint64_t, std::less<>> RateLimiter::takeDemand()
{
    return std::exchange(this->demand, {});
}

RankedCounts RateLimiter::takeUrgentDemand()
{
    return std::exchange(this->urgentDemand, {});
}

}
