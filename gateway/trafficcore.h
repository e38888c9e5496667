#pragma once

#include "gateway/callersession.h"
#include "net/peerserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>
#include <thread>

namespace endiveshore::gateway {

struct TrafficCoreOptions
{
    Deployment deployment;
    ServerLinkFactory links;
    const CallerProtocol *protocol = nullptr;
    telemetry::DecisionLog *log = nullptr;
    telemetry::Metrics *metrics = nullptr;
    const RegionMeter *meter = nullptr; ///< Counts the exchanges with daemons of other regions; null for none.
    /// The server known as the primary of a service reported that it is not the primary. Called on the traffic
    /// thread.
    std::function<void(std::string service, std::string server)> onNotPrimary;
};

/// What the control thread reports to other daemons.
struct TrafficReport
{
    /// Demand since the last report, in operations by workspace.
    std::map<std::string, std::uint64_t, std::less<>> demand;
    /// The part of `demand` above the lowest rank in use, by rank.
    RankedCounts urgentDemand;
    /// Operations that the rate pools of this daemon were asked for since the last report, by workspace.
    std::map<std::string, std::uint64_t, std::less<>> poolRequests;
    /// Newest proofs taken by this daemon since the last report, by service.
    std::map<std::string, TakenProof, std::less<>> proofs;
    /// Loads of the servers whose home is this daemon; empty unless reads are placed by load.
    routing::ServerLoads serverLoads;
};

/// Path on which daemons exchange the entries of the metadata store.
inline constexpr std::string_view MetadataPath = "/peer/metadata";
/// Member of a request to MetadataPath: version of the sender's configuration.
inline constexpr std::string_view ConfigurationVersionMember = "configuration_version";
/// Member of an answer: version of the configuration that the answering daemon has in force.
inline constexpr std::string_view VersionInForceMember = "version_in_force";
/// Member of the answer: text of a newer configuration that is in force but missing in the store.
inline constexpr std::string_view ConfigurationMember = "configuration";
/// Member of the answer: ids of servers that left lately; only after the store came back from an older copy.
inline constexpr std::string_view DepartedServersMember = "departed_servers";

/// The traffic thread: caller sessions, server connections, and units of work of other daemons. The public functions
/// may be called from the control thread.
class TrafficCore
{
public:
    explicit TrafficCore(TrafficCoreOptions options);
    ~TrafficCore();

    /// Binds the listening sockets and starts the thread. Throws boost::system::system_error if an address is taken.
    void start();

    /// Closes all connections and ends the thread.
    void stop();

    void publish(std::shared_ptr<const GatewayView> view);
    void publishShares(std::shared_ptr<const DaemonShares> shares);

    /// Runs WorkRouter::runHedged() on the traffic thread. May be awaited on any executor.
    net::awaitable<pooling::UnitResult> runHedged(pooling::WorkUnit unit);

    net::awaitable<TrafficReport> takeReport();

    /// Hands proofs of other daemons to the reads of this one.
    void recordProofs(std::map<std::string, TakenProof, std::less<>> proofs);

    /// Hands the loads that the homes of all servers report to the reads of this daemon.
    void recordServerLoads(routing::ServerLoads loads);

    /// Stops accepting sessions; open sessions continue.
    void stopAccepting();

    /// Closes a fraction of 1 / @p parts of the sessions, each as soon as it is idle.
    void closeIdleSessions(unsigned parts);

    /// Aborts the open transactions and closes all sessions, see CallerSession::abortTransaction().
    void abortTransactions();

    /// Number of open sessions, running units of other daemons, and open transactions on this daemon's pools.
    net::awaitable<std::size_t> openWork();

private:
    net::awaitable<void> acceptLoop();
    void refuseSession(boost::asio::ip::tcp::socket &socket) const;
    net::awaitable<void> tickLoop();
    net::awaitable<void> logPoolsLoop();
    /// Logs how many units of each rank the queues of this daemon's servers refused since the last call.
    void logRankRefusals();
    net::awaitable<net::HttpResponse> servePeer(net::HttpRequest request);
    net::awaitable<net::HttpResponse> servePath(const net::HttpRequest &request);
    boost::json::object answerMetadata(const net::HttpRequest &request) const;
    void addUnstored(const boost::json::object &request, boost::json::object &answer) const;
    void updateRates();

    TrafficCoreOptions options;
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    WorkRouter router;
    OperationRunner runner;
    RateClient rates;
    std::shared_ptr<limits::CallerTotals> callerTotals;
    std::shared_ptr<SessionContext> sessionContext;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    std::shared_ptr<const DaemonShares> shares = std::make_shared<DaemonShares>();
    std::optional<boost::asio::ip::tcp::acceptor> acceptor;
    std::shared_ptr<net::PeerServer> peerServer;
    std::set<std::shared_ptr<CallerSession>> sessions;
    bool closingSessions = false;
    std::thread thread;
};

}
