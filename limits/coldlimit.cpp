#include "limits/coldlimit.h"

#include <algorithm>

namespace endiveshore::limits {

namespace {

/// Length of the window for which the bound holds.
constexpr std::chrono::seconds Window{1};
/// Homes that may send at the same time: a former and a new one, or those of the two sides of a partition.
constexpr double OverlappingHomes = 2;
/// Part of a home's share that it may send at once.
constexpr double BurstPart = 0.1;
/// Statements per second that are further apart than a window.
constexpr double SpacedRate = 0.9;
/// Time after which a server that restarted has told so, two heartbeats and the way of the news.
constexpr std::chrono::milliseconds SuspicionTime{3'000};

}

ColdLimit::ColdLimit()
    : bucket({}, core::TimePoint())
{
}

ShareLimits ColdLimit::ownLimits() const
{
    const double share = (this->bound.ratePerSecond * this->bound.excess + this->bound.slack) / OverlappingHomes;
    const double burst = std::max(1.0, share * BurstPart);
    // Statements further apart than a window keep a small share without a burst beside it.
    const double lowest = std::min(share, SpacedRate);
    return {.ratePerSecond = std::min(this->bound.ratePerSecond, std::max(lowest, share - burst)), .burst = burst};
}

void ColdLimit::update(const ColdBound &newBound, bool isHomeNow, core::TimePoint newColdUntil, core::TimePoint now)
{
    const bool wasLimited = this->isHome && this->isLimited(now);
    if (newBound != this->bound) {
        this->bound = newBound;
        this->bucket.setLimits(this->ownLimits(), now);
    }
    this->isHome = isHomeNow;
    this->coldUntil = newColdUntil;
    this->waitIfLimited(wasLimited, now);
}

void ColdLimit::recordUnreachable(core::TimePoint now)
{
    const bool wasLimited = this->isHome && this->isLimited(now);
    this->suspectedUntil = now + SuspicionTime;
    this->waitIfLimited(wasLimited, now);
}

void ColdLimit::waitIfLimited(bool wasLimited, core::TimePoint now)
{
    if (!wasLimited && this->isHome && this->isLimited(now)) {
        this->readyAt = now + Window;
    }
}

bool ColdLimit::isLimited(core::TimePoint now) const
{
    return this->bound.ratePerSecond > 0 && this->bound.excess > 0
        && (now < this->coldUntil || now < this->suspectedUntil);
}

bool ColdLimit::isSuspected(core::TimePoint now) const
{
    return this->isLimited(now) && now < this->suspectedUntil;
}

bool ColdLimit::refuses(core::TimePoint now) const
{
    return !this->isHome && this->isLimited(now);
}

bool ColdLimit::mayTake(core::TimePoint now)
{
    if (!this->isLimited(now)) {
        return true;
    }
    return this->isHome && now >= this->readyAt && this->bucket.level(now) >= 1;
}

void ColdLimit::take(core::TimePoint now)
{
    if (this->isLimited(now)) {
        this->bucket.tryTake(1, now);
    }
}

}
