#include "tests/failover/groupsimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace endiveshore::failover {

using namespace std::chrono_literals;

namespace {

constexpr core::Milliseconds StartTime{1'500};

std::string describe(const GroupSimulation &simulation)
{
    std::string text;
    for (const std::string &violation : simulation.violations) {
        text += violation + "\n";
    }
    for (const std::string &decision : simulation.decisions) {
        text += decision + "\n";
    }
    return text;
}

struct Scenario
{
    const char *name;
    GroupSimulation::Faults faults;
    int lossPercent = 0;
    bool homeDies = false;
};

constexpr int ScenarioSeeds = 60;

const Scenario Scenarios[] = {
    {.name = "killed", .faults = {.down = true}},
    {.name = "paused", .faults = {.paused = true}},
    {.name = "cut_both", .faults = {.cutToServer = true, .cutFromServer = true, .cutFromReplicas = true}},
    {.name = "cut_to_server", .faults = {.cutToServer = true}},
    {.name = "cut_from_server", .faults = {.cutFromServer = true}},
    {.name = "killed_lossy", .faults = {.down = true}, .lossPercent = 10},
    {.name = "paused_lossy", .faults = {.paused = true}, .lossPercent = 10},
    {.name = "killed_with_home", .faults = {.down = true}, .homeDies = true},
    {.name = "paused_with_home", .faults = {.paused = true}, .homeDies = true},
};

}

class FailoverScenario : public testing::TestWithParam<Scenario>
{
};

// Guards against a failover that exceeds its bounds (2 s in the median, 6 s at most), loses an acknowledged write or
// makes two primaries in a term, when the primary is killed, paused or cut off, also under packet loss or together with
// its home.
TEST_P(FailoverScenario, PrimaryIsReplacedInTimeWithoutLoss)
{
    const Scenario &scenario = GetParam();
    std::vector<std::int64_t> gaps;
    for (std::uint64_t seed = 1; seed <= ScenarioSeeds; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(StartTime + core::Milliseconds(seed * 37 % 300));
        ASSERT_EQ(simulation.primary(), "s1");
        ASSERT_GT(simulation.acknowledgedWrites(), 10U);
        simulation.setLoss(scenario.lossPercent);
        const core::Milliseconds start = simulation.now();
        simulation.setFaults("s1", scenario.faults);
        simulation.homes[simulation.homeOf("s1")].alive = !scenario.homeDies;
        const bool writable = simulation.runUntil(6s, [&simulation] { return simulation.isWritable(); });
        EXPECT_TRUE(writable) << "seed " << seed << "\n" << describe(simulation);
        gaps.push_back((simulation.now() - start).count());
        simulation.run(1s);
        simulation.checkAcknowledged();

        // The former primary returns, follows the new primary and gets the same log.
        simulation.setLoss(0);
        simulation.setFaults("s1", {});
        simulation.homes[simulation.homeOf("s1")].alive = true;
        const bool followed = simulation.runUntil(6s, [&simulation] {
            const std::string primary = simulation.primary();
            const std::int64_t term = simulation.state(primary.empty() ? "s1" : primary).term();
            return primary != "" && simulation.state("s1").log().lastTerm() == term && term > 1;
        });
        EXPECT_TRUE(followed) << "seed " << seed << "\n" << describe(simulation);
        simulation.run(500ms);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << "\n" << describe(simulation);
        if (HasFailure()) {
            return;
        }
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << scenario.name << ": median " << gaps[gaps.size() / 2] << " ms, largest " << gaps.back() << " ms\n";
    EXPECT_LT(gaps[gaps.size() / 2], 2'000);
    EXPECT_LT(gaps.back(), 6'000);
}

INSTANTIATE_TEST_SUITE_P(All, FailoverScenario, testing::ValuesIn(Scenarios), [](const auto &info) {
    return std::string(info.param.name);
});

// Guards against a sequence of faults that loses an acknowledged write, makes two primaries in a term, or leaves the
// group without a primary after the faults have ended.
TEST(GroupMonitor, RandomFaultsNeverLoseAcknowledgedWrites)
{
    constexpr std::uint64_t Seeds = 150;
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        GroupSimulation simulation(seed);
        std::mt19937_64 random(seed * 7919);
        simulation.run(1s);
        for (int step = 0; step < 15; ++step) {
            const std::string primary = simulation.primary();
            const bool aimed = random() % 2 == 0 && !primary.empty();
            const std::string server = aimed ? primary : std::string(GroupSimulation::ServerIds[random() % 3]);
            switch (random() % 9) {
            case 0:
                simulation.setFaults(server, {.down = true});
                break;
            case 1:
            case 2:
                simulation.setFaults(server, {.paused = true});
                break;
            case 3:
                simulation.setFaults(server, {.cutToServer = true, .cutFromReplicas = random() % 2 == 0});
                break;
            case 4:
                simulation.setFaults(server, {.cutFromServer = true, .cutFromReplicas = random() % 2 == 0});
                break;
            case 5:
                simulation.setLoss(static_cast<int>(random() % 40));
                break;
            case 6:
                simulation.homes["home-" + server].unreachableServers
                    = {std::string(GroupSimulation::ServerIds[random() % 3])};
                break;
            case 7:
                simulation.homes["home-" + server].alive = random() % 2 == 0;
                break;
            default:
                simulation.setFaults(server, {});
                break;
            }
            simulation.run(core::Milliseconds(100 + random() % 2'000));
        }
        simulation.setLoss(0);
        for (const std::string_view id : GroupSimulation::ServerIds) {
            simulation.setFaults(std::string(id), {});
            simulation.homes["home-" + std::string(id)].alive = true;
            simulation.homes["home-" + std::string(id)].unreachableServers.clear();
        }
        simulation.run(8s);
        EXPECT_TRUE(simulation.isWritable()) << "seed " << seed << "\n" << describe(simulation);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << "seed " << seed << "\n" << describe(simulation);
        if (HasFailure()) {
            return;
        }
        promotions += simulation.primaries.size() - 1;
    }
    std::cout << promotions << " promotions in " << Seeds << " runs\n";
    EXPECT_GT(promotions, Seeds);
}

// Guards against the replacement of a healthy primary by a home that is cut off from the primary or from all other
// homes.
TEST(GroupMonitor, HealthyPrimaryIsKept)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.homes["home-s2"].unreachableServers = {"s1"};
        simulation.run(10s);
        simulation.homes["home-s2"].unreachableServers = {};
        simulation.homes["home-s3"].unreachableServers = {"s1", "s2"};
        simulation.homes["home-s3"].unreachableHomes = {"home-s1", "home-s2"};
        simulation.run(10s);
        simulation.homes["home-s3"].unreachableServers = {};
        simulation.homes["home-s3"].unreachableHomes = {};
        simulation.run(5s);
        EXPECT_EQ(simulation.primaries.size(), 1U) << describe(simulation);
        EXPECT_EQ(simulation.state("s3").fencedTerm(), 1) << describe(simulation);
    }
}

// Guards against a primary that keeps its role although its VM is leaving, and against writes lost in the change of
// primary.
TEST(GroupMonitor, LeavingPrimaryIsReplaced)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        const std::string leaving = simulation.primary();
        for (auto &[name, home] : simulation.homes) {
            home.monitor->setLeaving({leaving});
        }
        EXPECT_TRUE(simulation.runUntil(3s, [&simulation, &leaving] {
            return simulation.isWritable() && simulation.primary() != leaving;
        })) << describe(simulation);
        simulation.run(3s);
        EXPECT_NE(simulation.primary(), leaving) << describe(simulation);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against a group that stays without a primary because the daemon that fenced its servers died before the
// promotion of a server.
TEST(GroupMonitor, FenceWithoutPromotionIsRepaired)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.state("s2").fence(5, "dead");
        simulation.state("s3").fence(5, "dead");
        if (seed % 2 == 0) {
            simulation.state("s1").fence(5, "dead");
        }
        const core::Milliseconds start = simulation.now();
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] {
            return simulation.isWritable() && simulation.primaries.rbegin()->first > 5;
        })) << describe(simulation);
        EXPECT_LT(simulation.now() - start, 6s);
        simulation.run(1s);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against a service that stays without writes because the primary's home cannot reach the primary, while the
// other homes reach the primary and deny its failure.
TEST(GroupMonitor, HomeCutFromItsPrimaryReplacesItDespiteDenials)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.homes["home-s1"].unreachableServers = {"s1"};
        const core::Milliseconds start = simulation.now();
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] {
            return simulation.isWritable() && simulation.primary() != "s1";
        })) << describe(simulation);
        EXPECT_GE(simulation.now() - start, 2s) << "the other homes reach the primary, so it must get time";
        simulation.run(2s);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against a home that fences a minority of the servers. The home could not promote any of these servers,
// but the fence would stop their replication.
TEST(GroupMonitor, MinorityOfServersIsNeverFenced)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.setFaults("s1", {.down = true});
        simulation.setFaults("s2", {.down = true});
        simulation.run(10s);
        EXPECT_EQ(simulation.state("s3").fencedTerm(), 1) << describe(simulation);
        simulation.setFaults("s2", {});
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] { return simulation.isWritable(); })) << describe(simulation);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against a lost link between regions that leaves the larger side without a primary, or lets both sides
// acknowledge writes.
TEST(GroupMonitor, LargerSideOfARegionCutGetsThePrimary)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.setFaults("s1", {.cutFromReplicas = true});
        simulation.homes["home-s1"].unreachableServers = {"s2", "s3"};
        simulation.homes["home-s1"].unreachableHomes = {"home-s2", "home-s3"};
        simulation.homes["home-s2"].unreachableServers = {"s1"};
        simulation.homes["home-s3"].unreachableServers = {"s1"};
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] {
            return simulation.isWritable() && simulation.primary() != "s1";
        })) << describe(simulation);
        simulation.run(10s);
        EXPECT_EQ(simulation.primaries.size(), 2U) << describe(simulation);
        EXPECT_TRUE(simulation.state("s1").isPrimary());

        simulation.setFaults("s1", {});
        for (auto &[name, home] : simulation.homes) {
            home.unreachableServers.clear();
            home.unreachableHomes.clear();
        }
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] {
            return simulation.state("s1").log().lastTerm() == simulation.primaries.rbegin()->first;
        })) << describe(simulation);
        simulation.run(500ms);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against a group that stays without a primary because the homes that could confirm the failure are lost with
// the primary.
TEST(GroupMonitor, LoneHomeReplacesAKilledPrimary)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.homes["home-s1"].alive = false;
        simulation.homes["home-s2"].alive = false;
        simulation.setFaults("s1", {.down = true});
        EXPECT_TRUE(simulation.runUntil(6s, [&simulation] { return simulation.isWritable(); })) << describe(simulation);
        simulation.run(1s);
        simulation.checkAcknowledged();
        EXPECT_TRUE(simulation.violations.empty()) << describe(simulation);
    }
}

// Guards against an isolated home that replaces a primary which still replicates and may serve other homes.
TEST(GroupMonitor, LoneHomeKeepsAPrimaryThatReplicasReach)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulation simulation(seed);
        simulation.run(2s);
        simulation.homes["home-s3"].unreachableServers = {"s1"};
        simulation.homes["home-s3"].unreachableHomes = {"home-s1", "home-s2"};
        simulation.run(10s);
        EXPECT_EQ(simulation.primaries.size(), 1U) << describe(simulation);
        EXPECT_EQ(simulation.state("s2").fencedTerm(), 1) << describe(simulation);
    }
}

}
