#include "membership/homemap.h"

#include "core/hashing.h"

#include <algorithm>

namespace endiveshore::membership {

HomeMap::HomeMap(std::span<const Member> members,
                 std::span<const HomeRegion> regions,
                 const std::set<std::string> &leaving)
{
    std::map<std::string, std::vector<Candidate>, std::less<>> byRegion;
    for (const Member &member : members) {
        const bool live = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (!live || leaving.contains(member.id)) {
            continue;
        }
        // Hashed once per candidate, because every server is compared with every candidate.
        const Candidate candidate{.id = member.id, .hash = core::stableHash(member.id)};
        this->all.push_back(candidate);
        this->byDataCentre[member.dataCentre].push_back(candidate);
        byRegion[member.region].push_back(candidate);
    }
    // A member belongs to a region if it names the region or if the region lists its data centre.
    for (const HomeRegion &region : regions) {
        std::vector<Candidate> candidates;
        if (const auto named = byRegion.find(region.name); named != byRegion.end()) {
            candidates = named->second;
        }
        for (const std::string &dataCentre : region.dataCentres) {
            const auto local = this->byDataCentre.find(dataCentre);
            if (local != this->byDataCentre.end()) {
                candidates.insert(candidates.end(), local->second.begin(), local->second.end());
            }
        }
        std::sort(candidates.begin(), candidates.end());
        candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
        for (const std::string &dataCentre : region.dataCentres) {
            this->byRegionOfDataCentre[dataCentre] = candidates;
        }
    }
}

std::string HomeMap::findHighestWeight(std::string_view key, std::span<const Candidate> candidates)
{
    const std::uint64_t keyHash = core::stableHash(key);
    const Candidate *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const Candidate &candidate : candidates) {
        const std::uint64_t weight = core::rendezvousWeight(keyHash, candidate.hash);
        // Equal weights are ordered by id, so that all daemons agree regardless of the order in which the candidates
        // are listed.
        if (best == nullptr || weight > bestWeight || (weight == bestWeight && candidate.id < best->id)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

std::string HomeMap::homeOf(const HomeServer &server) const
{
    for (const auto *groups : {&this->byDataCentre, &this->byRegionOfDataCentre}) {
        const auto found = groups->find(server.dataCentre);
        if (found != groups->end() && !found->second.empty()) {
            return findHighestWeight(server.id, found->second);
        }
    }
    return findHighestWeight(server.id, this->all);
}

std::vector<std::string> HomeMap::homesOf(std::string_view name, std::span<const HomeServer> servers) const
{
    std::set<std::string> distinct;
    for (const HomeServer &server : servers) {
        if (std::string home = this->homeOf(server); !home.empty()) {
            distinct.insert(std::move(home));
        }
    }
    const std::vector<std::string> homes(distinct.begin(), distinct.end());
    return core::rendezvousOrder(name, homes);
}

std::vector<std::string>
HomeMap::topCandidates(std::string_view key, std::string_view dataCentre, std::size_t count) const
{
    const auto found = this->byDataCentre.find(dataCentre);
    if (found == this->byDataCentre.end()) {
        return {};
    }
    std::vector<std::string> ids;
    for (const Candidate &candidate : found->second) {
        ids.push_back(candidate.id);
    }
    std::vector<std::string> ordered = core::rendezvousOrder(key, ids);
    ordered.resize(std::min(ordered.size(), count));
    return ordered;
}

std::string HomeMap::ownerOf(std::string_view key) const
{
    return findHighestWeight(key, this->all);
}

}
