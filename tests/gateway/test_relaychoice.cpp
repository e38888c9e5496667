#include "gateway/relaychoice.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace endiveshore::gateway {

using namespace std::chrono_literals;
using confsync::RelaysPerDataCentre;

namespace {

std::vector<RelayCandidate> fleet(std::size_t daemons)
{
    std::vector<RelayCandidate> candidates;
    for (std::size_t index = 0; index < daemons; ++index) {
        candidates.push_back({.id = "d" + std::to_string(index), .processorShare = 0.5, .storeAge = 500ms});
    }
    return candidates;
}

bool contains(const std::vector<std::string> &ids, const std::string &id)
{
    return std::ranges::find(ids, id) != ids.end();
}

}

// Guards against a load on the store that grows with the number of daemons of a data centre.
TEST(RelayChoice, FewDaemonsWatchForAll)
{
    EXPECT_EQ(chooseRelays("z", fleet(14)).size(), RelaysPerDataCentre);
    EXPECT_EQ(chooseRelays("z", fleet(2)).size(), 2U);
    EXPECT_TRUE(chooseRelays("z", {}).empty());
}

// Guards against a data centre that gets no updates because its relays cannot reach the store.
TEST(RelayChoice, RelayWithoutTheStoreIsReplacedByOneThatHasIt)
{
    std::vector<RelayCandidate> candidates = fleet(14);
    const std::vector<std::string> before = chooseRelays("z", candidates);
    for (RelayCandidate &candidate : candidates) {
        candidate.storeAge = contains(before, candidate.id) ? 5s : 500ms;
    }
    const std::vector<std::string> after = chooseRelays("z", candidates);
    EXPECT_EQ(after.size(), RelaysPerDataCentre);
    for (const std::string &relay : before) {
        EXPECT_FALSE(contains(after, relay));
    }
}

// Guards against a fleet in which no daemon tries to reach the store again after an outage.
TEST(RelayChoice, WithoutAnyContactAllDaemonsAreRelays)
{
    std::vector<RelayCandidate> candidates = fleet(5);
    for (RelayCandidate &candidate : candidates) {
        candidate.storeAge = 1h;
    }
    EXPECT_EQ(chooseRelays("z", candidates).size(), candidates.size());
}

// Guards against daemons with little processor time as relays, which serve the changes of the store to all others.
TEST(RelayChoice, StrongDaemonsComeFirst)
{
    std::vector<RelayCandidate> candidates = fleet(6);
    for (std::size_t index = 0; index < 5; ++index) {
        candidates[index].processorShare = 0.12;
    }
    const std::vector<std::string> relays = chooseRelays("z", candidates);
    ASSERT_EQ(relays.size(), RelaysPerDataCentre);
    EXPECT_EQ(relays.front(), "d5");
    EXPECT_NE(relays.back(), "d5");
}

}
