#pragma once

#include "confsync/freshnesstracker.h"
#include "daemon/admission.h"
#include "daemon/cataloguebuilder.h"
#include "daemon/configservice.h"
#include "daemon/daemonsettings.h"
#include "daemon/failoverservice.h"
#include "daemon/fleetviewbuilder.h"
#include "daemon/gossipservice.h"
#include "daemon/peerfrontend.h"
#include "daemon/storeclientsource.h"
#include "daemon/trafficthread.h"
#include "net/httpserver.h"
#include "net/peerclient.h"
#include "store/vmlistclient.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace endiveshore::daemon {

/// One daemon process: the control thread with its services, and the traffic threads. The control thread decides on
/// members, homes, primaries and configuration, owns this state, and publishes it to the traffic threads as immutable
/// fleet views.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();

    /// Runs until a stop signal has been handled; returns the exit code. Throws boost::system::system_error if a listen
    /// address is already in use.
    int run();

private:
    TrafficCallbacks trafficCallbacks();
    void createServices();
    void createConfiguration();
    void createGossip();
    void createFailover();
    void createAdmission();
    void registerPeerHandlers();

    // Control loop.
    void scheduleTick();
    void tick();
    void scheduleViewUpdate();
    void publishView();
    void rebuildCatalogue(const confsync::EntryStore &entries);
    void onMember(const membership::MemberEvent &event);
    void onState(const membership::StateUpdate &update);
    void onPrimaryChanged(const std::string &group, std::int64_t term, const std::string &server, bool mustAnnounce);
    void updateMonitoredGroups();
    net::awaitable<void> releaseServer(std::string serverKey);
    void updateIsolation(core::TimePoint now);
    net::awaitable<void> pollVmList();
    void applyVmList(const store::VmList &list);

    // Roles derived from the membership.
    void updateRoles();
    net::awaitable<boost::json::object>
    exchangeWithPeer(std::string memberId, std::string path, boost::json::object request);

    // Metrics that are sampled at an interval.
    void onGroupStatus(const GroupStatus &status);
    void updateMetrics(core::TimePoint now);
    void updateHomeMetrics();

    // Operators and shutdown.
    net::awaitable<net::HttpResponse> handleAdmin(net::HttpRequest request);
    boost::json::object status() const;
    net::awaitable<void> drain();

    DaemonSettings settings;
    boost::asio::io_context control{1};
    telemetry::DecisionLog log;
    telemetry::Metrics metrics;
    FleetState state;
    membership::HomeLease lease;
    CatalogueBuilder catalogueBuilder;
    confsync::FreshnessTracker freshness;
    std::shared_ptr<const FleetView> view;
    std::unique_ptr<TrafficPool> traffic;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<PeerFrontend> peerFrontend;
    std::unique_ptr<net::PeerClient> peers;
    std::shared_ptr<store::StoreClient> store;
    std::unique_ptr<store::VmListClient> vmList;
    std::shared_ptr<ConfigurationService> configuration;
    std::shared_ptr<GossipService> gossip;
    std::unique_ptr<FailoverService> failover;
    std::set<std::string> monitoredGroups; ///< Database groups with at least one server whose home is this daemon.
    std::shared_ptr<net::HttpServer> admin;
    boost::asio::steady_timer tickTimer;
    boost::asio::signal_set signals;
    std::atomic<bool> drainStarted{false};
    std::atomic<std::uint64_t> homeEpoch{0};
    /// End of the home lease; read by the traffic threads before each statement.
    std::atomic<core::TimePoint::rep> leaseValidUntil{0};
    bool relay = false; ///< This daemon watches the store for its data centre.
    std::vector<std::string> livePeers; ///< Other live daemons, those in the own data centre first.
    std::map<std::string, core::TimePoint> suspectedSince; ///< Time since which the primary is suspected, by group.
    core::TimePoint nextMetrics;
    bool viewUpdateScheduled = false;
    bool stopped = false;
};

}
