#include "daemon/fleetviewbuilder.h"

#include "daemon/statementrouter.h"

#include <algorithm>

namespace endiveshore::daemon {

namespace {

void addServers(FleetView &view, const FleetState &state)
{
    for (const auto &[name, service] : state.catalogue->services) {
        for (const document::Database &database : service->databases) {
            const std::string group = groupKey(name, database.name);
            GroupView &groupView = view.groups[group];
            // Until a failover is known, the initial primary holds term 1.
            groupView = {.term = 1, .primaryServer = database.initialPrimary};
            const auto primary = state.primaries.find(group);
            if (primary != state.primaries.end() && primary->second.term > groupView.term) {
                groupView = primary->second;
            }
            for (const document::BackendServer &server : database.servers) {
                ServerView serverView;
                serverView.service = name;
                serverView.database = database.name;
                serverView.dataCentre = server.dataCentre;
                serverView.endpoint = net::parseEndpoint(server.address);
                serverView.slots = database.slots;
                serverView.connectionLimit = database.connectionLimit;
                serverView.leaving = state.leavingServers.contains(server.address);
                view.servers.emplace(serverKey(name, server.id), std::move(serverView));
            }
        }
    }
}

void addHomes(FleetView &view, const FleetState &state, membership::HomeLease &lease, core::TimePoint now)
{
    const std::vector<membership::HomeRegion> regions = homeRegions(*state.catalogue);
    const membership::HomeMap homes(state.members, regions, state.draining);
    // Another member may have been the home before this daemon started. The configuration can arrive before the first
    // answer of a member, so knowing no member yet is no proof that there is none.
    const bool othersKnown = state.expectsMembers || state.members.size() > 1;
    for (const auto &[key, server] : view.servers) {
        const std::string home = homes.homeOf({.id = key, .dataCentre = server.dataCentre});
        lease.assign(now, key, home, othersKnown);
        if (home.empty()) {
            continue;
        }
        HomeView homeView;
        homeView.member = home;
        homeView.own = home == state.selfId;
        homeView.actsFrom = lease.actsFrom(key);
        const auto endpoint = view.members.find(home);
        if (endpoint != view.members.end()) {
            homeView.peerEndpoint = endpoint->second;
        }
        view.homes.emplace(key, std::move(homeView));
    }
}

}

std::vector<membership::HomeRegion> homeRegions(const Catalogue &catalogue)
{
    std::vector<membership::HomeRegion> regions;
    for (const auto &[name, service] : catalogue.services) {
        for (const document::Region &region : service->regions) {
            auto merged
                = std::find_if(regions.begin(), regions.end(), [&region](const membership::HomeRegion &candidate) {
                      return candidate.name == region.name;
                  });
            if (merged == regions.end()) {
                regions.push_back({.name = region.name, .dataCentres = {}});
                merged = std::prev(regions.end());
            }
            for (const std::string &dataCentre : region.dataCentres) {
                if (std::find(merged->dataCentres.begin(), merged->dataCentres.end(), dataCentre)
                    == merged->dataCentres.end()) {
                    merged->dataCentres.push_back(dataCentre);
                }
            }
        }
    }
    return regions;
}

std::shared_ptr<const FleetView>
buildFleetView(const FleetState &state, membership::HomeLease &lease, core::TimePoint now)
{
    auto view = std::make_shared<FleetView>();
    view->catalogue = state.catalogue;
    view->ready = state.catalogue != nullptr;
    view->isolated = state.isolated;
    view->homeEpoch = state.homeEpoch;
    view->seesMajority = state.seesMajority;
    if (!view->ready) {
        return view;
    }
    for (const membership::Member &member : state.members) {
        if (member.state != membership::MemberState::Left) {
            view->knownMembers.push_back(member.id);
        }
        const std::optional<net::TcpEndpoint> endpoint = net::tryParseEndpoint(member.address);
        const bool isLive
            = member.state == membership::MemberState::Alive || member.state == membership::MemberState::Suspect;
        if (isLive && endpoint) {
            view->members.emplace(member.id, *endpoint);
            if (!state.draining.contains(member.id)) {
                view->servingMembers.push_back(member.id);
            }
        }
    }
    addServers(*view, state);
    addHomes(*view, state, lease, now);
    return view;
}

}
