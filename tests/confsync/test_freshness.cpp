#include "confsync/freshnesstracker.h"
#include "confsync/relays.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace endiveshore::confsync {

using namespace std::chrono_literals;

namespace {

const core::TimePoint Start = core::TimePoint(100s);

std::vector<std::string> members(int count)
{
    std::vector<std::string> ids;
    for (int index = 0; index < count; ++index) {
        ids.push_back("d" + std::to_string(index));
    }
    return ids;
}

}

// Guards against a daemon that continues to serve although neither the store nor a majority has answered for 2 s.
TEST(FreshnessTracker, IsolatedTwoSecondsAfterTheLastConfirmation)
{
    FreshnessTracker tracker("d0", Start);
    tracker.setMembers(members(7));
    EXPECT_FALSE(tracker.isolated(Start + 2s));
    EXPECT_TRUE(tracker.isolated(Start + 2001ms));
    tracker.storeConfirmed(Start + 3s);
    EXPECT_FALSE(tracker.isolated(Start + 5s));
    EXPECT_TRUE(tracker.isolated(Start + 5001ms));
}

// Guards against counting a minority, unknown members, or members that answered long ago, as a majority.
TEST(FreshnessTracker, MajorityIncludesItselfAndCountsOnlyRecentContacts)
{
    FreshnessTracker tracker("d0", Start);
    tracker.setMembers(members(7));
    tracker.memberSeen("d1", Start + 10s);
    tracker.memberSeen("d2", Start + 10s);
    EXPECT_TRUE(tracker.isolated(Start + 10s));
    tracker.memberSeen("stranger", Start + 10s);
    EXPECT_TRUE(tracker.isolated(Start + 10s));
    tracker.memberSeen("d3", Start + 9s);
    EXPECT_EQ(tracker.lastMajority(), Start + 9s);
    EXPECT_FALSE(tracker.isolated(Start + 11s));
    EXPECT_TRUE(tracker.isolated(Start + 11001ms));
}

// Guards against a delayed message that resets the time of the last contact to an earlier time.
TEST(FreshnessTracker, OlderTimesDoNotCount)
{
    FreshnessTracker tracker("d0", Start);
    tracker.setMembers(members(2));
    tracker.memberSeen("d1", Start + 5s);
    tracker.memberSeen("d1", Start + 1s);
    tracker.storeConfirmed(Start + 6s);
    tracker.storeConfirmed(Start + 2s);
    EXPECT_EQ(tracker.lastMajority(), Start + 5s);
    EXPECT_EQ(tracker.lastStoreConfirmation(), Start + 6s);
}

// Guards against a store outage that stops a fleet whose members still reach each other, or a fleet of a single daemon.
TEST(FreshnessTracker, StoreOutageAloneDoesNotIsolate)
{
    FreshnessTracker tracker("d0", Start);
    tracker.setMembers(members(3));
    for (int second = 1; second < 60; ++second) {
        tracker.memberSeen("d1", Start + std::chrono::seconds(second));
        EXPECT_FALSE(tracker.isolated(Start + std::chrono::seconds(second) + 500ms));
    }
    FreshnessTracker alone("d0", Start);
    alone.setMembers(members(1));
    EXPECT_FALSE(alone.isolated(Start + 1h));
}

// Guards against relays that differ between daemons because of the order of the members, and against relays that change
// when a member that is not a relay fails.
TEST(Relays, TwoOfHighestRankIndependentOfOrder)
{
    std::vector<std::string> live = members(9);
    const std::vector<std::string> relays = selectRelays("oviedo", live);
    ASSERT_EQ(relays.size(), 2U);
    std::reverse(live.begin(), live.end());
    EXPECT_EQ(selectRelays("oviedo", live), relays);
    for (const std::string &removed : members(9)) {
        std::vector<std::string> remaining = live;
        std::erase(remaining, removed);
        const std::vector<std::string> next = selectRelays("oviedo", remaining);
        for (const std::string &relay : relays) {
            EXPECT_EQ(isRelay(relay, "oviedo", remaining), relay != removed);
        }
        EXPECT_EQ(next.size(), 2U);
    }
    const std::vector<std::string> repeated{"d1", "d1"};
    EXPECT_EQ(selectRelays("oviedo", repeated).size(), 1U);
    EXPECT_TRUE(selectRelays("oviedo", {}).empty());
}

}
