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

    /// Takes @p tokens if all of them are available.
    bool tryTake(double tokens, core::TimePoint now);

    /// Takes @p tokens that are available within @p longestWait and returns the wait; takes none and returns
    /// std::nullopt if the wait would be longer. Tokens that are not available yet are taken in advance: later
    /// operations cannot take them, so bookings are served in their order.
    std::optional<core::Duration> book(double tokens, core::Duration longestWait, core::TimePoint now);

    /// Returns @p tokens that were taken and not used; tokens above the burst are dropped.
    void returnTokens(double tokens);

    /// Time until @p tokens are available; Duration::max() if the bucket never holds as many.
    core::Duration timeUntil(double tokens, core::TimePoint now);

    /// Changes the limits; tokens above the new burst are dropped.
    void setLimits(ShareLimits limits, core::TimePoint now);

    /// Drops all available tokens.
    void empty(core::TimePoint now);

    /// Available tokens. Negative while booked tokens have not been refilled yet.
    double level(core::TimePoint now);

private:
    void refill(core::TimePoint now);

    ShareLimits limits;
    double tokens;
    core::TimePoint refilledAt;
};

/// Tokens that @p ratePerSecond yields in @p duration.
double tokensIn(double ratePerSecond, core::Duration duration);

/// Time in which @p ratePerSecond yields @p tokens; Duration::max() if the rate is zero.
core::Duration timeFor(double tokens, double ratePerSecond);

}
