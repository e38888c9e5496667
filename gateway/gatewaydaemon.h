#pragma once

#include "daemon/configservice.h"
#include "daemon/gossipservice.h"
#include "gateway/daemonlease.h"
#include "gateway/daemonreport.h"
#include "gateway/metadatamirror.h"
#include "gateway/metadatasource.h"
#include "gateway/primarysearch.h"
#include "gateway/promotionduty.h"
#include "gateway/trafficcore.h"
#include "net/httpserver.h"

#include <boost/asio/signal_set.hpp>

namespace endiveshore::gateway {

/// Platform-specific parts of the daemon.
struct PlatformAdapter
{
    Deployment deployment;
    MetadataFormat format;
    std::string readinessPath;
    StatusReader readStatus;
    ServerLinkFactory links;
    std::shared_ptr<const CallerProtocol> callerProtocol;
    /// Reads the settings anew. Throws core::Error(InvalidSetting).
    std::function<Deployment()> reload;
    /// Creates the client of the metadata store. @p endpoint returns the current address of the store, which may change
    /// while the daemon runs.
    std::function<std::shared_ptr<MetadataStore>(net::Executor executor, std::function<net::TcpEndpoint()> endpoint)>
        openStore;
    /// Creates the client of the promotion service. @p endpoint returns the current address of the service.
    std::function<std::shared_ptr<PromotionService>(net::Executor executor, std::function<net::TcpEndpoint()> endpoint)>
        openPromotions;
    std::string metricsAddress; ///< Address of the metrics endpoint; empty for none.
};

/// Daemon that serves caller sessions on a platform. Runs a control thread and one traffic thread.
class GatewayDaemon
{
public:
    explicit GatewayDaemon(PlatformAdapter adapter, telemetry::LogOptions logOptions);

    /// Runs until SIGTERM or SIGINT; returns the exit code.
    int run();

private:
    void startMembership();
    void startReadiness();
    void startStore();
    void startMetadata();
    void startDuty();
    net::awaitable<void> tickLoop();
    net::awaitable<void> reportLoop();
    net::awaitable<void> signalLoop();
    net::awaitable<void> watchSettings();
    net::awaitable<void> shutDown();
    net::awaitable<boost::json::object> exchangeMetadata(std::string daemon, boost::json::object request);
    net::HttpResponse answerReadiness(const net::HttpRequest &request) const;
    void receiveReport(std::string_view payload);
    void applyLeaving(const DaemonReport &report);
    void sendReport();
    void sendToDataCentres();
    void sendTo(const std::vector<const PeerDaemon *> &receivers, const DaemonReport &report);
    void forwardReport(const DaemonReport &report);
    DaemonReport ownReport() const;
    DaemonReport dataCentreReport() const;
    /// Daemon that exchanges reports with other data centres for @p dataCentre; empty if no daemon qualifies.
    std::string delegateOf(std::string_view dataCentre) const;
    std::vector<const PeerDaemon *> localPeers() const;
    std::vector<const PeerDaemon *> otherDelegates() const;
    void applyMetadata(const confsync::EntryStore &entries);
    void applyOwnEntry(const OwnEntry &entry);
    void applyServers();
    /// Returns true if the promotion was not known yet.
    bool applyPromotion(const std::string &service, const std::string &server, std::uint64_t fence);
    void scheduleView();
    void publishView();
    void reloadSettings();
    void updateShares();
    bool isReady() const;
    bool mayOrderPromotions() const;
    /// Time since the store last answered this daemon.
    core::Milliseconds storeAge() const;
    /// Time of the store's last answer to any daemon.
    core::TimePoint fleetStoreContact() const;
    bool isRelay() const;
    std::vector<std::string> metadataPeers() const;
    std::vector<std::string> configuredSeeds() const;
    void addHomes(GatewayView &view) const;

    /// Value of a daemon's registration key in the metadata store.
    struct Registration
    {
        std::string address;
        std::string dataCentre;
    };

    PlatformAdapter adapter;
    telemetry::DecisionLog log;
    telemetry::Metrics metrics;
    boost::asio::io_context context{1};
    TrafficCore traffic;
    std::shared_ptr<MetadataStore> store;
    std::shared_ptr<MetadataSource> source;
    std::shared_ptr<daemon::ConfigurationService> metadata;
    std::shared_ptr<const confsync::EntryStore> metadataSnapshot; ///< Entries at the last applied revision.
    std::shared_ptr<DaemonLease> lease;
    std::shared_ptr<PromotionDuty> duty;
    std::shared_ptr<PrimarySearch> primarySearch;
    std::shared_ptr<daemon::GossipService> gossip;
    std::shared_ptr<net::UdpSocket> reports;
    std::shared_ptr<net::HttpServer> readiness;
    net::PeerClient peers;
    MetadataMirror mirror;
    failover::PrimaryTracker primaries;
    limits::DemandShares shares;
    limits::Demand demand; ///< Moving average of this daemon's demand, in operations per second by workspace.
    /// Time since the store's last answer, by reporter (daemon or data centre).
    std::map<std::string, core::Milliseconds, std::less<>> storeAges;
    std::map<std::string, core::TimePoint, std::less<>> reportedAt;
    std::set<std::string, std::less<>> leavingDaemons;
    /// Daemons with a registration key in the metadata store.
    std::map<std::string, Registration, std::less<>> registered;
    std::map<std::string, double, std::less<>> processorShares; ///< Parts of one core, by daemon, as last registered.
    /// Latest reports of the daemons of the own data centre.
    std::map<std::string, DaemonReport, std::less<>> localReports;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    std::optional<core::TimePoint> renewedAt; ///< Time of the last answer to a lease renewal.
    bool viewPending = false;
    bool leaving = false;
};

}
