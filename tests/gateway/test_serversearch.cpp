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

// Guards against a statement that waits out its time at one server while another one is free.
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

// Guards against a statement that is held although every queue has refused it for all of its time.
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

// Guards against refusals while a primary is being replaced: nobody can run the statement now, somebody will.
TEST(ServerSearch, StatementWaitsWhileNoServerIsKnown)
{
    const ServerSearch tried = search();
    EXPECT_EQ(tried.next({}, Start).kind, SearchStep::Kind::Wait);
    EXPECT_EQ(tried.next({}, Start + 949ms).kind, SearchStep::Kind::Wait);
    EXPECT_EQ(tried.next({}, Start + 950ms).kind, SearchStep::Kind::Refuse);
}

// Guards against a primary that is given up because it failed a moment ago and nobody else may run the statement.
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

// Guards against replicas that lag while the primary is full: asking them again and again serves nobody.
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

// Guards against a busy server that every statement asks first.
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
