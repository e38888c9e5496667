#include "gateway/serversearch.h"

#include <gtest/gtest.h>

#include <vector>

namespace endiveshore::gateway {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);
constexpr core::Duration Spill = 150ms;

ServerSearch search()
{
    return ServerSearch({.deadline = Start + 950ms, .spillTimeout = Spill});
}

const std::vector<SearchCandidate> Three{
    {.server = "near"}, {.server = "far"}, {.server = "primary", .isPrimary = true}};

}

// Guards against a statement that waits for its whole timeout at one server while a different server is free.
TEST(ServerSearch, EveryServerIsTriedForAShortTimeFirst)
{
    ServerSearch tried = search();
    for (std::size_t index = 0; index < Three.size(); ++index) {
        const SearchStep step = tried.next(Three, Start);
        ASSERT_EQ(step.kind, SearchStep::Kind::Try);
        EXPECT_EQ(step.candidate, index);
        EXPECT_EQ(step.queueTimeout, Spill);
        tried.queueFull(Three[index].server, step.queueTimeout);
    }
    const SearchStep last = tried.next(Three, Start + 100ms);
    EXPECT_EQ(last.candidate, 0U);
    EXPECT_EQ(last.queueTimeout, 850ms);
}

// Guards against holding a statement until its deadline although the queues of all servers are too long for its
// remaining time.
TEST(ServerSearch, StatementThatEveryQueueRefusesIsRefusedAtOnce)
{
    ServerSearch tried = search();
    SearchStep step = tried.next(Three, Start);
    int tries = 0;
    while (step.kind == SearchStep::Kind::Try) {
        ++tries;
        tried.queueFull(Three[step.candidate].server, step.queueTimeout);
        step = tried.next(Three, Start + 1ms);
    }
    EXPECT_EQ(step.kind, SearchStep::Kind::Refuse);
    EXPECT_EQ(tries, 6);
}

// Guards against refusals during a failover: no server can run the statement now, but one will soon.
TEST(ServerSearch, StatementWaitsWhileNoServerIsKnown)
{
    const ServerSearch tried = search();
    EXPECT_EQ(tried.next({}, Start).kind, SearchStep::Kind::Wait);
    EXPECT_EQ(tried.next({}, Start + 949ms).kind, SearchStep::Kind::Wait);
    EXPECT_EQ(tried.next({}, Start + 950ms).kind, SearchStep::Kind::Refuse);
}

// Guards against refusing a statement because the primary failed recently, although no other server can run the
// statement.
TEST(ServerSearch, PenalisedPrimaryIsTheLastResort)
{
    const ServerSearch tried = search();
    const std::vector<SearchCandidate> failing{{.server = "near", .isPenalised = true},
                                               {.server = "primary", .isPrimary = true, .isPenalised = true}};
    const SearchStep step = tried.next(failing, Start);
    ASSERT_EQ(step.kind, SearchStep::Kind::Try);
    EXPECT_EQ(step.candidate, 1U);
    EXPECT_EQ(step.queueTimeout, 950ms);
}

// Guards against retrying lagging replicas in a loop while the queue of the primary is full.
TEST(ServerSearch, FullPrimaryAndReplicasBehindAreRefused)
{
    ServerSearch tried = search();
    const std::vector<SearchCandidate> lagging{{.server = "near", .isPenalised = true},
                                               {.server = "primary", .isPrimary = true}};
    const SearchStep step = tried.next(lagging, Start);
    EXPECT_EQ(step.candidate, 1U);
    EXPECT_EQ(step.queueTimeout, 950ms);
    tried.queueFull("primary", step.queueTimeout);
    EXPECT_EQ(tried.next(lagging, Start + 1ms).kind, SearchStep::Kind::Refuse);
}

// Guards against every statement being sent to a busy server first.
TEST(ServerSearch, BusyServerComesAfterOthers)
{
    const ServerSearch tried = search();
    const std::vector<SearchCandidate> candidates{{.server = "near", .isBusy = true}, {.server = "far"}};
    EXPECT_EQ(tried.next(candidates, Start).candidate, 1U);
    const std::vector<SearchCandidate> allBusy{{.server = "near", .isBusy = true}, {.server = "far", .isBusy = true}};
    EXPECT_EQ(tried.next(allBusy, Start).candidate, 0U);
    EXPECT_EQ(tried.next(allBusy, Start).queueTimeout, 950ms);
}

}
