#pragma once

#include "limits/allocatorlease.h"
#include "limits/shareallocator.h"
#include "limits/shareholder.h"
#include "net/asyncio.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::daemon {

/// What a ShareService needs from its surroundings. All functions are called on the executor of the service.
struct ShareServiceCallbacks
{
    /// Sends a request to the ShareService of another daemon; throws core::Error if it cannot be reached.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;
    /// Member that allocates the rate of a workspace, by this daemon's view.
    std::function<std::string(std::string_view workspace)> allocatorOf;
    /// Whether this daemon sees a majority of the members. Without it, the daemon does not renew its leases.
    std::function<bool()> seesMajority;
    /// All members that have not left, with this one and those that are unreachable. Two daemons that differ by more
    /// than one member here may each find a majority.
    std::function<std::vector<std::string>()> members;
};

struct ShareServiceOptions
{
    std::string memberId;
    core::Milliseconds leasePeriod{1000}; ///< Equal on all daemons.
    limits::ShareHolderOptions holder;
    limits::ShareAllocatorOptions allocator;
};

/// Keeps the workspaces of all daemons together within their rates: spends lent tokens for the callers of this daemon
/// and lends tokens for the workspaces that this daemon allocates.
///
/// The state is owned by one executor that runs one handler at a time. After the start of a fleet, or when an allocator
/// is replaced, the first tokens come after at most two lease periods and one lending period.
class ShareService : public std::enable_shared_from_this<ShareService>
{
public:
    ShareService(net::Executor executor, ShareServiceOptions options, ShareServiceCallbacks callbacks);
    ~ShareService();

    /// Starts renewing leases. Call once.
    void start();

    /// Ends the leases and refuses all waiting callers. May be called from any thread.
    void stop();

    /// Takes over the limits of all workspaces. May be called from any thread.
    void setLimits(std::map<std::string, limits::ShareLimits> limits);

    /// Spends one token of @p workspace, waiting for it until @p deadline. May be called on any executor. Throws
    /// core::Error(RateExceeded) if no token came in time, too many callers wait or the workspace has no rate.
    net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline);

    /// Answers a request of another daemon's service. Runs on the executor of the service. Throws
    /// core::Error(MalformedRequest).
    boost::json::object handle(const boost::json::object &request);

    /// Like handle(), for callers on any executor.
    net::awaitable<boost::json::object> serve(boost::json::object request);

    /// State per workspace for the status page: tokens held, callers waiting, and for allocated workspaces the tokens
    /// available and outstanding. Runs on the executor of the service.
    boost::json::object status();

private:
    struct Share;
    struct Waiter;

    net::awaitable<void> acquireOnExecutor(std::string workspace, core::TimePoint deadline);
    net::awaitable<boost::json::object> handleOnExecutor(boost::json::object request);
    net::awaitable<void> renewLeases();
    net::awaitable<void> requestEndorsement(std::string member, limits::EndorsementRequest request);
    net::awaitable<void> sendRequest(std::shared_ptr<Share> share, limits::ShareRequest request);
    net::awaitable<boost::json::object> exchange(std::string member, boost::json::object request);
    void advance(const std::shared_ptr<Share> &share);
    void finishWaiter(Share &share, limits::ShareHolder::WaiterId id, bool served);
    void refuseWaiters(Share &share);
    void applyLimits(const std::map<std::string, limits::ShareLimits> &limits);
    void stopOnExecutor();

    net::Executor executor;
    ShareServiceOptions options;
    ShareServiceCallbacks callbacks;
    std::string identity; ///< Member id and incarnation.
    limits::EndorsementBook endorsements;
    std::map<std::string, std::shared_ptr<Share>, std::less<>> shares;
    bool stopped = false;
};

}
