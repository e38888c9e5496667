#include "membership/homeorder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace endiveshore::membership {

namespace {

std::vector<HomeCandidate> fleet()
{
    std::vector<HomeCandidate> candidates;
    for (int index = 0; index < 9; ++index) {
        const std::string dataCentre = index < 3 ? "z1" : index < 6 ? "z2" : "z3";
        candidates.push_back(
            {.id = "d" + std::to_string(index), .dataCentre = dataCentre, .region = dataCentre == "z3" ? "r2" : "r1"});
    }
    return candidates;
}

}

// Guards against a home in another region although a daemon is available near the server. Traffic of such a
// home would take the narrow link between the regions.
TEST(HomeOrder, NearestDaemonsComeFirst)
{
    const std::vector<HomeCandidate> candidates = fleet();
    const std::vector<std::string> order = homeOrder("s", "z1", "r1", candidates, 9);
    ASSERT_EQ(order.size(), 9U);
    const auto position = [&](const std::string &id) { return std::ranges::find(order, id) - order.begin(); };
    for (const HomeCandidate &candidate : candidates) {
        const auto place = position(candidate.id);
        EXPECT_EQ(place < 3, candidate.dataCentre == "z1");
        EXPECT_EQ(place >= 6, candidate.region == "r2");
    }
}

// Guards against the loss of a daemon that moves servers whose home is still available.
TEST(HomeOrder, LossOfADaemonMovesOnlyItsServers)
{
    const std::vector<HomeCandidate> before = fleet();
    std::vector<HomeCandidate> after = before;
    std::erase_if(after, [](const HomeCandidate &candidate) { return candidate.id == "d1"; });
    for (int server = 0; server < 100; ++server) {
        const std::string id = "s" + std::to_string(server);
        const std::vector<std::string> old = homeOrder(id, "z1", "r1", before, 2);
        const std::vector<std::string> next = homeOrder(id, "z1", "r1", after, 2);
        EXPECT_EQ(next.front(), old.front() == "d1" ? old.back() : old.front());
    }
}

// Guards against a single daemon that becomes the home of most servers of its data centre.
TEST(HomeOrder, HomesSpreadOverTheDataCentre)
{
    const std::vector<HomeCandidate> candidates = fleet();
    std::map<std::string, int> homes;
    for (int server = 0; server < 300; ++server) {
        ++homes[homeOrder("s" + std::to_string(server), "z2", "r1", candidates, 1).front()];
    }
    EXPECT_EQ(homes.size(), 3U);
    for (const auto &[daemon, count] : homes) {
        EXPECT_GT(count, 60) << daemon;
    }
}

}
