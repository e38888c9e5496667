#include "tests/pooling/overload.h"

#include <gtest/gtest.h>

namespace endiveshore::pooling::overload {

namespace {

/// What a primary serves while its replicas lag beyond the accepted age: bookings, lookups that accept old data, and
/// session reads, of eight workspaces of which a few are large.
Load laggingReplicas(double overload, Milliseconds length, std::uint64_t seed)
{
    return {
        .kinds
        = {{.priority = queueing::Priority::Write, .part = 0.15, .meanWorkMs = 11, .objective = 800ms, .hold = 950ms},
           {.priority = queueing::Priority::StaleRead,
            .part = 0.15,
            .meanWorkMs = 55,
            .objective = 1'200ms,
            .hold = 2'850ms},
           {.priority = queueing::Priority::Read, .part = 0.7, .meanWorkMs = 33, .objective = 1'500ms, .hold = 950ms}},
        .workspaceParts = {0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05},
        .slots = 5,
        .overload = overload,
        .length = length,
        .after = 6'000ms,
        .seed = seed};
}

Outcome simulate(double overload, Milliseconds length)
{
    constexpr std::uint64_t Seeds = 5;
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Load load = laggingReplicas(overload, length, seed);
        sum += Simulation(load, AdmissionQueue(load.slots)).run();
    }
    return sum;
}

double served(const Tally &tally)
{
    return 1 - tally.part(tally.refused);
}

}

// Load: 1.3 times the slots of a primary for 6 s, as when both replicas of a database lag. The excess, 1.8 s of the
// slots, is less than the callers' time, so nearly everybody is to be served. Guards against refusals of callers who
// could have waited, and against urgent statements that pay for reads that can wait.
TEST(Overload, ShortOverloadIsMetByWhatCanWait)
{
    const Outcome outcome = simulate(1.3, 6'000ms);
    EXPECT_GE(served(outcome.all), 0.95);
    EXPECT_GE(outcome.all.part(outcome.all.withinObjective), 0.85);
    EXPECT_GE(served(outcome.kinds[0]), 0.999);
    for (const Tally &workspace : outcome.workspaces) {
        EXPECT_GE(served(workspace), 0.9);
    }
}

// Load: 1.6 times the slots for 6 s. More is asked than callers' time can bridge: the slots' time during and after the
// overload allows about nine tenths. Guards against slots that idle after callers were sent away too soon.
TEST(Overload, LongerOverloadIsServedAsFarAsTheSlotsReach)
{
    const Outcome outcome = simulate(1.6, 6'000ms);
    EXPECT_GE(served(outcome.all), 0.88);
    EXPECT_GE(served(outcome.kinds[0]), 0.999);
    EXPECT_GE(outcome.all.part(outcome.all.withinObjective), 0.7);
}

// Load: six times the slots for 1.2 s, as when all callers come back after a restart. Guards against a queue that sends
// most of them away although the slots are free a moment later.
TEST(Overload, ReturningCallersAreServedAfterTheRush)
{
    const Outcome outcome = simulate(6, 1'200ms);
    EXPECT_GE(served(outcome.all), 0.65);
    EXPECT_GE(served(outcome.kinds[0]), 0.999);
}

}
