#include "confsync/relays.h"
#include "core/json.h"
#include "daemon/daemon.h"
#include "daemon/daemondetail.h"
#include "daemon/statementrouter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Control loop of the daemon: handles changes of members, homes, primaries and configuration, and publishes the view.
namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds TickInterval{50};
constexpr core::Milliseconds VmListInterval{1'000};
constexpr core::Milliseconds VmListIdleInterval{60'000};

}

void Daemon::scheduleTick()
{
    this->tickTimer.expires_after(TickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || this->stopped) {
            return;
        }
        this->tick();
        this->scheduleTick();
    });
}

void Daemon::tick()
{
    const core::TimePoint now = core::Clock::now();
    if (this->lease.heartbeat(now)) {
        // The new epoch is published before the lease is renewed below, so that no traffic thread uses its old homes.
        this->state.homeEpoch = ++this->homeEpoch;
        this->log.line("placement", telemetry::LogLevel::Warning)
            .field("decision", "drop_all_homes")
            .field("reason", "the control thread was paused");
        this->scheduleViewUpdate();
    }
    if (this->lease.confirm(now, this->gossip->membership().lastConfirmation())) {
        this->log.line("placement").field("decision", "resume_homes").field("reason", "another daemon has answered");
        this->scheduleViewUpdate();
    }
    this->leaseValidUntil = this->lease.validUntil().time_since_epoch().count();
    this->updateIsolation(now);
    this->updateMetrics(now);
}

void Daemon::scheduleViewUpdate()
{
    if (this->viewUpdateScheduled) {
        return;
    }
    // All changes made in one iteration of the event loop are published in one view.
    this->viewUpdateScheduled = true;
    asio::post(this->control, [this] {
        this->viewUpdateScheduled = false;
        this->publishView();
    });
}

void Daemon::publishView()
{
    this->state.members = this->gossip->membership().members();
    std::vector<std::string> memberIds;
    for (const membership::Member &member : this->state.members) {
        memberIds.push_back(member.id);
    }
    this->freshness.setMembers(memberIds);
    this->updateRoles();
    this->view = buildFleetView(this->state, this->lease, core::Clock::now());
    this->traffic->publish(this->view);
    this->admission->setView(this->view);
    this->updateMonitoredGroups();
}

void Daemon::onPrimaryChanged(const std::string &group, std::int64_t term, const std::string &server, bool mustAnnounce)
{
    GroupView &known = this->state.primaries[group];
    if (static_cast<std::uint64_t>(term) > known.term) {
        known = {.term = static_cast<std::uint64_t>(term), .primaryServer = server};
        this->log.line("placement")
            .field("database", group)
            .field("decision", "primary")
            .field("server", server)
            .field("term", term)
            .field("reason", mustAnnounce ? "failover decision of this daemon" : "announced");
        this->scheduleViewUpdate();
    }
    if (mustAnnounce) {
        membership::StateValue value;
        value.number = term;
        value.text = server;
        value.version = term;
        this->gossip->setState(std::string(PrimaryStatePrefix) + group, value);
    }
}

net::awaitable<void> Daemon::releaseServer(std::string serverKey)
{
    const auto home = this->view->homes.find(serverKey);
    if (home == this->view->homes.end() || home->second.own) {
        co_return;
    }
    const std::string newHome = home->second.member;
    json::object request;
    request["server"] = serverKey;
    request["member"] = this->settings.id;
    try {
        co_await this->exchangeWithPeer(newHome, "/peer/release", std::move(request));
        this->log.line("placement")
            .field("server", serverKey)
            .field("decision", "released")
            .field("reason", "statements and transactions have ended")
            .field("to", newHome);
    } catch (const core::Error &error) {
        // Without the release, the new home waits for the full handover time.
        this->log.line("placement", telemetry::LogLevel::Warning)
            .field("server", serverKey)
            .field("decision", "release_lost")
            .field("reason", error.message);
    }
}

void Daemon::updateMonitoredGroups()
{
    if (!this->view->ready) {
        return;
    }
    std::map<std::string, std::string> dataCentres;
    for (const membership::Member &member : this->state.members) {
        dataCentres[member.id] = member.dataCentre;
    }
    std::set<std::string> monitored;
    for (const auto &[name, service] : this->view->catalogue->services) {
        for (const document::Database &database : service->databases) {
            failover::GroupDescription group{
                .database = groupKey(name, database.name), .servers = {}, .initialPrimary = database.initialPrimary};
            std::set<std::string> own;
            std::set<std::string> leavingServers;
            std::map<std::string, failover::PeerHome> others;
            for (const document::BackendServer &server : database.servers) {
                group.servers.push_back({.id = server.id, .address = server.address, .dataCentre = server.dataCentre});
                if (this->state.leavingServers.contains(server.address)) {
                    leavingServers.insert(server.id);
                }
                const auto home = this->view->homes.find(serverKey(name, server.id));
                if (home == this->view->homes.end()) {
                    continue;
                }
                if (home->second.own) {
                    own.insert(server.id);
                    continue;
                }
                failover::PeerHome &peer = others[home->second.member];
                peer.daemon = home->second.member;
                peer.dataCentre = dataCentres[home->second.member];
                peer.servers.push_back(server.id);
            }
            if (own.empty()) {
                continue;
            }
            std::vector<failover::PeerHome> peerHomes;
            for (auto &[member, peer] : others) {
                peerHomes.push_back(std::move(peer));
            }
            monitored.insert(group.database);
            this->failover->setGroup(group, std::move(own), std::move(peerHomes));
            this->failover->setLeaving(group.database, std::move(leavingServers));
        }
    }
    for (const std::string &group : this->monitoredGroups) {
        if (!monitored.contains(group)) {
            this->failover->removeGroup(group);
        }
    }
    this->monitoredGroups = std::move(monitored);
}

void Daemon::rebuildCatalogue(const confsync::EntryStore &entries)
{
    std::vector<CatalogueEntry> live;
    entries.visit(ConfigurationPrefix, [&live](std::string_view key, const confsync::Entry &entry) {
        live.push_back({.key = key, .value = entry.value, .version = static_cast<std::uint64_t>(entry.version)});
    });
    const auto revision = static_cast<std::uint64_t>(entries.revision());
    this->state.catalogue = this->catalogueBuilder.build(revision, live);
    this->gossip->setConfigRevision(revision, this->relay);
    this->metrics.configurationRevision().set(static_cast<double>(revision));
    this->log.line("configuration")
        .field("revision", revision)
        .field("services", this->state.catalogue->services.size());
    this->scheduleViewUpdate();
}

void Daemon::onMember(const membership::MemberEvent &event)
{
    this->log.line("membership")
        .field("member", event.member.id)
        .field("state", membership::memberStateName(event.member.state))
        .field("incarnation", event.member.incarnation);
    if (event.kind == membership::MemberEventKind::Left) {
        this->lease.memberLeft(event.member.id);
    }
    if (event.kind == membership::MemberEventKind::Joined || event.kind == membership::MemberEventKind::AliveAgain) {
        this->lease.memberReturned(event.member.id);
    }
    this->scheduleViewUpdate();
}

void Daemon::onState(const membership::StateUpdate &update)
{
    const std::string_view key = update.key;
    if (key.starts_with(PrimaryStatePrefix)) {
        const std::string group(key.substr(PrimaryStatePrefix.size()));
        this->failover->onPrimaryAnnounced(group, update.value.number, update.value.text);
        this->onPrimaryChanged(group, update.value.number, update.value.text, false);
    } else if (key.starts_with(DrainingStatePrefix)) {
        const std::string member(key.substr(DrainingStatePrefix.size()));
        if (update.value.number == 0) {
            this->state.draining.erase(member);
        } else {
            this->state.draining.insert(member);
        }
    } else if (key.starts_with(LeavingServerStatePrefix)) {
        const std::string address(key.substr(LeavingServerStatePrefix.size()));
        if (update.value.number == 0) {
            this->state.leavingServers.erase(address);
        } else {
            this->state.leavingServers.insert(address);
        }
    }
    this->scheduleViewUpdate();
}

void Daemon::updateIsolation(core::TimePoint now)
{
    if (this->configuration->lastStoreConfirmation() != core::TimePoint::min()) {
        this->freshness.storeConfirmed(this->configuration->lastStoreConfirmation());
    }
    const bool seesMajority = this->gossip->membership().seesMajority(now);
    if (seesMajority) {
        this->freshness.majorityConfirmed(now);
    }
    if (seesMajority != this->state.seesMajority) {
        this->state.seesMajority = seesMajority;
        this->scheduleViewUpdate();
    }
    const bool isolated = this->freshness.isolated(now);
    if (isolated == this->state.isolated) {
        return;
    }
    this->state.isolated = isolated;
    this->log.line("isolation", isolated ? telemetry::LogLevel::Warning : telemetry::LogLevel::Info)
        .field("isolated", isolated)
        .field("reason",
               isolated ? "neither the store nor a majority of the members was reached in time"
                        : "contact with the store or a majority of the members restored");
    this->scheduleViewUpdate();
}

net::awaitable<void> Daemon::pollVmList()
{
    asio::steady_timer timer(this->control);
    while (!this->stopped) {
        try {
            const store::VmList list = co_await this->vmList->fetch();
            this->applyVmList(list);
        } catch (const core::Error &error) {
            this->log.line("vm_list", telemetry::LogLevel::Warning).field("error", error.message);
        }
        // Relays poll often because they announce leaving servers; other daemons only need current seed addresses.
        const bool frequent = this->relay || !this->gossip->membership().hasJoined();
        timer.expires_after(frequent ? VmListInterval : VmListIdleInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void Daemon::applyVmList(const store::VmList &list)
{
    std::vector<std::string> daemons;
    for (const store::Vm &vm : list.vms) {
        if (vm.kind == store::VmKind::Daemon) {
            if (!vm.leaving) {
                daemons.push_back(vm.address);
            }
            continue;
        }
        const bool known = this->state.leavingServers.contains(vm.address);
        if (!this->relay || vm.leaving == known) {
            continue;
        }
        membership::StateValue value;
        value.number = vm.leaving ? 1 : 0;
        value.version = list.revision;
        const std::string key = std::string(LeavingServerStatePrefix) + vm.address;
        this->gossip->setState(key, value);
        this->onState({.key = key, .value = value});
        this->log.line("placement")
            .field("server", vm.address)
            .field("decision", vm.leaving ? "leave" : "return")
            .field("reason", "VM list");
    }
    if (!daemons.empty()) {
        this->gossip->setSeeds(std::move(daemons));
    }
}

void Daemon::updateRoles()
{
    // The roles are computed once per change of the membership, because they are read many times a second.
    std::vector<std::string> relayCandidates;
    std::vector<std::string> otherDataCentres;
    this->livePeers.clear();
    for (const membership::Member &member : this->state.members) {
        if (!isLive(member)) {
            continue;
        }
        const bool sameDataCentre = member.dataCentre == this->settings.dataCentre;
        if (sameDataCentre && !this->state.draining.contains(member.id)) {
            relayCandidates.push_back(member.id);
        }
        if (member.id != this->settings.id) {
            (sameDataCentre ? this->livePeers : otherDataCentres).push_back(member.id);
        }
    }
    this->livePeers.insert(this->livePeers.end(), otherDataCentres.begin(), otherDataCentres.end());
    this->relay = !this->settings.relayConfiguration
        || confsync::isRelay(this->settings.id, this->settings.dataCentre, relayCandidates);
}

}
