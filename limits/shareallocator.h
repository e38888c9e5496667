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
    core::Milliseconds tokenLifetime{1000}; ///< Life of lent tokens, counted by the holder from sending its request.
    /// Time that the allocator waits beyond the life of lent tokens, for clocks that run at different speeds.
    core::Milliseconds clockMargin{20};
    core::Milliseconds refusedRetry{100}; ///< Retry time sent while this allocator may not grant.
    core::Milliseconds minimumRetry{5};
    core::Milliseconds maximumRetry{500};
};

/// Lends the tokens of one workspace to the daemons. Pure.
///
/// Tokens that holders may still spend count against the burst: the bucket refills only up to burst less outstanding.
/// Spent, outstanding and available tokens together then never grow faster than the rate, so spending in any window is
/// at most burst + rate * window. Lost messages leave tokens outstanding until their life ends, which is safe.
class ShareAllocator
{
public:
    /// @p epochSeed is random per process.
    ShareAllocator(ShareLimits limits, std::uint64_t epochSeed, ShareAllocatorOptions options = {});

    void setLimits(ShareLimits limits, core::TimePoint now);

    /// Allows grants until @p until. After a lapse, and at first, another allocator may have lent tokens up to now: the
    /// bucket starts empty and the whole burst counts as outstanding for one lending period.
    void extendLease(core::TimePoint until, core::TimePoint now);

    /// Gives up the lease at once.
    void endLease();

    /// Settles the holder's earlier grants and lends what is available: first for waiting callers, in the order in
    /// which the holders began to wait, then at most half of the rest as reserve.
    ShareGrant handle(const ShareRequest &request, core::TimePoint now);

    bool mayGrant(core::TimePoint now) const;
    double available(core::TimePoint now);
    double outstanding(core::TimePoint now);

private:
    struct Lot
    {
        core::TimePoint expiry;
        double tokens = 0;
    };

    struct Holder
    {
        std::uint64_t lastSequence = 0;
        ShareGrant lastGrant;
        std::deque<Lot> lots; ///< Oldest first.
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
    double lent = 0; ///< Sum of all lots.
    Lot inherited; ///< What an earlier allocator may have lent.
    core::TimePoint refilledAt;
    std::optional<core::TimePoint> leaseUntil;
    std::map<std::string, Holder, std::less<>> holders;
};

}
