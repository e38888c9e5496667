#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::membership {

/// A daemon that may hold the connections of a backend server.
struct HomeCandidate
{
    std::string id;
    std::string dataCentre;
    std::string region;
};

/// Returns the ids of at most @p count candidates for the backend server @p server, best first: candidates of its data
/// centre, then of its region, then all others, each in descending order of rendezvous weight. Daemons with the same
/// view agree on the order.
std::vector<std::string> homeOrder(std::string_view server,
                                   std::string_view dataCentre,
                                   std::string_view region,
                                   std::span<const HomeCandidate> candidates,
                                   std::size_t count);

}
