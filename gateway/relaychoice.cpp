#include "gateway/relaychoice.h"

#include "core/hashing.h"

#include <algorithm>

namespace endiveshore::gateway {

namespace {

/// A daemon whose last answer from the store is older has missed a lease renewal, so the store does not serve it.
constexpr std::chrono::milliseconds MaximumStoreAge{3'200};
/// Daemons with at least this part of the largest processor share are preferred.
constexpr double StrongPart = 0.5;

std::vector<std::string> idsOf(std::span<const RelayCandidate> candidates)
{
    std::vector<std::string> ids;
    for (const RelayCandidate &candidate : candidates) {
        ids.push_back(candidate.id);
    }
    return ids;
}

}

std::vector<std::string> chooseRelays(std::string_view dataCentre, std::span<const RelayCandidate> candidates)
{
    std::vector<RelayCandidate> usable;
    double largestShare = 0;
    for (const RelayCandidate &candidate : candidates) {
        if (candidate.storeAge < MaximumStoreAge) {
            usable.push_back(candidate);
            largestShare = std::max(largestShare, candidate.processorShare);
        }
    }
    if (usable.empty()) {
        return idsOf(candidates);
    }
    const auto isStrong = [largestShare](const RelayCandidate &candidate) {
        return candidate.processorShare >= StrongPart * largestShare;
    };
    const auto firstWeak = std::stable_partition(usable.begin(), usable.end(), isStrong);
    const std::string key = "relay/" + std::string(dataCentre);
    const std::span<const RelayCandidate> all(usable);
    const auto strongCount = static_cast<std::size_t>(firstWeak - usable.begin());
    std::vector<std::string> relays = core::rendezvousOrder(key, idsOf(all.first(strongCount)));
    const std::vector<std::string> rest = core::rendezvousOrder(key, idsOf(all.subspan(strongCount)));
    relays.insert(relays.end(), rest.begin(), rest.end());
    relays.resize(std::min(relays.size(), confsync::RelaysPerDataCentre));
    return relays;
}

}
