#include "limits/shareallocator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace endiveshore::limits {

namespace {

// Waiting callers of a holder keep their claim this long after the holder's next request was due.
constexpr core::Milliseconds ClaimGrace{200};
// Longer than any request can be in flight. A delayed request of a removed holder would be handled as a new request.
constexpr core::Milliseconds HolderRetention{60000};

}

ShareAllocator::ShareAllocator(ShareLimits limits, std::uint64_t epochSeed, ShareAllocatorOptions options)
    : limits(limits)
    // Epochs are sent as JSON integers, which the receiver reads as signed.
    , epoch(epochSeed >> 2)
    , options(options)
{
}

void ShareAllocator::setLimits(ShareLimits changed, core::TimePoint now)
{
    this->advance(now);
    this->limits = changed;
    const double capacity = std::max(0.0, changed.burst - this->lent - this->inherited.tokens);
    this->level = std::min(this->level, capacity);
}

void ShareAllocator::extendLease(core::TimePoint until, core::TimePoint now)
{
    if (until <= now) {
        return;
    }
    if (!this->mayGrant(now)) {
        ++this->epoch;
        this->level = 0;
        this->lent = 0;
        this->inherited = Lot{.expiry = now + this->options.tokenLifetime + this->options.clockMargin,
                              .tokens = this->limits.burst};
        this->refilledAt = now;
        this->holders.clear();
    }
    this->leaseUntil = this->leaseUntil ? std::max(*this->leaseUntil, until) : until;
    this->removeIdleHolders(now);
}

void ShareAllocator::endLease()
{
    this->leaseUntil.reset();
}

ShareGrant ShareAllocator::handle(const ShareRequest &request, core::TimePoint now)
{
    ShareGrant grant{.sequence = request.sequence, .epoch = this->epoch, .tokenLifetime = this->options.tokenLifetime};
    if (!this->mayGrant(now)) {
        grant.refused = true;
        grant.retryAfter = this->options.refusedRetry;
        return grant;
    }
    this->advance(now);
    Holder &holder = this->holders[request.holder];
    holder.lastRequestAt = now;
    if (request.sequence == holder.lastSequence) {
        return holder.lastGrant;
    }
    if (request.sequence < holder.lastSequence) {
        return grant;
    }
    this->settle(holder, request);

    const double needed = static_cast<double>(request.needed);
    const double claimed = this->claimedBefore(holder, now);
    double granted = std::clamp(std::floor(this->level - claimed), 0.0, needed);
    if (granted < needed) {
        const double missing = needed - granted;
        grant.retryAfter = this->retryAfter(claimed + needed - this->level);
        holder.unmetSince = holder.unmet > 0 ? holder.unmetSince : now;
        holder.unmetUntil = now + grant.retryAfter + ClaimGrace;
        holder.unmet = missing;
    } else {
        holder.unmet = 0;
        if (!this->othersWait(holder, now)) {
            const double spare = std::max(0.0, std::floor((this->level - granted) / 2));
            granted += std::min(static_cast<double>(request.reserve), spare);
        }
    }
    if (granted > 0) {
        this->level -= granted;
        this->lent += granted;
        holder.lots.push_back(
            Lot{.expiry = now + this->options.tokenLifetime + this->options.clockMargin, .tokens = granted});
    }
    grant.granted = static_cast<std::int64_t>(granted);
    holder.lastSequence = request.sequence;
    holder.lastGrant = grant;
    return grant;
}

bool ShareAllocator::mayGrant(core::TimePoint now) const
{
    return this->leaseUntil && now < *this->leaseUntil;
}

double ShareAllocator::available(core::TimePoint now)
{
    this->advance(now);
    return this->level;
}

double ShareAllocator::outstanding(core::TimePoint now)
{
    this->advance(now);
    return this->lent + this->inherited.tokens;
}

core::Milliseconds ShareAllocator::retryAfter(double missing) const
{
    // A request also reports the spent tokens. Unreported spent tokens count as outstanding and stop the refill, so the
    // time between requests is limited to the time in which this fraction of the burst refills.
    constexpr double MaximumUnreportedFraction = 0.25;
    const core::Duration wait = timeFor(missing, this->limits.ratePerSecond);
    const core::Duration report = timeFor(this->limits.burst * MaximumUnreportedFraction, this->limits.ratePerSecond);
    const core::Duration longest = std::min<core::Duration>(report, this->options.maximumRetry);
    return std::chrono::ceil<core::Milliseconds>(
        std::max<core::Duration>(std::min(wait, longest), this->options.minimumRetry));
}

void ShareAllocator::advance(core::TimePoint now)
{
    // The lots are handled in the order of expiry, because each expiry raises the level up to which the bucket refills.
    struct ExpiredLot
    {
        Lot lot;
        double *counter;
    };
    std::vector<ExpiredLot> expiredLots;
    if (this->inherited.tokens > 0 && this->inherited.expiry <= now) {
        expiredLots.push_back({this->inherited, &this->inherited.tokens});
    }
    for (auto &[id, holder] : this->holders) {
        while (!holder.lots.empty() && holder.lots.front().expiry <= now) {
            expiredLots.push_back({holder.lots.front(), &this->lent});
            holder.lots.pop_front();
        }
    }
    std::sort(expiredLots.begin(), expiredLots.end(), [](const ExpiredLot &left, const ExpiredLot &right) {
        return left.lot.expiry < right.lot.expiry;
    });
    for (const ExpiredLot &expired : expiredLots) {
        this->refillUntil(expired.lot.expiry);
        *expired.counter -= expired.lot.tokens;
    }
    this->refillUntil(now);
}

void ShareAllocator::refillUntil(core::TimePoint time)
{
    if (time <= this->refilledAt) {
        return;
    }
    const double capacity = this->limits.burst - this->lent - this->inherited.tokens;
    const double refilled = this->level + tokensIn(this->limits.ratePerSecond, time - this->refilledAt);
    this->level = std::max(this->level, std::min(refilled, capacity));
    this->refilledAt = time;
}

void ShareAllocator::settle(Holder &holder, const ShareRequest &request)
{
    // The holder no longer accepts a grant for an earlier request, so the tokens of a lost grant are available again.
    const bool lost = holder.lastGrant.granted > 0 && request.accepted < holder.lastSequence;
    if (lost && !holder.lots.empty()) {
        this->lent -= holder.lots.back().tokens;
        this->level += holder.lots.back().tokens;
        holder.lots.pop_back();
    }
    double total = 0;
    for (const Lot &lot : holder.lots) {
        total += lot.tokens;
    }
    // Holders spend the oldest tokens first, so the tokens still held belong to the newest lots.
    double settled = std::max(0.0, total - static_cast<double>(request.held));
    this->lent -= settled;
    if (request.epoch == this->epoch) {
        this->level += std::min(settled, static_cast<double>(request.returned));
    }
    while (settled > 0 && !holder.lots.empty()) {
        Lot &oldest = holder.lots.front();
        if (oldest.tokens > settled) {
            oldest.tokens -= settled;
            break;
        }
        settled -= oldest.tokens;
        holder.lots.pop_front();
    }
}

double ShareAllocator::claimedBefore(const Holder &holder, core::TimePoint now) const
{
    double claimed = 0;
    for (const auto &[id, other] : this->holders) {
        if (&other == &holder || other.unmet <= 0 || other.unmetUntil <= now) {
            continue;
        }
        if (holder.unmet <= 0 || other.unmetSince < holder.unmetSince) {
            claimed += other.unmet;
        }
    }
    return claimed;
}

bool ShareAllocator::othersWait(const Holder &holder, core::TimePoint now) const
{
    return std::any_of(this->holders.begin(), this->holders.end(), [&](const auto &entry) {
        return &entry.second != &holder && entry.second.unmet > 0 && entry.second.unmetUntil > now;
    });
}

void ShareAllocator::removeIdleHolders(core::TimePoint now)
{
    std::erase_if(this->holders, [now](const auto &entry) {
        return entry.second.lots.empty() && entry.second.lastRequestAt + HolderRetention < now;
    });
}

}
