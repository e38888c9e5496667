#include "tools/fleetmodel.h"

#include "confsync/entrystore.h"
#include "core/hashing.h"
#include "daemon/cataloguebuilder.h"
#include "daemon/fleetviewbuilder.h"
#include "membership/gossipmember.h"

#include <chrono>
#include <cstdio>
#include <stdexcept>

#include <malloc.h>

namespace endiveshore::tools {

namespace {

namespace json = boost::json;

constexpr int DatabasesPerService = 100;
constexpr int ServersPerDatabase = 3;
constexpr int DataCentres = 7;

std::string dataCentreName(int index)
{
    return "dc-" + std::to_string(index % DataCentres);
}

std::string serviceEntry(int service, const FleetModelSize &size)
{
    json::array databases;
    for (int database = 0; database < DatabasesPerService; ++database) {
        json::array servers;
        for (int server = 0; server < ServersPerDatabase; ++server) {
            const int number = (service * DatabasesPerService + database) * ServersPerDatabase + server;
            servers.push_back(
                json::object{{"id", "db-" + std::to_string(database) + "-" + std::to_string(server)},
                             {"address",
                              "10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "."
                                  + std::to_string(number % 256) + ":5432"},
                             {"data_centre", dataCentreName(database + server)}});
        }
        databases.push_back(json::object{{"name", "db-" + std::to_string(database)},
                                         {"servers", std::move(servers)},
                                         {"slots", 5},
                                         {"connection_limit", 30},
                                         {"initial_primary", "db-" + std::to_string(database) + "-0"}});
    }
    json::array first;
    json::array second;
    for (int index = 0; index < DataCentres; ++index) {
        (index < DataCentres / 2 ? first : second).push_back(json::value(dataCentreName(index)));
    }
    json::array workspaces;
    const int services = std::max(1, size.databases / DatabasesPerService);
    for (int workspace = 0; workspace < size.workspaces / services; ++workspace) {
        workspaces.push_back(json::object{
            {"name", "workspace-" + std::to_string(workspace)}, {"rate_per_s", 50}, {"burst", 100}, {"weight", 1}});
    }
    const json::object document{
        {"service", "service-" + std::to_string(service)},
        {"regions",
         json::array{json::object{{"name", "one"}, {"data_centres", std::move(first)}},
                     json::object{{"name", "two"}, {"data_centres", std::move(second)}}}},
        {"databases", std::move(databases)},
        {"routes", json::array{json::object{{"name", "book"}, {"kind", "write"}}}},
        {"workspaces", std::move(workspaces)},
    };
    return json::serialize(json::object{{"operation_id", "operation"}, {"operator", "model"}, {"document", document}});
}

double heapMegabytes()
{
    return static_cast<double>(::mallinfo2().uordblks) / 1e6;
}

double millisecondsSince(core::TimePoint start)
{
    return std::chrono::duration<double, std::milli>(core::Clock::now() - start).count();
}

}

FleetModelSize parseFleetModelSize(const std::string &text)
{
    FleetModelSize size;
    if (std::sscanf(text.c_str(), "%d:%d:%d:%d", &size.daemons, &size.databases, &size.workspaces, &size.keys) != 4) {
        throw std::invalid_argument("fleet size is not of the form DAEMONS:DATABASES:WORKSPACES:KEYS: " + text);
    }
    return size;
}

json::object fleetModelCost(const FleetModelSize &size)
{
    json::object costs;
    const double atStart = heapMegabytes();
    confsync::EntryStore entries;
    std::vector<confsync::EntryChange> changes;
    std::int64_t version = 0;
    for (int service = 0; service < std::max(1, size.databases / DatabasesPerService); ++service) {
        changes.push_back({.key = std::string(daemon::ServicePrefix) + "service-" + std::to_string(service),
                           .value = serviceEntry(service, size),
                           .version = ++version});
    }
    for (int key = 0; key < size.keys; ++key) {
        changes.push_back({.key = std::string(daemon::KeyHashPrefix) + core::sha256Hex(std::to_string(key)),
                           .value = access::serializeGrant({.workspace = "workspace-1", .service = "service-0"}),
                           .version = ++version});
    }
    entries.applySnapshot(changes, version);
    changes.clear();
    changes.shrink_to_fit();
    costs["entries_mb"] = heapMegabytes() - atStart;

    const double beforeCatalogue = heapMegabytes();
    daemon::CatalogueBuilder builder([](std::string_view, std::string_view) {});
    std::vector<daemon::CatalogueEntry> live;
    entries.visit(daemon::ConfigurationPrefix, [&live](std::string_view key, const confsync::Entry &entry) {
        live.push_back({.key = key, .value = entry.value, .version = static_cast<std::uint64_t>(entry.version)});
    });
    daemon::FleetState state;
    state.selfId = "daemon-0";
    state.catalogue = builder.build(1, live);
    core::TimePoint start = core::Clock::now();
    state.catalogue = builder.build(2, live);
    costs["catalogue_rebuild_ms"] = millisecondsSince(start);
    costs["catalogue_mb"] = heapMegabytes() - beforeCatalogue;

    const double beforeMembers = heapMegabytes();
    for (int member = 0; member < size.daemons; ++member) {
        state.members.push_back({.id = "daemon-" + std::to_string(member),
                                 .address = "127.0.0.1:" + std::to_string(10'000 + member),
                                 .dataCentre = dataCentreName(member),
                                 .region = member % 2 == 0 ? "one" : "two",
                                 .incarnation = 1});
    }
    costs["members_mb"] = heapMegabytes() - beforeMembers;

    const double beforeView = heapMegabytes();
    membership::HomeLease lease("daemon-0");
    lease.heartbeat(core::Clock::now());
    start = core::Clock::now();
    const std::shared_ptr<const daemon::FleetView> view = daemon::buildFleetView(state, lease, core::Clock::now());
    costs["view_build_ms"] = millisecondsSince(start);
    costs["view_mb"] = heapMegabytes() - beforeView;
    int own = 0;
    for (const auto &[server, home] : view->homes) {
        own += home.own ? 1 : 0;
    }
    costs["servers"] = view->servers.size();
    costs["homes_of_one_daemon"] = own;
    return costs;
}

}
