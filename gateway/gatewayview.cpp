#include "gateway/gatewayview.h"

#include "core/hashing.h"

namespace endiveshore::gateway {

std::string_view GatewayView::regionOf(std::string_view dataCentre) const
{
    const auto found = this->regionOfDataCentre.find(dataCentre);
    return found == this->regionOfDataCentre.end() ? std::string_view() : std::string_view(found->second);
}

std::string GatewayView::rateHome(std::string_view workspace) const
{
    const std::uint64_t workspaceHash = core::stableHash(workspace);
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const std::string &daemon : this->rateHomes) {
        const std::uint64_t weight = core::rendezvousWeight(workspaceHash, core::stableHash(daemon));
        if (best == nullptr || weight > bestWeight) {
            best = &daemon;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::string() : *best;
}

std::optional<core::PriorityRank> GatewayView::rankOf(const Route &route) const
{
    return this->ordersByPriority ? std::optional(core::priorityRank(route.priority)) : std::nullopt;
}

const Route *GatewayView::route(std::string_view database) const
{
    if (this->configuration == nullptr) {
        return nullptr;
    }
    const auto found = this->configuration->routes.find(database);
    return found == this->configuration->routes.end() ? nullptr : &found->second;
}

const BackendServer *GatewayView::server(std::string_view id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : &found->second;
}

limits::ColdBound GatewayView::coldBoundOf(std::string_view service) const
{
    limits::ColdBound result = this->coldBound;
    if (this->configuration != nullptr) {
        const auto found = this->configuration->services.find(service);
        result.ratePerSecond = found == this->configuration->services.end() ? 0 : found->second.coldRatePerSecond;
    }
    return result;
}

routing::EvacuationStage GatewayView::evacuationOf(const BackendServer &server) const
{
    return routing::stageOf(this->evacuations, server.dataCentre);
}

std::vector<routing::ServerPlace> GatewayView::placesOf(std::string_view service) const
{
    const BackendServer *const lead = this->primary(service);
    std::vector<routing::ServerPlace> places;
    for (const auto &[id, server] : this->servers) {
        if (server.service == service) {
            places.push_back({.region = this->regionOf(server.dataCentre),
                              .evacuation = this->evacuationOf(server),
                              .isPrimary = &server == lead});
        }
    }
    return places;
}

const BackendServer *GatewayView::primary(std::string_view service) const
{
    const auto found = this->primaries.find(service);
    return found == this->primaries.end() ? nullptr : this->server(found->second);
}

}
