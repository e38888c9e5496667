#include "core/hashing.h"
#include "membership/homelease.h"
#include "membership/homemap.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace endiveshore::membership {

// Guards against a wait for the handover time although the previous home is alive and has released the server.
TEST(HomeLease, ReleasedServerIsUsableAtOnce)
{
    const core::TimePoint start = core::TimePoint() + std::chrono::hours(1);
    HomeLease lease("b");
    lease.heartbeat(start);
    lease.assign(start, "server", "a", false);
    lease.assign(start, "server", "b", true);
    EXPECT_FALSE(lease.mayAct(start, "server"));
    lease.release(start, "server", "other");
    EXPECT_FALSE(lease.mayAct(start, "server"));
    lease.release(start, "server", "a");
    EXPECT_TRUE(lease.mayAct(start, "server"));
}

// Guards against a release by an intermediate home that also ends the wait for the statements of an earlier home.
TEST(HomeLease, ReleaseDoesNotCoverEarlierHomes)
{
    const core::TimePoint start = core::TimePoint() + std::chrono::hours(1);
    HomeLease lease("b");
    lease.heartbeat(start);
    lease.assign(start, "server", "a", false);
    lease.assign(start, "server", "c", true);
    lease.assign(start, "server", "b", true);
    lease.release(start, "server", "c");
    EXPECT_FALSE(lease.mayAct(start, "server"));
}

// Guards against a takeover without a wait because of an old release, after which the previous home has taken the
// server back.
TEST(HomeLease, EarlyReleaseCountsForAShortTimeOnly)
{
    const core::TimePoint start = core::TimePoint() + std::chrono::hours(1);
    HomeLease lease("b");
    lease.heartbeat(start);
    lease.assign(start, "server", "a", false);
    lease.release(start, "server", "a");
    const core::TimePoint later = start + std::chrono::milliseconds(900);
    lease.heartbeat(later);
    lease.assign(later, "server", "b", true);
    EXPECT_FALSE(lease.mayAct(later, "server"));
}

using namespace std::chrono_literals;

namespace {

const std::vector<HomeRegion> Regions{{"asturias", {"oviedo", "gijon"}}, {"cantabria", {"santander"}}};

Member member(std::string id, std::string dataCentre, MemberState state = MemberState::Alive)
{
    const std::string region = dataCentre == "santander" ? "cantabria" : "asturias";
    return {.id = std::move(id), .address = "x", .dataCentre = std::move(dataCentre), .region = region, .state = state};
}

core::TimePoint at(core::Duration offset)
{
    return core::TimePoint(1'000s) + offset;
}

}

// Guards against a home in a remote data centre while a daemon in a nearer one is live, and against homes on dead or
// draining daemons.
TEST(HomeMap, PrefersTheDataCentreThenTheRegionThenAll)
{
    std::vector<Member> members{member("o1", "oviedo"),
                                member("o2", "oviedo", MemberState::Suspect),
                                member("g1", "gijon"),
                                member("s1", "santander"),
                                member("s2", "santander", MemberState::Dead)};
    const HomeServer server{"server-1", "oviedo"};
    EXPECT_EQ(HomeMap(members, Regions).homeOf(server).front(), 'o');
    EXPECT_EQ(HomeMap(members, Regions, {"o1"}).homeOf(server), "o2");
    members[0].state = MemberState::Left;
    members[1].state = MemberState::Dead;
    EXPECT_EQ(HomeMap(members, Regions).homeOf(server), "g1");
    members[2].state = MemberState::Dead;
    EXPECT_EQ(HomeMap(members, Regions).homeOf(server), "s1");
    EXPECT_EQ(HomeMap(members, {}).homeOf(server), "s1");
    members[3].state = MemberState::Dead;
    EXPECT_EQ(HomeMap(members, Regions).homeOf(server), "");
}

// Guards against homes that depend on the order of the members, and against the loss of a member that moves servers of
// other homes.
TEST(HomeMap, MovesOnlyTheServersOfALostMember)
{
    std::vector<Member> members;
    for (int index = 0; index < 12; ++index) {
        members.push_back(member("vm-" + std::to_string(index), index % 2 == 0 ? "oviedo" : "gijon"));
    }
    const HomeMap before(members, Regions);
    std::reverse(members.begin(), members.end());
    members[3].state = MemberState::Dead;
    const HomeMap after(members, Regions);
    int moved = 0;
    for (int index = 0; index < 300; ++index) {
        const HomeServer server{"server-" + std::to_string(index), "oviedo"};
        const std::string home = before.homeOf(server);
        if (home == members[3].id) {
            ++moved;
        } else {
            EXPECT_EQ(after.homeOf(server), home);
        }
    }
    EXPECT_GT(moved, 20);
    EXPECT_LT(moved, 90);
    const std::vector<HomeServer> group{{"a", "oviedo"}, {"b", "gijon"}, {"c", "santander"}};
    const std::vector<std::string> homes = before.homesOf("rota", group);
    EXPECT_GE(homes.size(), 2U);
    EXPECT_TRUE(std::is_sorted(homes.rbegin(), homes.rend(), [](const std::string &left, const std::string &right) {
        return core::rendezvousWeight("rota", left) < core::rendezvousWeight("rota", right);
    }));
    EXPECT_EQ(before.topCandidates("relay", "gijon", 2).size(), 2U);
    EXPECT_FALSE(before.ownerOf("workspace").empty());
}

// Guards against a takeover that does not wait for the statements of the previous home, or that waits although there is
// no previous home or the previous home has left.
TEST(HomeLease, WaitsUnlessThePreviousHomeReleased)
{
    HomeLease lease("me");
    lease.heartbeat(at(0s));
    lease.assign(at(0s), "alone", "me", false);
    EXPECT_TRUE(lease.mayAct(at(0s), "alone"));
    lease.assign(at(0s), "first", "me", true);
    lease.assign(at(0s), "dead", "other", true);
    lease.assign(at(0s), "gone", "leaver", true);
    for (core::Duration time = 0s; time <= 4s; time += 500ms) {
        EXPECT_FALSE(lease.heartbeat(at(time)));
        if (time == 3s) {
            lease.memberLeft("leaver");
            lease.assign(at(time), "dead", "me", true);
            lease.assign(at(time), "gone", "me", true);
        }
        EXPECT_EQ(lease.mayAct(at(time), "first"), time >= 1500ms);
        EXPECT_EQ(lease.mayAct(at(time), "gone"), time >= 3s);
        EXPECT_FALSE(lease.mayAct(at(time), "dead"));
        EXPECT_FALSE(lease.mayAct(at(time), "unknown"));
    }
    lease.heartbeat(at(4500ms));
    EXPECT_TRUE(lease.mayAct(at(4500ms), "dead"));
}

// Guards against a takeover without a wait because the previous home has left, while an earlier home may still act.
TEST(HomeLease, ReleaseOfAnIntermediateHomeDoesNotEndTheWait)
{
    HomeLease lease("me");
    lease.heartbeat(at(500ms));
    lease.assign(at(0s), "server", "first", false);
    lease.assign(at(1s), "server", "second", true);
    lease.memberLeft("second");
    lease.assign(at(1200ms), "server", "me", true);
    EXPECT_EQ(lease.actsFrom("server"), at(2500ms));
}

// Guards against a daemon that acts as a home after a pause during which other daemons took its homes over.
TEST(HomeLease, PauseLosesTheHomesUntilAPingIsAnswered)
{
    HomeLease lease("me");
    lease.heartbeat(at(0s));
    lease.assign(at(0s), "server", "me", false);
    EXPECT_TRUE(lease.mayAct(at(900ms), "server"));
    // While the control thread is paused, a running traffic thread sees the lease expire.
    EXPECT_FALSE(lease.mayAct(at(1s), "server"));
    EXPECT_TRUE(lease.heartbeat(at(1100ms)));
    EXPECT_FALSE(lease.mayAct(at(1100ms), "server"));
    EXPECT_FALSE(lease.confirm(at(1200ms), at(900ms)));
    EXPECT_TRUE(lease.confirm(at(1200ms), at(1150ms)));
    EXPECT_FALSE(lease.mayAct(at(1300ms), "server"));
    lease.heartbeat(at(2000ms));
    lease.heartbeat(at(2700ms));
    EXPECT_TRUE(lease.mayAct(at(2700ms), "server"));
}

// Guards against two daemons that act as the home of a server at the same time while members join, leave, die and
// pause. The test assumes that every daemon learns of each change within the handover wait.
TEST(HomeLease, NeverTwoActingHomesWithViewsThatLag)
{
    struct Daemon
    {
        std::unique_ptr<HomeLease> lease;
        bool running = false;
        core::TimePoint pausedUntil;
        core::TimePoint pausedSince;
        bool declaredDead = false; ///< Other daemons have declared this daemon dead during its pause.
        std::vector<Member> view;
        std::map<core::TimePoint, std::vector<std::pair<std::size_t, MemberState>>> pendingChanges;
    };
    constexpr std::size_t Count = 5;
    const HomeServer server{"server-1", "oviedo"};
    auto idOf = [](std::size_t index) { return "vm-" + std::to_string(index); };
    std::size_t actingSteps = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        core::TimePoint now = at(0s);
        std::vector<Daemon> daemons(Count);
        auto announce = [&](std::size_t index, MemberState state) {
            for (Daemon &daemon : daemons) {
                // Each change arrives within the bound, and changes of a member arrive in order.
                const core::Duration lag = std::chrono::milliseconds(random() % 1'400);
                core::TimePoint arrival = now + lag;
                for (const auto &[time, list] : daemon.pendingChanges) {
                    const bool earlier = std::any_of(
                        list.begin(), list.end(), [index](const auto &change) { return change.first == index; });
                    arrival = earlier ? std::max(arrival, time) : arrival;
                }
                daemon.pendingChanges[arrival].emplace_back(index, state);
            }
        };
        auto start = [&](std::size_t index) {
            Daemon &daemon = daemons[index];
            announce(index, MemberState::Alive);
            daemon.running = true;
            daemon.lease = std::make_unique<HomeLease>(idOf(index));
            daemon.pendingChanges.clear();
            daemon.view.clear();
            for (std::size_t other = 0; other < Count; ++other) {
                const MemberState state = daemons[other].running ? MemberState::Alive : MemberState::Dead;
                daemon.view.push_back(member(idOf(other), "oviedo", state));
            }
        };
        start(0);
        std::vector<core::TimePoint> quietUntil(Count, now);
        for (int step = 0; step < 6'000; ++step) {
            now += 10ms;
            const std::size_t chosen = random() % Count;
            if (random() % 100 == 0 && now >= quietUntil[chosen]) {
                Daemon &daemon = daemons[chosen];
                // All daemons learn of a change of a member before the next change of that member.
                quietUntil[chosen] = now + 6s;
                if (!daemon.running) {
                    start(chosen);
                } else if (random() % 3 == 0) {
                    daemon.pausedSince = now;
                    daemon.pausedUntil = now + std::chrono::milliseconds(random() % 3'500);
                } else {
                    const bool leaves = random() % 2 == 0 && now >= daemon.pausedUntil;
                    daemon.running = false;
                    announce(chosen, leaves ? MemberState::Left : MemberState::Dead);
                }
            }
            std::size_t acting = 0;
            for (std::size_t index = 0; index < Count; ++index) {
                Daemon &daemon = daemons[index];
                const bool paused = daemon.running && now < daemon.pausedUntil;
                if (paused != daemon.declaredDead && (!paused || now - daemon.pausedSince >= 1s)) {
                    daemon.declaredDead = paused;
                    if (daemon.running) {
                        announce(index, paused ? MemberState::Dead : MemberState::Alive);
                    }
                }
                if (!daemon.running || paused) {
                    continue;
                }
                if (daemon.lease->heartbeat(now)) {
                    daemon.lease->confirm(now, now);
                }
                while (!daemon.pendingChanges.empty() && daemon.pendingChanges.begin()->first <= now) {
                    for (const auto &[changed, state] : daemon.pendingChanges.begin()->second) {
                        if (changed == index) {
                            continue;
                        }
                        daemon.view[changed].state = state;
                        if (state == MemberState::Left) {
                            daemon.lease->memberLeft(idOf(changed));
                        } else if (state == MemberState::Alive) {
                            daemon.lease->memberReturned(idOf(changed));
                        }
                    }
                    daemon.pendingChanges.erase(daemon.pendingChanges.begin());
                }
                daemon.lease->assign(now, server.id, HomeMap(daemon.view, Regions).homeOf(server), true);
                acting += daemon.lease->mayAct(now, server.id) ? 1 : 0;
            }
            ASSERT_LE(acting, 1U) << "seed " << seed << " step " << step;
            actingSteps += acting;
        }
    }
    EXPECT_GT(actingSteps, 60U * 6'000U / 3);
}

}
