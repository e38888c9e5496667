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

/// Assigns homes to backend servers for one view of the membership. Immutable after construction. Daemons with the same
/// view and regions choose the same homes.
class HomeMap
{
public:
    /// Candidates are the alive and suspect members, except the draining members, whose ids are in @p leaving.
    HomeMap(std::span<const Member> members,
            std::span<const HomeRegion> regions,
            const std::set<std::string> &leaving = {});

    /// Id of the home, chosen by rendezvous hashing among the candidates of the server's data centre, or else of its
    /// region, or else among all candidates. Empty without candidates.
    std::string homeOf(const HomeServer &server) const;

    /// Distinct homes of the servers of the database group @p name, by descending rendezvous weight for the name.
    std::vector<std::string> homesOf(std::string_view name, std::span<const HomeServer> servers) const;

    /// The @p count candidates of @p dataCentre with the highest rendezvous weights for @p key, for example the relays.
    std::vector<std::string> topCandidates(std::string_view key, std::string_view dataCentre, std::size_t count) const;

    /// The candidate of any data centre that owns @p key, for example as the allocator. Empty without candidates.
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
    /// Candidates of a data centre's region, by data centre.
    std::map<std::string, std::vector<Candidate>, std::less<>> byRegionOfDataCentre;
};

}
