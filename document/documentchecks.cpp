#include "document/documentchecks.h"

#include <unordered_map>

namespace endiveshore::document {

namespace {

/// Detects values that occur twice and stores the path of the first occurrence of each value.
class UniqueValues
{
public:
    explicit UniqueValues(std::string_view noun)
        : noun(noun)
    {
    }

    ReadResult add(std::string_view value, std::string path)
    {
        const auto [first, added] = this->seen.emplace(value, path);
        if (!added) {
            return refuse(std::move(path),
                          "duplicate " + std::string(this->noun) + " \"" + std::string(value) + "\", first used at "
                              + first->second);
        }
        return {};
    }

private:
    std::string_view noun;
    std::unordered_map<std::string_view, std::string> seen;
};

template<typename Item>
ReadResult checkNames(const std::vector<Item> &items, const std::string &path, std::string_view noun)
{
    UniqueValues names(noun);
    for (std::size_t index = 0; index < items.size(); ++index) {
        ReadResult result = names.add(items[index].name, elementPath(path, index) + ".name");
        if (!result) {
            return result;
        }
    }
    return {};
}

ReadResult checkRegions(const ServiceDocument &document)
{
    UniqueValues dataCentres("data centre");
    for (std::size_t region = 0; region < document.regions.size(); ++region) {
        const std::string path = elementPath("regions", region) + ".data_centres";
        const std::vector<std::string> &names = document.regions[region].dataCentres;
        for (std::size_t index = 0; index < names.size(); ++index) {
            ReadResult result = dataCentres.add(names[index], elementPath(path, index));
            if (!result) {
                return result;
            }
        }
    }
    return {};
}

ReadResult checkGroup(const Database &database, const std::string &path)
{
    if (database.servers.size() % 2 == 0) {
        return refuse(path + ".servers",
                      "an odd number of servers is required for a majority, not "
                          + std::to_string(database.servers.size()));
    }
    if (database.findServer(database.initialPrimary) == nullptr) {
        return refuse(path + ".initial_primary",
                      "\"" + database.initialPrimary + "\" is not the id of a server of this database");
    }
    // During a handover, the old and the new home each hold one connection per slot and one connection for probes.
    const int neededConnections = 2 * (database.slots + 1);
    if (database.connectionLimit < neededConnections) {
        return refuse(path + ".connection_limit",
                      "at least 2 * (slots + 1) = " + std::to_string(neededConnections) + " is required, not "
                          + std::to_string(database.connectionLimit));
    }
    return {};
}

ReadResult checkServers(const ServiceDocument &document)
{
    UniqueValues ids("server id");
    UniqueValues addresses("server address");
    for (std::size_t group = 0; group < document.databases.size(); ++group) {
        const Database &database = document.databases[group];
        const std::string databasePath = elementPath("databases", group);
        for (std::size_t index = 0; index < database.servers.size(); ++index) {
            const BackendServer &server = database.servers[index];
            const std::string path = elementPath(databasePath + ".servers", index);
            if (ReadResult result = ids.add(server.id, path + ".id"); !result) {
                return result;
            }
            if (ReadResult result = addresses.add(server.address, path + ".address"); !result) {
                return result;
            }
            if (document.regionOf(server.dataCentre) == nullptr) {
                return refuse(path + ".data_centre", "no region lists the data centre \"" + server.dataCentre + "\"");
            }
        }
        if (ReadResult result = checkGroup(database, databasePath); !result) {
            return result;
        }
    }
    return {};
}

ReadResult checkRoutes(const ServiceDocument &document)
{
    for (std::size_t index = 0; index < document.routes.size(); ++index) {
        const Route &route = document.routes[index];
        if (route.kind == RouteKind::Write && route.maxAge) {
            return refuse(elementPath("routes", index) + ".max_age_ms", "an age bound applies to reads only");
        }
        if (route.open && document.findWorkspace(OpenWorkspaceName) == nullptr) {
            return refuse(elementPath("routes", index) + ".open",
                          "an open route needs the workspace \"public\", to which requests without a key are charged");
        }
    }
    return {};
}

}

ReadResult checkDocument(const ServiceDocument &document)
{
    if (ReadResult result = checkNames(document.regions, "regions", "region"); !result) {
        return result;
    }
    if (ReadResult result = checkRegions(document); !result) {
        return result;
    }
    if (ReadResult result = checkNames(document.databases, "databases", "database"); !result) {
        return result;
    }
    if (ReadResult result = checkServers(document); !result) {
        return result;
    }
    if (ReadResult result = checkNames(document.routes, "routes", "route"); !result) {
        return result;
    }
    if (ReadResult result = checkRoutes(document); !result) {
        return result;
    }
    return checkNames(document.workspaces, "workspaces", "workspace");
}

}
