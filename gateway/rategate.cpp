#include "gateway/rategate.h"

#include <algorithm>
#include <utility>

namespace endiveshore::gateway {

namespace {

/// Below this burst a share could never start an operation.
constexpr double MinimumBurst = 1;

}

void RateGate::update(const Configuration &configuration, const RateShares &shares, core::TimePoint now)
{
    this->currentShares = shares;
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
        this->buckets.emplace(name, limits::TokenBucket(limits, now));
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

void RateGate::giveBack(std::string_view workspace)
{
    const auto bucket = this->buckets.find(workspace);
    if (bucket != this->buckets.end()) {
        bucket->second.giveBack(1);
    }
}

core::Duration RateGate::timeUntilNext(std::string_view workspace, core::TimePoint now)
{
    const auto bucket = this->buckets.find(workspace);
    return bucket == this->buckets.end() ? core::Duration::max() : bucket->second.timeUntil(1, now);
}

double RateGate::tokens(std::string_view workspace, core::TimePoint now)
{
    const auto bucket = this->buckets.find(workspace);
    return bucket == this->buckets.end() ? 0 : bucket->second.level(now);
}

double RateGate::share(std::string_view workspace) const
{
    const auto found = this->currentShares.find(workspace);
    return found == this->currentShares.end() ? 0 : found->second;
}

std::map<std::string, std::uint64_t, std::less<>> RateGate::takeDemand()
{
    return std::exchange(this->wanted, {});
}

}
