#include "routing/allowedregions.h"

#include <algorithm>

namespace endiveshore::routing {

namespace {

bool isIn(const std::vector<std::string> &list, std::string_view region)
{
    return list.empty() || (!region.empty() && std::ranges::find(list, region) != list.end());
}

}

AllowedRegions::AllowedRegions(std::span<const std::string> ofRoute, std::span<const std::string> ofWorkspace)
    : route(ofRoute.begin(), ofRoute.end())
    , workspace(ofWorkspace.begin(), ofWorkspace.end())
{
}

bool AllowedRegions::allows(std::string_view region) const
{
    return isIn(this->route, region) && isIn(this->workspace, region);
}

bool AllowedRegions::isEverywhere() const
{
    return this->route.empty() && this->workspace.empty();
}

ServingVerdict servingVerdict(std::span<const ServerPlace> servers, const AllowedRegions &regions, bool needsPrimary)
{
    if (servers.empty()) {
        return ServingVerdict::Possible;
    }
    bool isAllowed = false;
    bool isOpen = false;
    for (const ServerPlace &server : servers) {
        if (!regions.allows(server.region)) {
            if (needsPrimary && server.isPrimary) {
                return ServingVerdict::NotAllowed;
            }
            continue;
        }
        isAllowed = true;
        isOpen = isOpen || mayRunStatements(server.evacuation);
    }
    if (!isAllowed) {
        return ServingVerdict::NotAllowed;
    }
    return isOpen ? ServingVerdict::Possible : ServingVerdict::Evacuated;
}

}
