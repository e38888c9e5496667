#pragma once

#include "net/httpserver.h"
#include "standins/storegateway.h"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace endiveshore::standins {

struct StoreStandinOptions
{
    /// Interval of progress notifications on idle watches.
    std::chrono::milliseconds progressInterval{500};
};

/// Numbers of calls received, except calls to the stand-in's own paths (/standin/). Lease calls count as writes.
struct StoreCalls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t openWatches = 0; ///< Watches that are open now; not part of the total.

    std::uint64_t total() const
    {
        return this->reads + this->writes + this->watches;
    }
};

/// Faults of the store. POST /standin/control sets the members present in its body and keeps the others.
struct StoreFaults
{
    bool down = false; ///< Closes each connection without running the call and ends the watches.
    bool silent = false; ///< Connections stay open, but nothing is run or sent until the fault ends.
    std::chrono::milliseconds delay{0}; ///< Delay before each call runs.
    std::int64_t loseAnswers = 0; ///< Number of next changes that are applied but whose connection closes unanswered.
};

/// In-memory stand-in for the platform's store that serves etcd's v3 JSON gateway over HTTP/1.1. Uses no locks, so all
/// work must run on one thread. Paths: /v3/kv/{range,put,deleterange,txn,compaction},
/// /v3/lease/{grant,keepalive,revoke}, /v3/watch, /standin/control, /standin/stats.
class StoreStandin : public std::enable_shared_from_this<StoreStandin>
{
public:
    StoreStandin(const net::Executor &executor, StoreStandinOptions options = {});

    /// Serves @p endpoint. Throws boost::system::system_error if the address is in use.
    void listen(const net::TcpEndpoint &endpoint);
    void stop();

    RevisionStore &data();
    const StoreCalls &calls() const;
    const StoreFaults &faults() const;
    void setFaults(const StoreFaults &faults);

    /// Wakes the watches after a change to data() that did not come through a request.
    void notifyWatches();

private:
    using Call = net::awaitable<net::HttpResponse> (StoreStandin::*)(boost::json::object body);
    struct Route;

    net::awaitable<net::HttpResponse> handle(net::HttpRequest request);
    net::awaitable<net::HttpResponse> range(boost::json::object body);
    net::awaitable<net::HttpResponse> put(boost::json::object body);
    net::awaitable<net::HttpResponse> deleteRange(boost::json::object body);
    net::awaitable<net::HttpResponse> transact(boost::json::object body);
    net::awaitable<net::HttpResponse> compact(boost::json::object body);
    net::awaitable<net::HttpResponse> grantLease(boost::json::object body);
    net::awaitable<net::HttpResponse> keepLeaseAlive(boost::json::object body);
    net::awaitable<net::HttpResponse> revokeLease(boost::json::object body);
    net::awaitable<net::HttpResponse> watch(boost::json::object body);
    net::awaitable<net::HttpResponse> control(boost::json::object body);
    net::awaitable<net::HttpResponse> stats(boost::json::object body);

    net::awaitable<void> streamWatch(WatchRequest request, net::HttpStreamWriter &writer);
    net::awaitable<void> expireLeases();
    net::awaitable<void> waitForWake(core::Duration limit);
    net::awaitable<void> applyFaults();
    std::vector<OperationResult> applyChange(const std::vector<Operation> &operations);
    void loseAnswerIfFaultActive();
    void checkPutOperations(const std::vector<Operation> &operations) const;

    net::Executor executor;
    StoreStandinOptions options;
    RevisionStore store;
    StoreCalls counts;
    StoreFaults activeFaults;
    std::shared_ptr<net::HttpServer> server;
    std::set<boost::asio::steady_timer *> wakeTimers; ///< Cancelled when the data or the faults change.
    bool stopped = false;
};

}
