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

/// Functions that ShareService depends on. They are called on the executor of the service.
struct ShareServiceCallbacks
{
    /// Sends a request to the ShareService of another daemon and returns the answer; throws core::Error if that daemon
    /// is unreachable.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;
    /// Returns the id of the member that allocates the rate of a workspace, according to this daemon's view.
    std::function<std::string(std::string_view workspace)> allocatorOf;
    /// Returns true if this daemon has contact with a majority of the members. Otherwise it does not renew its leases.
    std::function<bool()> seesMajority;
    /// Returns all members that have not left, including this daemon and unreachable members. If the lists of two
    /// daemons differ in more than one member, each of the two may find a majority for the same workspace.
    std::function<std::vector<std::string>()> members;
};

struct ShareServiceOptions
{
    std::string memberId;
    core::Milliseconds leasePeriod{1000}; ///< Duration of an allocator lease; must be equal on all daemons.
    limits::ShareHolderOptions holder;
    limits::ShareAllocatorOptions allocator;
};

/// Keeps the workspaces within their rates over all daemons together: spends lent tokens for the callers of this
/// daemon, and lends tokens to all daemons for the workspaces that this daemon allocates.
///
/// The state is owned by one executor that runs one handler at a time. After the start of a fleet or the replacement of
/// an allocator, the first tokens are granted within two lease periods and one token lifetime.
class ShareService : public std::enable_shared_from_this<ShareService>
{
public:
    ShareService(net::Executor executor, ShareServiceOptions options, ShareServiceCallbacks callbacks);
    ~ShareService();

    /// Starts to renew the leases of this daemon. Must be called once.
    void start();

    /// Ends the leases and refuses all waiting callers. May be called from any thread.
    void stop();

    /// Applies the limits of all workspaces. May be called from any thread.
    void setLimits(std::map<std::string, limits::ShareLimits> limits);

    /// Spends one token of @p workspace and waits for it until @p deadline if necessary. May be called on any executor.
    /// Throws core::Error(RateExceeded) if no token arrived in time, too many callers wait or the workspace has no
    /// rate.
    net::awaitable<void> acquire(std::string workspace, core::TimePoint deadline);

    /// Handles a request from the ShareService of another daemon. Runs on the executor of the service. Throws
    /// core::Error(MalformedRequest).
    boost::json::object handle(const boost::json::object &request);

    /// Like handle(), for callers on any executor.
    net::awaitable<boost::json::object> serve(boost::json::object request);

    /// State by workspace: tokens held, callers waiting, and for workspaces that this daemon allocates the tokens
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
    limits::EndorsementTable endorsements;
    std::map<std::string, std::shared_ptr<Share>, std::less<>> shares;
    bool stopped = false;
};

}
