#include "membership/homeorder.h"

#include "core/hashing.h"

#include <algorithm>

namespace endiveshore::membership {

std::vector<std::string> homeOrder(std::string_view server,
                                   std::string_view dataCentre,
                                   std::string_view region,
                                   std::span<const HomeCandidate> candidates,
                                   std::size_t count)
{
    struct Ranked
    {
        int distance = 0;
        std::uint64_t weight = 0;
        const HomeCandidate *candidate = nullptr;
    };
    const std::uint64_t serverHash = core::stableHash(server);
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const HomeCandidate &candidate : candidates) {
        const int distance = candidate.dataCentre == dataCentre ? 0 : candidate.region == region ? 1 : 2;
        ranked.push_back({.distance = distance,
                          .weight = core::rendezvousWeight(serverHash, core::stableHash(candidate.id)),
                          .candidate = &candidate});
    }
    std::ranges::sort(ranked, [](const Ranked &left, const Ranked &right) {
        return left.distance != right.distance ? left.distance < right.distance : left.weight > right.weight;
    });
    std::vector<std::string> order;
    for (const Ranked &entry : ranked) {
        if (order.size() == count) {
            break;
        }
        order.push_back(entry.candidate->id);
    }
    return order;
}

}
