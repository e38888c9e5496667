#pragma once

#include "core/time.h"

#include <optional>

/// Rate limits of workspaces: token bucket, and the protocol by which one allocator lends its tokens to all daemons.
namespace endiveshore::limits {

/// Rate limit of a workspace. In any window no more than `burst + ratePerSecond * window` tokens may be spent.
struct ShareLimits
{
    double ratePerSecond = 0;
    double burst = 0;

    bool operator==(const ShareLimits &) const = default;
};

/// Token bucket for one process. Starts full.
class TokenBucket
{
public:
    TokenBucket(ShareLimits limits, core::TimePoint now);

    /// Takes @p tokens if all of them are there.
    bool tryTake(double tokens, core::TimePoint now);

    /// Takes @p tokens that are there within @p longestWait and returns the time until then; nothing if that is longer.
    /// Tokens that are not there yet are owed: those that come next are nobody else's, so bookings are served in their
    /// order.
    std::optional<core::Duration> book(double tokens, core::Duration longestWait, core::TimePoint now);

    /// Returns @p tokens that were taken and not used; those above the burst are dropped.
    void returnTokens(double tokens);

    /// Time until @p tokens are there; Duration::max() if the bucket never holds so many.
    core::Duration timeUntil(double tokens, core::TimePoint now);

    /// Changes the limits; tokens above the new burst are dropped.
    void setLimits(ShareLimits limits, core::TimePoint now);

    /// Below zero while booked tokens are still to come.
    double level(core::TimePoint now);

private:
    void refill(core::TimePoint now);

    ShareLimits limits;
    double tokens;
    core::TimePoint refilledAt;
};

/// Tokens that @p ratePerSecond yields in @p duration.
double tokensIn(double ratePerSecond, core::Duration duration);

/// Time in which @p ratePerSecond yields @p tokens; Duration::max() without a rate.
core::Duration timeFor(double tokens, double ratePerSecond);

}
