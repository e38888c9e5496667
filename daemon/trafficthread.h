#pragma once

#include "daemon/callerfrontend.h"
#include "daemon/homeclient.h"
#include "daemon/homeregistry.h"
#include "daemon/statementrouter.h"
#include "net/httpserver.h"
#include "net/peerclient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace endiveshore::daemon {

struct TrafficOptions
{
    std::string memberId;
    std::string dataCentre;
    net::TcpEndpoint listen;
    std::vector<std::string> sessionSecrets;
    bool readFromReplicas = true;
    int threads = 1;
};

/// Functions of the daemon that the traffic threads depend on. They are called on traffic threads.
struct TrafficCallbacks
{
    HomeRegistry::HomeCheck homeCheck;
    std::function<net::awaitable<void>(std::string service, std::string workspace, core::TimePoint deadline)> admit;
    std::function<bool()> isDraining;
    std::function<void(const FinishedRequest &request)> finished;
    SlotQueue::WaitObserver queueWait;
    StatementRouter::DecisionSink routeDecision;
    HomeRegistry::DecisionSink homeDecision;
    HomeRegistry::ReleaseSink homeReleased;
    std::function<void(const net::TcpEndpoint &endpoint)> peerRefused;
};

/// One thread with an event loop that serves callers and owns the homes of a part of the servers.
class TrafficThread
{
public:
    TrafficThread(TrafficOptions options, TrafficCallbacks callbacks, std::size_t index, class TrafficPool &pool);
    ~TrafficThread();

    void start();
    void stop();
    net::Executor executor();
    void setView(std::shared_ptr<const FleetView> view);
    HomeRegistry &homes();

    /// Sends a request to another daemon over this thread's peer connections. Must be called on this thread. Throws
    /// core::Error.
    net::awaitable<boost::json::object>
    exchangeWithPeer(std::string memberId, std::string path, boost::json::object request);

    /// Runs a call of another daemon at a home on this daemon, or forwards the call once if the home has moved.
    net::awaitable<StatementAnswer> executeForPeer(StatementCall call);
    net::awaitable<StatementAnswer> transactForPeer(TransactionStep step, StatementCall call);
    /// Rolls back the transaction of @p call, whose begin could not be answered. Without the rollback it would keep its
    /// place and its locks until the idle timeout, as nobody knows its id. Must be called on this thread.
    void abandonTransaction(StatementCall call);
    net::HttpServer &callerServer();

private:
    net::awaitable<StatementAnswer> executeLocally(StatementCall call);
    net::awaitable<StatementAnswer> transactLocally(TransactionStep step, StatementCall call);

    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::shared_ptr<const FleetView> view;
    TrafficPool &pool;
    TrafficOptions options;
    HomeRegistry registry;
    net::PeerClient peers;
    HomeClient homeClient;
    StatementRouter router;
    CallerFrontend frontend;
    std::shared_ptr<net::HttpServer> server;
    std::thread thread;
};

/// All traffic threads of a daemon.
class TrafficPool
{
public:
    TrafficPool(TrafficOptions options, TrafficCallbacks callbacks);

    /// Publishes a view to all threads.
    void publish(std::shared_ptr<const FleetView> view);

    /// Returns the thread that owns the queue of a server.
    TrafficThread &owner(std::string_view serverKey);

    /// Returns the thread that runs @p call: the owner of the transaction's server, or else of the named server.
    TrafficThread &threadFor(const StatementCall &call);

    /// Runs a call of another daemon at one of this daemon's homes. May be awaited on any executor.
    net::awaitable<StatementAnswer> execute(StatementCall call);
    net::awaitable<StatementAnswer> transact(TransactionStep step, StatementCall call);

    /// Number of running calls and open transactions on all threads.
    net::awaitable<std::size_t> activeOperations();

    /// Number of caller requests in progress.
    std::size_t activeRequests();

    /// Returns the threads in the order of their indexes.
    std::vector<TrafficThread *> allThreads();

    void start();
    /// Stops accepting caller connections; open connections end after the request in progress.
    void stopAccepting();
    void stop();

private:
    std::vector<std::unique_ptr<TrafficThread>> threads;
};

}
