#pragma once

#include "daemon/configservice.h"
#include "daemon/gossipservice.h"
#include "gateway/daemonlease.h"
#include "gateway/lostregistrations.h"
#include "gateway/metadatamirror.h"
#include "gateway/metadatasource.h"
#include "gateway/primarysearch.h"
#include "gateway/promotionduty.h"
#include "gateway/regionmeter.h"
#include "gateway/trafficcore.h"
#include "net/httpserver.h"
#include "reports/aggregatorchoice.h"
#include "reports/reportaggregator.h"
#include "reports/sentreports.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

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
    void startTerm(core::StorePoint election);
    net::awaitable<void> tickLoop();
    net::awaitable<void> reportLoop();
    net::awaitable<void> signalLoop();
    net::awaitable<void> watchSettings();
    net::awaitable<void> shutDown();
    net::awaitable<boost::json::object> exchangeMetadata(std::string daemon, boost::json::object request);
    net::HttpResponse answerReadiness(const net::HttpRequest &request) const;
    void receiveReport(const net::UdpEndpoint &sender, std::string_view payload);
    void applyReport(const net::UdpEndpoint &sender, const reports::DaemonReport &report);
    void applyDigest(const reports::FleetDigest &digest);
    /// Returns true if a promotion was not known yet.
    bool applyPromotions(const reports::Promotions &promotions);
    void recordStoreContact(const std::string &dataCentre, core::TimePoint contact);
    void announceRevision(const std::vector<std::string> &holders, std::int64_t revision);
    void setLeaving(const std::string &daemon, bool isLeaving);
    /// Replaces the leaving daemons of @p dataCentre.
    void applyLeaving(std::string_view dataCentre, const std::set<std::string, std::less<>> &leaving);
    /// Sends this daemon's report to the aggregators of its data centre and, as delegate, the sum to the others.
    void sendReports();
    /// Sends this daemon's report to all daemons of its data centre, for news that must not wait.
    void broadcastReport();
    void sendToDataCentres();
    void sendTo(const std::vector<const PeerDaemon *> &receivers, reports::DaemonReport report);
    /// Sends the sum of another data centre to the daemon that aggregates after the loss of this one.
    void forwardToDeputy(const reports::DaemonReport &sum);
    void sendDigest(const net::UdpEndpoint &receiver, std::string_view daemon);
    /// Sends a digest to all daemons of the data centre.
    void pushDigest();
    reports::DaemonReport ownReport() const;
    /// Fills in what depends on the receiver and on the time: the stamps and the age of the proofs.
    void seal(reports::DaemonReport &report, std::string_view receiver) const;
    session::ClockStamp stampOf(std::string_view daemon) const;
    void recordTakenProofs(const std::map<std::string, TakenProof, std::less<>> &proofs);
    /// Hands the proofs of a digest that was made after @p madeAfter to the traffic thread.
    void useProofs(const session::AgedProofs &proofs, core::BootTime madeAfter);
    reports::FleetDigest ownDigest() const;
    /// Adds the proofs of all data centres, with their age now, and the stamp of this moment.
    void addProofs(reports::FleetDigest &digest) const;
    /// Daemons of @p dataCentre that may aggregate its reports, in order of preference. The first is the delegate of
    /// the data centre, which exchanges sums with the delegates of other data centres.
    std::vector<std::string> aggregatorsOf(std::string_view dataCentre) const;
    bool isDelegate() const;
    std::vector<const PeerDaemon *> localPeers() const;
    std::vector<const PeerDaemon *> otherDelegates() const;
    void applyMetadata(const confsync::EntryStore &entries);
    /// Asks other daemons whether a newer configuration is in force than the store holds, which may have come back from
    /// an older copy. Until then, this daemon serves no sessions.
    net::awaitable<void> checkConfiguration();
    /// Null until the configuration is known and checked.
    std::shared_ptr<const Configuration> configurationInForce() const;
    void applyOwnEntry(const OwnEntry &entry);
    /// Records the era that the store or another daemon has stated.
    void recordEra(std::uint64_t era, std::string_view source);
    /// Removes registrations that were lost with an older copy of the store and not written again in time.
    void removeLostRegistrations();
    void applyServers();
    void applyEvacuation(const EvacuationChange &change);
    /// Publishes the stages of evacuations that have changed since the last view.
    void tickEvacuations();
    std::vector<std::string> followedPrefixes() const;
    /// Returns true if the promotion was not known yet.
    bool applyPromotion(const std::string &service, const std::string &server, std::uint64_t fence);
    void scheduleView();
    void publishView();
    void reloadSettings();
    void updateShares();
    /// Updates `reportedRanks` to the workspaces whose demand comes near their rate.
    void selectReportedRanks(core::TimePoint now);
    /// The entries of `reportedRanks` that all daemons have had the time to learn. Earlier, each daemon would count its
    /// own urgent demand only, and the shares of all would exceed the rate.
    limits::RankedDemand settledRanks(core::TimePoint now) const;
    /// Counts the registered daemons that divide the rates with this one.
    void updateLeaseHolders();
    bool isReady() const;
    bool mayOrderPromotions() const;
    /// Time since the store last answered this daemon.
    core::Milliseconds storeAge() const;
    /// Time of the store's last answer to any daemon.
    core::TimePoint fleetStoreContact() const;
    bool isRelay() const;
    /// Relays of the data centre by the reports that this daemon aggregates.
    std::vector<std::string> chosenRelays() const;
    std::vector<std::string> metadataPeers() const;
    std::vector<std::string> configuredSeeds() const;
    void addHomes(GatewayView &view) const;

    /// Digest that is sent to several daemons, which differ in the included report only.
    struct SharedDigest
    {
        reports::FleetDigest digest;
        std::map<std::string, std::uint64_t, std::less<>> includedSequences;
        core::TimePoint builtAt;
    };

    /// Value of a daemon's registration key in the metadata store.
    struct Registration
    {
        std::string address;
        std::string dataCentre;
    };

    PlatformAdapter adapter;
    telemetry::DecisionLog log;
    telemetry::Metrics metrics;
    RegionMeter meter{this->metrics};
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
    routing::EvacuationSchedule evacuations;
    bool evacuationChanged = false; ///< The entries that are being applied request or withdraw an evacuation.
    failover::PrimaryTracker primaries;
    limits::DemandShares shares;
    limits::Demand demand; ///< Moving average of this daemon's demand, in operations per second by workspace.
    limits::RankedDemand urgentDemand; ///< The part of `demand` above the lowest rank in use.
    limits::RankedDemand reportedRanks; ///< The entries of `urgentDemand` that other daemons need.
    /// Since when `reportedRanks` has an entry, by workspace.
    std::map<std::string, core::TimePoint, std::less<>> ranksReportedSince;
    limits::Demand poolRequests; ///< Moving average of the operations that its rate pools are asked for.
    routing::ServerLoads serverLoads; ///< Of the servers whose home is this daemon, as of `serverLoadsAt`.
    core::TimePoint serverLoadsAt;
    reports::SentReports sentReports;
    reports::ReportAggregator aggregator;
    reports::AggregatorChoice aggregatorChoice;
    SharedDigest sharedDigest;
    session::StampClock stampClock;
    /// Last stamp received from each daemon, to be sent back to it.
    std::map<std::string, session::ClockStamp, std::less<>> peerStamps;
    session::ProofBoard ownProofs; ///< Taken by this daemon.
    session::ProofBoard localProofs; ///< Taken by the daemons of the own data centre, including this one.
    session::ProofBoard remoteProofs; ///< Taken in other data centres.
    core::TimePoint digestAt; ///< Receipt of the last digest of another daemon.
    std::vector<std::string> relays; ///< Relays of the data centre as of the last digest.
    /// Time of the store's last answer to any daemon, by data centre.
    std::map<std::string, core::TimePoint, std::less<>> storeContacts;
    std::set<std::string, std::less<>> leavingDaemons;
    /// Daemons with a registration key in the metadata store.
    std::map<std::string, Registration, std::less<>> registered;
    LostRegistrations lostRegistrations;
    enum class ConfigurationCheck {
        NotStarted,
        Running,
        Done,
    };
    ConfigurationCheck configurationCheck = ConfigurationCheck::NotStarted;
    std::optional<std::uint64_t> storeEra; ///< Highest era of the store known; nothing before the first answer.
    std::map<std::string, double, std::less<>> processorShares; ///< Parts of one core, by daemon, as last registered.
    std::set<std::string, std::less<>> registeredDataCentres; ///< Data centres of other registered daemons.
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    std::optional<core::TimePoint> renewedAt; ///< Time of the last answer to a lease renewal.
    bool viewPending = false;
    boost::asio::steady_timer viewTimer{this->context};
    core::TimePoint viewPublishedAt;
    bool leaving = false;
};

}
