#include "limits/urgencybucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endiveshore::limits {

namespace {

/// Smallest excess of the demand, in operations, at which the reserve is complete.
constexpr double MinimumOverloadTokens = 2;
/// Demand of the more urgent, in operations per second, below which nothing is kept for them.
constexpr double NegligibleDemand = 0.02;
/// Largest part of the burst that is kept for the more urgent.
constexpr double MaximumReservePart = 0.5;

}

UrgencyBucket::UrgencyBucket(ShareLimits limits, core::TimePoint now, UrgencyBucketOptions options)
    : options(options)
    , limits(limits)
    , bucket(limits, now)
    , askedLevel(limits.burst)
    , advancedAt(now)
{
}

std::optional<core::Duration>
UrgencyBucket::book(core::PriorityRank rank, core::Duration longestWait, core::TimePoint now)
{
    this->recordDemand(rank, now);
    std::optional<core::Duration> wait = this->bookOrdered(rank, longestWait, now);
    if (!wait && this->isStarved(rank, now)) {
        wait = this->bucket.book(1, core::Duration::zero(), now);
    }
    std::optional<core::TimePoint> &since = this->refusedSince.at(rank);
    since = wait ? std::nullopt : std::optional(since.value_or(now));
    return wait;
}

std::optional<core::Duration>
UrgencyBucket::bookOrdered(core::PriorityRank rank, core::Duration longestWait, core::TimePoint now)
{
    const double excess = this->overload();
    if (excess <= 0 || this->demandAbove(rank) < NegligibleDemand) {
        return this->bucket.book(1, longestWait, now);
    }
    const auto allowed = std::chrono::duration_cast<core::Duration>(longestWait * (1 - excess));
    if (this->bucket.timeUntil(1 + this->reserve(rank, now), now) > allowed) {
        return std::nullopt;
    }
    return this->bucket.book(1, allowed, now);
}

bool UrgencyBucket::isStarved(core::PriorityRank rank, core::TimePoint now)
{
    const std::optional<core::TimePoint> &since = this->refusedSince.at(rank);
    return since && now - *since >= this->options.maximumStarvation;
}

double UrgencyBucket::reserve(core::PriorityRank rank, core::TimePoint now)
{
    this->advance(now);
    const double largest = std::max(0.0, std::min(MaximumReservePart * this->limits.burst, this->limits.burst - 1));
    const double needed = tokensIn(this->demandAbove(rank), this->options.reservePeriod);
    return this->overload() * std::min(needed, largest);
}

void UrgencyBucket::returnTokens(double tokens)
{
    this->bucket.returnTokens(tokens);
    this->askedLevel = std::min(this->limits.burst, this->askedLevel + tokens);
}

void UrgencyBucket::setLimits(ShareLimits changed, core::TimePoint now)
{
    this->advance(now);
    this->limits = changed;
    this->bucket.setLimits(changed, now);
    this->askedLevel = std::min(this->askedLevel, changed.burst);
}

void UrgencyBucket::empty(core::TimePoint now)
{
    this->advance(now);
    this->bucket.empty(now);
    this->askedLevel = std::min(this->askedLevel, 0.0);
}

double UrgencyBucket::level(core::TimePoint now)
{
    return this->bucket.level(now);
}

void UrgencyBucket::advance(core::TimePoint now)
{
    if (now <= this->advancedAt) {
        return;
    }
    const core::Duration passed = now - this->advancedAt;
    this->advancedAt = now;
    this->askedLevel = std::min(this->limits.burst, this->askedLevel + tokensIn(this->limits.ratePerSecond, passed));
    const double kept = std::exp(-std::chrono::duration<double>(passed) / this->options.demandPeriod);
    for (double &count : this->demand) {
        count *= kept;
    }
}

void UrgencyBucket::recordDemand(core::PriorityRank rank, core::TimePoint now)
{
    this->advance(now);
    this->demand.at(rank) += 1;
    this->askedLevel = std::max(-this->overloadTokens(), this->askedLevel - 1);
}

double UrgencyBucket::demandAbove(core::PriorityRank rank) const
{
    const double count = std::accumulate(this->demand.begin(), this->demand.begin() + rank, 0.0);
    return count / std::chrono::duration<double>(this->options.demandPeriod).count();
}

double UrgencyBucket::overload() const
{
    return std::clamp(-this->askedLevel / this->overloadTokens(), 0.0, 1.0);
}

double UrgencyBucket::overloadTokens() const
{
    return std::max(MinimumOverloadTokens, tokensIn(this->limits.ratePerSecond, this->options.overloadPeriod));
}

}
