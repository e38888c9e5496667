#include "gateway/rategate.h"

#include <algorithm>
#include <utility>

namespace endiveshore::gateway {

namespace {

/// Below this burst a share could never start an operation.
constexpr double MinimumBurst = 1;
/// Part of the burst that a new bucket holds. A process before this one may have spent the burst just now; the time in
/// which nothing was served makes up for this part.
constexpr double InitialPart = 0.5;

}

void RateGate::update(const Configuration &configuration, const RateShares &shares, core::TimePoint now)
{
    std::erase_if(this->buckets, [&](const auto &entry) { return !configuration.workspaces.contains(entry.first); });
    for (const auto &[name, workspace] : configuration.workspaces) {
        const auto found = shares.find(name);
        const double share = found == shares.end() ? 0 : found->second;
        const limits::ShareLimits limits{.ratePerSecond = workspace.limits.ratePerSecond * share,
                                         .burst = std::max(MinimumBurst, workspace.limits.burst * share)};
        const auto bucket = this->buckets.find(name);
        if (bucket != this->buckets.end()) {
            bucket->second.setLimits(limits, now);
            continue;
        }
        const auto added = this->buckets.emplace(name, limits::TokenBucket(limits, now)).first;
        added->second.tryTake(limits.burst * (1 - InitialPart), now);
    }
}

void RateGate::countDemand(const std::string &workspace)
{
    ++this->wanted[workspace];
}

bool RateGate::tryTake(std::string_view workspace, core::TimePoint now)
{
    const auto bucket = this->buckets.find(workspace);
    return bucket != this->buckets.end() && bucket->second.tryTake(1, now);
}

core::Duration RateGate::timeUntilNext(std::string_view workspace, core::TimePoint now)
{
    const auto bucket = this->buckets.find(workspace);
    return bucket == this->buckets.end() ? core::Duration::max() : bucket->second.timeUntil(1, now);
}

std::map<std::string, std::uint64_t, std::less<>> RateGate::takeDemand()
{
    return std::exchange(this->wanted, {});
}

}
