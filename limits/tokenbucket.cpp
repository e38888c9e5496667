#include "limits/tokenbucket.h"

#include <algorithm>

namespace endiveshore::limits {

TokenBucket::TokenBucket(ShareLimits limits, core::TimePoint now)
    : limits(limits)
    , tokens(limits.burst)
    , refilledAt(now)
{
}

bool TokenBucket::tryTake(double wanted, core::TimePoint now)
{
    this->refill(now);
    if (this->tokens < wanted) {
        return false;
    }
    this->tokens -= wanted;
    return true;
}

std::optional<core::Duration> TokenBucket::book(double wanted, core::Duration longestWait, core::TimePoint now)
{
    const core::Duration wait = this->timeUntil(wanted, now);
    if (wait > longestWait) {
        return std::nullopt;
    }
    this->tokens -= wanted;
    return wait;
}

void TokenBucket::returnTokens(double returned)
{
    this->tokens = std::min(this->limits.burst, this->tokens + returned);
}

core::Duration TokenBucket::timeUntil(double wanted, core::TimePoint now)
{
    this->refill(now);
    if (wanted > this->limits.burst) {
        return core::Duration::max();
    }
    return timeFor(std::max(0.0, wanted - this->tokens), this->limits.ratePerSecond);
}

void TokenBucket::setLimits(ShareLimits changed, core::TimePoint now)
{
    this->refill(now);
    this->limits = changed;
    this->tokens = std::min(this->tokens, changed.burst);
}

void TokenBucket::empty(core::TimePoint now)
{
    this->refill(now);
    this->tokens = std::min(this->tokens, 0.0);
}

double TokenBucket::level(core::TimePoint now)
{
    this->refill(now);
    return this->tokens;
}

void TokenBucket::refill(core::TimePoint now)
{
    if (now <= this->refilledAt) {
        return;
    }
    const double added = tokensIn(this->limits.ratePerSecond, now - this->refilledAt);
    this->tokens = std::min(this->limits.burst, this->tokens + added);
    this->refilledAt = now;
}

double tokensIn(double ratePerSecond, core::Duration duration)
{
    return ratePerSecond * std::chrono::duration<double>(duration).count();
}

core::Duration timeFor(double tokens, double ratePerSecond)
{
    if (tokens <= 0) {
        return core::Duration::zero();
    }
    // About a century; longer times overflow the duration.
    constexpr double MaximumSeconds = 3e9;
    const double seconds = ratePerSecond > 0 ? tokens / ratePerSecond : MaximumSeconds;
    if (seconds >= MaximumSeconds) {
        return core::Duration::max();
    }
    return std::chrono::ceil<core::Duration>(std::chrono::duration<double>(seconds));
}

}
