#include "tools/fairshare.h"
#include "tools/ratewindow.h"

#include <gtest/gtest.h>

#include <vector>

namespace endiveshore::tools {

namespace {

std::vector<RequestInterval> regularRequests(int count, std::int64_t intervalUs, std::int64_t lengthUs)
{
    std::vector<RequestInterval> result;
    for (int index = 0; index < count; ++index) {
        result.push_back({.startUs = index * intervalUs, .endUs = index * intervalUs + lengthUs});
    }
    return result;
}

}

// Guards against a false excess: the load keeps its rate exactly.
TEST(RateWindow, LoadAtTheRateHasNoExcess)
{
    EXPECT_EQ(largestExcess(regularRequests(500, 10'000, 1'000), 100, 1), 0);
}

// Guards against an undetected burst: the average rate of the whole run is below the limit, and only a short window
// exceeds it.
TEST(RateWindow, FindsAShortBurst)
{
    std::vector<RequestInterval> requests = regularRequests(100, 100'000, 1'000);
    for (int index = 0; index < 30; ++index) {
        requests.push_back({.startUs = 5'000'000, .endUs = 5'001'000});
    }
    EXPECT_NEAR(largestExcess(requests, 20, 10), 21 - 0.02, 0.01);
}

// Guards against an overstated excess: a request whose interval reaches beyond a window may have run outside the window
// and must not count.
TEST(RateWindow, CountsOnlyRequestsInsideTheWindow)
{
    const std::vector<RequestInterval> requests{{.startUs = 0, .endUs = 10'000'000},
                                                {.startUs = 0, .endUs = 10'000'000}};
    EXPECT_EQ(largestExcess(requests, 1, 0), 0);
}

// Guards against a share above the demand, and against capacity that stays unused when a workspace demands less than
// its weighted share.
TEST(FairShare, DividesWhatOthersLeave)
{
    const std::vector<ShareDemand> demands{{.demand = 10, .weight = 1}, {.demand = 500, .weight = 1}, {200, 3}};
    const std::vector<double> shares = fairShares(demands, 170);
    ASSERT_EQ(shares.size(), 3U);
    EXPECT_DOUBLE_EQ(shares[0], 10);
    EXPECT_DOUBLE_EQ(shares[1], 40);
    EXPECT_DOUBLE_EQ(shares[2], 120);
}

// Guards against shares above the demand when the capacity exceeds the sum of the demands.
TEST(FairShare, GivesEveryoneTheDemandIfThereIsEnough)
{
    const std::vector<ShareDemand> demands{{.demand = 10, .weight = 1}, {.demand = 20, .weight = 5}};
    EXPECT_EQ(fairShares(demands, 100), (std::vector<double>{10, 20}));
}

}
