#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The document of a service: the single file that a team owns and that an operator accepts or withdraws.
namespace endiveshore::document {

/// One server of a database group.
struct BackendServer
{
    std::string id; ///< Unique in the document.
    std::string address; ///< "ip:port", IPv4; unique in the document.
    std::string dataCentre;

    bool operator==(const BackendServer &) const = default;
};

/// A database group: an odd number of servers, one of which is the primary.
struct Database
{
    std::string name;
    std::vector<BackendServer> servers;
    int slots = 0; ///< Maximum number of statements that run at the same time on each server.
    int connectionLimit = 0; ///< Maximum number of connections that each server accepts from all daemons together.
    std::string initialPrimary; ///< Id of the server that is the primary in the first term.

    /// Server with @p id, or nullptr.
    const BackendServer *findServer(std::string_view id) const;

    bool operator==(const Database &) const = default;
};

enum class RouteKind {
    Read,
    Write,
};

/// Rules for one kind of request.
struct Route
{
    std::string name;
    RouteKind kind = RouteKind::Read;
    bool open = false; ///< Requests need no workspace key.
    bool repeatable = false; ///< Requests may run more than once. Defaults to true for reads and false for writes.
    /// Maximum staleness of a read. Zero means the primary only; absent means the default of the routing library.
    std::optional<std::chrono::milliseconds> maxAge;

    bool operator==(const Route &) const = default;
};

/// Workspace to which requests without a key are charged on open routes.
inline constexpr std::string_view OpenWorkspaceName = "public";

/// A customer of the service.
struct Workspace
{
    std::string name;
    double ratePerSecond = 0; ///< Statements per second over all daemons together.
    double burst = 0; ///< Number of statements that may exceed the rate at once.
    double weight = 1; ///< Weight of the workspace in the division of a backend server's slots.

    bool operator==(const Workspace &) const = default;
};

/// A group of data centres with short network paths between them.
struct Region
{
    std::string name;
    std::vector<std::string> dataCentres;

    bool operator==(const Region &) const = default;
};

struct ServiceDocument
{
    std::string service;
    /// Store revision on which an edit is based. Absent in stored documents.
    std::optional<std::int64_t> revision;
    std::vector<Region> regions;
    std::vector<Database> databases;
    std::vector<Route> routes;
    std::vector<Workspace> workspaces;

    /// Database with @p name, or nullptr.
    const Database *findDatabase(std::string_view name) const;
    /// Route with @p name, or nullptr.
    const Route *findRoute(std::string_view name) const;
    /// Workspace with @p name, or nullptr.
    const Workspace *findWorkspace(std::string_view name) const;
    /// Region that lists @p dataCentre, or nullptr.
    const Region *regionOf(std::string_view dataCentre) const;

    bool operator==(const ServiceDocument &) const = default;
};

}
