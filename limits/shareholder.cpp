#include "limits/shareholder.h"

#include <algorithm>
#include <cmath>

namespace endiveshore::limits {

namespace {

constexpr int MaximumDoublings = 8;

}

ShareHolder::ShareHolder(std::string workspace, std::string holder, ShareHolderOptions options)
    : workspace(std::move(workspace))
    , holder(std::move(holder))
    , options(options)
{
}

ShareHolder::Acquisition ShareHolder::acquire(WaiterId waiter, core::TimePoint deadline, core::TimePoint now)
{
    // Callers that already wait come first.
    if (this->waiters.empty() && this->trySpend(now)) {
        return Acquisition::Taken;
    }
    if (this->waiters.size() >= this->options.maximumWaiters) {
        return Acquisition::Refused;
    }
    this->waiters.push_back({.id = waiter, .deadline = deadline});
    return Acquisition::Waiting;
}

std::optional<ShareRequest> ShareHolder::nextRequest(core::TimePoint now)
{
    if (this->pending && now >= this->pending->sentAt + this->requestTimeout()) {
        this->recordFailure(now);
    }
    if (this->pending || now < this->retryAt) {
        return std::nullopt;
    }
    this->dropExpiredLots(now);
    const std::int64_t unspent = this->held(now);
    const std::int64_t target = this->reserveTarget(now);
    ShareRequest request{.workspace = this->workspace,
                         .holder = this->holder,
                         .epoch = this->epoch,
                         .accepted = this->accepted,
                         .needed = static_cast<std::int64_t>(this->waiters.size())};
    if (request.needed > 0 || (unspent * 2 < target && now >= this->reserveRetryAt)) {
        request.reserve = std::max<std::int64_t>(0, target - unspent);
    } else {
        request.returned = this->returnExcess(target, now);
        if (request.returned == 0) {
            return std::nullopt;
        }
    }
    request.held = this->held(now);
    request.sequence = ++this->sequence;
    this->pending = PendingRequest{.sequence = request.sequence, .sentAt = now};
    return request;
}

void ShareHolder::onGrant(const ShareGrant &grant, core::TimePoint now)
{
    if (!this->pending || grant.sequence != this->pending->sequence) {
        return;
    }
    const core::TimePoint sentAt = this->pending->sentAt;
    if (grant.refused) {
        this->recordFailure(now);
        return;
    }
    this->pending.reset();
    this->failures = 0;
    this->accepted = grant.sequence;
    this->roundTrip
        = this->roundTrip == core::Duration::zero() ? now - sentAt : (4 * this->roundTrip + now - sentAt) / 5;
    this->epoch = grant.epoch;
    this->retryAt = now + grant.retryAfter;
    // The allocator may have no reserve to lend; without a delay, the holder would send requests in an endless loop.
    this->reserveRetryAt = now + this->options.reservePeriod / 4;
    // The lifetime counts from the sending of the request here and from its arrival at the allocator, so the tokens
    // expire at the holder first.
    const core::TimePoint expiry = sentAt + grant.tokenLifetime;
    if (grant.granted > 0 && now < expiry) {
        const auto later = std::find_if(
            this->lots.begin(), this->lots.end(), [expiry](const Lot &lot) { return lot.expiry > expiry; });
        this->lots.insert(later, Lot{.expiry = expiry, .tokens = grant.granted});
    }
    this->serveWaiters(now);
}

void ShareHolder::onFailure(std::uint64_t failedSequence, core::TimePoint now)
{
    if (this->pending && this->pending->sequence == failedSequence) {
        this->recordFailure(now);
    }
}

std::vector<ShareHolder::WaiterId> ShareHolder::takeServed()
{
    return std::exchange(this->served, {});
}

std::vector<ShareHolder::WaiterId> ShareHolder::takeExpired(core::TimePoint now)
{
    this->expireWaiters(now);
    return std::exchange(this->expired, {});
}

std::optional<core::TimePoint> ShareHolder::nextWake(core::TimePoint now) const
{
    std::optional<core::TimePoint> wake;
    const auto consider = [&wake](core::TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
    for (const Waiter &waiter : this->waiters) {
        consider(waiter.deadline);
    }
    if (this->pending) {
        consider(this->pending->sentAt + this->requestTimeout());
    } else if (!this->waiters.empty()) {
        consider(std::max(now, this->retryAt));
    } else if (!this->lots.empty()) {
        consider(now + this->options.reservePeriod);
    }
    return wake;
}

std::int64_t ShareHolder::held(core::TimePoint now) const
{
    std::int64_t total = 0;
    for (const Lot &lot : this->lots) {
        total += lot.expiry > now ? lot.tokens : 0;
    }
    return total;
}

std::size_t ShareHolder::waiting() const
{
    return this->waiters.size();
}

double ShareHolder::consumption(core::TimePoint now) const
{
    const std::chrono::duration<double> period = this->options.averagingPeriod;
    const std::chrono::duration<double> elapsed = now - this->spentAt;
    return this->spentAverage * std::exp(-elapsed / period) / period.count();
}

bool ShareHolder::trySpend(core::TimePoint now)
{
    this->dropExpiredLots(now);
    if (this->lots.empty()) {
        return false;
    }
    // Oldest first: ShareAllocator::settle() relies on this order.
    if (--this->lots.front().tokens == 0) {
        this->lots.pop_front();
    }
    const std::chrono::duration<double> period = this->options.averagingPeriod;
    this->spentAverage = this->consumption(now) * period.count() + 1;
    this->spentAt = now;
    return true;
}

void ShareHolder::dropExpiredLots(core::TimePoint now)
{
    while (!this->lots.empty() && this->lots.front().expiry <= now) {
        this->lots.pop_front();
    }
}

void ShareHolder::expireWaiters(core::TimePoint now)
{
    std::erase_if(this->waiters, [&](const Waiter &waiter) {
        if (waiter.deadline > now) {
            return false;
        }
        this->expired.push_back(waiter.id);
        return true;
    });
}

void ShareHolder::serveWaiters(core::TimePoint now)
{
    // An expired caller must not use up a token.
    this->expireWaiters(now);
    while (!this->waiters.empty() && this->trySpend(now)) {
        this->served.push_back(this->waiters.front().id);
        this->waiters.pop_front();
    }
}

std::int64_t ShareHolder::reserveTarget(core::TimePoint now) const
{
    const std::chrono::duration<double> period = this->options.reservePeriod;
    return static_cast<std::int64_t>(std::ceil(this->consumption(now) * period.count() - 0.25));
}

std::int64_t ShareHolder::returnExcess(std::int64_t target, core::TimePoint now)
{
    const std::int64_t excess = this->held(now) - 2 * target;
    if (excess <= 0 || now < this->returnedAt + this->options.reservePeriod) {
        return 0;
    }
    this->returnedAt = now;
    std::int64_t left = excess;
    while (left > 0 && !this->lots.empty()) {
        Lot &oldest = this->lots.front();
        const std::int64_t taken = std::min(left, oldest.tokens);
        oldest.tokens -= taken;
        left -= taken;
        if (oldest.tokens == 0) {
            this->lots.pop_front();
        }
    }
    return excess;
}

core::Duration ShareHolder::requestTimeout() const
{
    if (this->roundTrip == core::Duration::zero()) {
        return this->options.maximumRequestTimeout;
    }
    // Doubles after each failure. Otherwise every request to a new allocator with a longer round trip would time out.
    const core::Duration expected = std::max<core::Duration>(4 * this->roundTrip, this->options.minimumRequestTimeout);
    return std::min<core::Duration>(expected * (1 << this->failures), this->options.maximumRequestTimeout);
}

void ShareHolder::recordFailure(core::TimePoint now)
{
    this->pending.reset();
    this->retryAt = now + std::min(this->options.retryDelay * (1 << this->failures), this->options.maximumRetryDelay);
    this->failures = std::min(this->failures + 1, MaximumDoublings);
}

}
