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

/// Calls received, without the stand-in's own paths. Changes of leases count as writes.
struct StoreCalls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t openWatches = 0;

    std::uint64_t total() const
    {
        return this->reads + this->writes + this->watches;
    }
};

/// Faults of the store. POST /standin/control sets the members that its body names.
struct StoreFaults
{
    bool down = false; ///< Closes each connection without running the call and ends the watches.
    bool silent = false; ///< Connections stay open, but nothing is run or sent until the fault ends.
    std::chrono::milliseconds delay{0}; ///< Before each call runs.
    std::int64_t loseAnswers = 0; ///< Applies this many changes, then closes without an answer.
};

/// Stand-in of the platform's store: etcd's v3 JSON gateway over HTTP/1.1, kept in memory. Runs on one executor without
/// locks. Paths: /v3/kv/{range,put,deleterange,txn,compaction}, /v3/lease/{grant,keepalive,revoke}, /v3/watch,
/// /standin/control, /standin/stats.
class StoreStandin : public std::enable_shared_from_this<StoreStandin>
{
public:
    StoreStandin(const net::Executor &executor, StoreStandinOptions options = {});

    /// Throws boost::system::system_error if the address is taken.
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
    std::set<boost::asio::steady_timer *> wakeTimers; ///< Woken by changes of the data or the faults.
    bool stopped = false;
};

}
