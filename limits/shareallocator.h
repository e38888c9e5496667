#pragma once

#include "limits/sharemessage.h"
#include "limits/tokenbucket.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace endiveshore::limits {

struct ShareAllocatorOptions
{
    core::Milliseconds tokenLifetime{1000}; ///< Lifetime of lent tokens; holders count it from sending the request.
    /// Time for which the allocator counts tokens as outstanding after their lifetime, because clocks run at different
    /// speeds.
    core::Milliseconds clockMargin{20};
    core::Milliseconds refusedRetry{100}; ///< Retry delay sent while this allocator may not grant.
    core::Milliseconds minimumRetry{5};
    core::Milliseconds maximumRetry{500};
};

/// Lends the tokens of one workspace to the daemons. Does no I/O and reads no clock.
///
/// Tokens that holders may still spend are outstanding and count against the burst: the bucket refills only up to the
/// burst minus the outstanding tokens. The sum of spent, outstanding and available tokens therefore never grows faster
/// than the rate, so at most burst + rate * window tokens are spent in any window. Lost messages leave tokens
/// outstanding until their lifetime ends, which delays the refill but never exceeds the limit.
class ShareAllocator
{
public:
    /// @p epochSeed is a random number drawn by each process.
    ShareAllocator(ShareLimits limits, std::uint64_t epochSeed, ShareAllocatorOptions options = {});

    void setLimits(ShareLimits limits, core::TimePoint now);

    /// Allows grants until @p until. On the first call, and after the lease has expired, another allocator may have
    /// lent tokens until @p now: the bucket starts empty and the whole burst counts as outstanding for one token
    /// lifetime.
    void extendLease(core::TimePoint until, core::TimePoint now);

    /// Ends the lease at once; grants are refused until the next extendLease().
    void endLease();

    /// Settles the holder's earlier grants and lends available tokens: first for waiting callers, in the order in which
    /// their holders began to wait, then at most half of the remaining tokens as reserve.
    ShareGrant handle(const ShareRequest &request, core::TimePoint now);

    bool mayGrant(core::TimePoint now) const;
    double available(core::TimePoint now);
    double outstanding(core::TimePoint now);

private:
    /// Tokens that expire together.
    struct Lot
    {
        core::TimePoint expiry;
        double tokens = 0;
    };

    struct Holder
    {
        std::uint64_t lastSequence = 0;
        ShareGrant lastGrant;
        std::deque<Lot> lots; ///< In the order of expiry.
        double unmet = 0; ///< Tokens still needed by waiting callers.
        core::TimePoint unmetSince;
        core::TimePoint unmetUntil;
        core::TimePoint lastRequestAt;
    };

    core::Milliseconds retryAfter(double missing) const;
    void advance(core::TimePoint now);
    void refillUntil(core::TimePoint time);
    void settle(Holder &holder, const ShareRequest &request);
    double claimedBefore(const Holder &holder, core::TimePoint now) const;
    bool othersWait(const Holder &holder, core::TimePoint now) const;
    void removeIdleHolders(core::TimePoint now);

    ShareLimits limits;
    std::uint64_t epoch;
    ShareAllocatorOptions options;
    double level = 0;
    double lent = 0; ///< Sum of the lots of all holders.
    Lot inherited; ///< Tokens that an earlier allocator may have lent.
    core::TimePoint refilledAt;
    std::optional<core::TimePoint> leaseUntil;
    std::map<std::string, Holder, std::less<>> holders;
};

}
