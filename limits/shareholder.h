#pragma once

#include "limits/sharemessage.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::limits {

struct ShareHolderOptions
{
    std::size_t maximumWaiters = 512; ///< Maximum number of callers that wait for tokens at a time.
    core::Milliseconds reservePeriod{100}; ///< The reserve covers the average consumption of this period.
    core::Milliseconds averagingPeriod{500}; ///< Time constant of the consumption average.
    /// A request times out after four average round trips, within these bounds. With a fixed timeout of the upper
    /// bound, callers would time out when two messages in a row are lost.
    core::Milliseconds minimumRequestTimeout{40};
    core::Milliseconds maximumRequestTimeout{250};
    core::Milliseconds retryDelay{20}; ///< Delay after a failed request; doubles up to maximumRetryDelay.
    core::Milliseconds maximumRetryDelay{320};
};

/// Daemon side of a workspace's rate limit: spends tokens lent by the allocator and requests more on demand. Does no
/// I/O and reads no clock.
class ShareHolder
{
public:
    using WaiterId = std::uint64_t;

    enum class Acquisition {
        Taken, ///< A token was spent.
        Waiting, ///< The caller is queued; takeServed() or takeExpired() returns its id later.
        Refused, ///< Too many callers are waiting.
    };

    /// @p holder identifies the process, including its incarnation.
    ShareHolder(std::string workspace, std::string holder, ShareHolderOptions options = {});

    /// Spends one token or queues the caller @p waiter until @p deadline.
    Acquisition acquire(WaiterId waiter, core::TimePoint deadline, core::TimePoint now);

    /// Request to send now, if one is due. Starts the timeout of the request; onGrant() or onFailure() ends it.
    std::optional<ShareRequest> nextRequest(core::TimePoint now);

    /// Accepts a grant for the request in flight and drops any other grant.
    void onGrant(const ShareGrant &grant, core::TimePoint now);

    /// Ends the request with @p sequence as failed, if that request is in flight.
    void onFailure(std::uint64_t sequence, core::TimePoint now);

    /// Removes and returns the callers that have received a token.
    std::vector<WaiterId> takeServed();

    /// Removes and returns the callers whose deadline has passed while they waited.
    std::vector<WaiterId> takeExpired(core::TimePoint now);

    /// Time at which the caller must next call nextRequest() and takeExpired(), unless another function is called
    /// before.
    std::optional<core::TimePoint> nextWake(core::TimePoint now) const;

    /// Unspent tokens that are still valid.
    std::int64_t held(core::TimePoint now) const;

    std::size_t waiting() const;

    /// Average consumption in tokens per second.
    double consumption(core::TimePoint now) const;

private:
    /// Tokens that expire together.
    struct Lot
    {
        core::TimePoint expiry;
        std::int64_t tokens = 0;
    };

    struct Waiter
    {
        WaiterId id = 0;
        core::TimePoint deadline;
    };

    struct PendingRequest
    {
        std::uint64_t sequence = 0;
        core::TimePoint sentAt;
    };

    bool trySpend(core::TimePoint now);
    void dropExpiredLots(core::TimePoint now);
    void expireWaiters(core::TimePoint now);
    void serveWaiters(core::TimePoint now);
    std::int64_t reserveTarget(core::TimePoint now) const;
    std::int64_t returnExcess(std::int64_t target, core::TimePoint now);
    core::Duration requestTimeout() const;
    void recordFailure(core::TimePoint now);

    std::string workspace;
    std::string holder;
    ShareHolderOptions options;
    std::deque<Lot> lots; ///< In the order of expiry.
    std::deque<Waiter> waiters;
    std::vector<WaiterId> served;
    std::vector<WaiterId> expired;
    std::optional<PendingRequest> pending;
    std::uint64_t sequence = 0; ///< Sequence of the last request.
    std::uint64_t epoch = 0; ///< Epoch of the last grant accepted.
    std::uint64_t accepted = 0; ///< Sequence of the last grant accepted.
    core::TimePoint retryAt = core::TimePoint::min();
    core::TimePoint reserveRetryAt = core::TimePoint::min(); ///< Earliest request for reserve without waiting callers.
    core::TimePoint returnedAt = core::TimePoint::min(); ///< Last return of excess tokens.
    int failures = 0; ///< Failed requests since the last grant.
    core::Duration roundTrip{}; ///< Average; zero before the first grant.
    double spentAverage = 0; ///< Exponentially decayed count of spent tokens.
    core::TimePoint spentAt; ///< Time to which spentAverage applies.
};

}
