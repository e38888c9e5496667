#pragma once

#include "membership/member.h"

#include <map>
#include <set>
#include <span>

namespace endiveshore::membership {

struct HomeRegion
{
    std::string name;
    std::vector<std::string> dataCentres;
};

struct HomeServer
{
    std::string id;
    std::string dataCentre;
};

/// Homes of backend servers for one view of the membership. Immutable after construction; two daemons with the same
/// view and regions choose the same homes.
class HomeMap
{
public:
    /// Candidates are the alive and suspect members except those in @p leaving (ids of members that drain).
    HomeMap(std::span<const Member> members,
            std::span<const HomeRegion> regions,
            const std::set<std::string> &leaving = {});

    /// Id of the home: by rendezvous hash over the candidates of the server's data centre, else of its region, else
    /// over all. Empty without candidates.
    std::string homeOf(const HomeServer &server) const;

    /// Distinct homes of the servers of the group @p name (a database), by falling rendezvous weight for the name.
    std::vector<std::string> homesOf(std::string_view name, std::span<const HomeServer> servers) const;

    /// The first @p count candidates of @p dataCentre by rendezvous weight for @p key, for example the relays.
    std::vector<std::string> topCandidates(std::string_view key, std::string_view dataCentre, std::size_t count) const;

    /// The candidate that owns @p key over all data centres, for example an allocator. Empty without candidates.
    std::string ownerOf(std::string_view key) const;

private:
    struct Candidate
    {
        std::string id;
        std::uint64_t hash = 0;

        bool operator==(const Candidate &) const = default;
        bool operator<(const Candidate &other) const
        {
            return this->id < other.id;
        }
    };

    static std::string findHighestWeight(std::string_view key, std::span<const Candidate> candidates);

    std::vector<Candidate> all;
    std::map<std::string, std::vector<Candidate>, std::less<>> byDataCentre;
    std::map<std::string, std::vector<Candidate>, std::less<>> byRegionOfDataCentre; ///< Of a data centre's region.
};

}
