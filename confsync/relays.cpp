#include "confsync/relays.h"

#include "core/hashing.h"

#include <algorithm>

namespace endiveshore::confsync {

std::vector<std::string> selectRelays(std::string_view dataCentre, std::span<const std::string> liveMembers)
{
    std::vector<std::string> ordered = core::rendezvousOrder("relay/" + std::string(dataCentre), liveMembers);
    // Repeated ids have the same weight and are adjacent.
    ordered.erase(std::unique(ordered.begin(), ordered.end()), ordered.end());
    if (ordered.size() > RelaysPerDataCentre) {
        ordered.resize(RelaysPerDataCentre);
    }
    return ordered;
}

bool isRelay(std::string_view memberId, std::string_view dataCentre, std::span<const std::string> liveMembers)
{
    const std::vector<std::string> relays = selectRelays(dataCentre, liveMembers);
    return std::find(relays.begin(), relays.end(), memberId) != relays.end();
}

}
