#include "gateway/connectionplan.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace endiveshore::gateway {

namespace {

constexpr std::size_t HomesPerServer = 4;

struct Fleet
{
    unsigned limit;
    std::size_t daemons;
};

std::vector<std::string> homes()
{
    return {"h0", "h1", "h2", "h3"};
}

}

// Guards against a server whose connection limit is used up by daemons that bypass its home: each of many daemons took
// its part of the limit as soon as the home was out of reach.
TEST(ConnectionPlan, ConnectionsOfALargeFleetStayWithinTheLimit)
{
    for (const Fleet fleet : {Fleet{35, 69}, Fleet{193, 295}, Fleet{285, 80}, Fleet{33, 82}, Fleet{193, 920}}) {
        const ConnectionPlan plan(fleet.limit, fleet.daemons);
        EXPECT_FALSE(plan.mayAllConnect()) << fleet.limit;
        EXPECT_LE(plan.homeConnections() + (HomesPerServer - 1) * plan.otherConnections(), fleet.limit);
        EXPECT_EQ(plan.order(homes(), "other"), homes());
        EXPECT_EQ(plan.order(homes(), "h2"), homes());
    }
}

// Guards against daemons of a small fleet that give up on a server which they could reach themselves.
TEST(ConnectionPlan, AnyDaemonOfASmallFleetMayConnect)
{
    for (const Fleet fleet : {Fleet{33, 7}, Fleet{55, 7}, Fleet{16, 6}}) {
        const ConnectionPlan plan(fleet.limit, fleet.daemons);
        EXPECT_TRUE(plan.mayAllConnect()) << fleet.limit;
        EXPECT_EQ(plan.order(homes(), "other"), (std::vector<std::string>{"h0", "other", "h1", "h2", "h3"}));
        EXPECT_EQ(plan.order(homes(), "h0"), homes());
        EXPECT_EQ(plan.order(homes(), "h2"), (std::vector<std::string>{"h0", "h2", "h1", "h3"}));
    }
}

// Guards against a server without any daemon while the membership is not known yet.
TEST(ConnectionPlan, ADaemonWithoutHomesServesItself)
{
    const ConnectionPlan plan(35, 69);
    EXPECT_EQ(plan.order({}, "self"), std::vector<std::string>{"self"});
}

}
