#include "configurationhistory.h"

#include <gtest/gtest.h>

namespace endiveshore::tests {

using namespace std::chrono_literals;

namespace {

/// Version 1 from the start, version 2 acknowledged at 10 s.
ConfigurationHistory historyOf(Probe probe)
{
    ConfigurationHistory history;
    history.changes
        = {{.version = 1, .sent = 0ms, .acknowledged = 10ms}, {.version = 2, .sent = 9'990ms, .acknowledged = 10s}};
    probe.answered = probe.sent + 20ms;
    history.probes = {probe};
    return history;
}

std::size_t countBroken(const ConfigurationHistory &history)
{
    return brokenPromises(history, HistoryBounds()).size();
}

}

// Guards against a checker that accepts a request handled by a replaced version after the deadline.
TEST(ConfigurationHistory, OldVersionAfterTheDeadlineIsReported)
{
    EXPECT_EQ(countBroken(historyOf({.version = 1, .served = true, .sent = 13'900ms})), 0U);
    EXPECT_EQ(countBroken(historyOf({.version = 1, .served = true, .sent = 14'100ms})), 1U);
}

// Guards against a checker that accepts a route which was added and is not served.
TEST(ConfigurationHistory, MissingVersionAfterTheDeadlineIsReported)
{
    EXPECT_EQ(countBroken(historyOf({.version = 2, .served = false, .sent = 13'900ms})), 0U);
    EXPECT_EQ(countBroken(historyOf({.version = 2, .served = false, .sent = 14'100ms})), 1U);
    EXPECT_EQ(countBroken(historyOf({.version = 2, .served = true, .sent = 14'100ms})), 0U);
}

// Guards against reports about daemons that a disturbance excuses, and against excuses that last too long.
TEST(ConfigurationHistory, DisturbancesExcuseOnlyTheirDaemonAndTime)
{
    ConfigurationHistory history = historyOf({.daemon = 1, .version = 1, .served = true, .sent = 16s});
    history.disturbances = {{.daemon = 1, .what = "suspended", .from = 9s, .until = 11'500ms}};
    EXPECT_EQ(countBroken(history), 0U);
    history.disturbances.front().until = 10'900ms;
    EXPECT_EQ(countBroken(history), 1U);
    history.disturbances.front() = {.daemon = 0, .what = "suspended", .from = 9s, .until = 15s};
    EXPECT_EQ(countBroken(history), 1U);
    history.disturbances.front().daemon = std::nullopt;
    EXPECT_EQ(countBroken(history), 0U);
}

// Guards against a checker that accepts a process which goes back to an older version, also while it is disturbed.
TEST(ConfigurationHistory, OlderVersionOfTheSameProcessIsReported)
{
    ConfigurationHistory history = historyOf({.version = 1, .served = true, .sent = 11s});
    history.disturbances = {{.what = "store down", .from = 0ms, .until = 20s}};
    history.probes.push_back({.version = 2, .served = true, .sent = 10'100ms, .answered = 10'120ms});
    EXPECT_EQ(countBroken(history), 1U);
    history.probes.front().incarnation = 1;
    EXPECT_EQ(countBroken(history), 0U);
}

}
