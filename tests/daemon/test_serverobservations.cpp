#include "daemon/serverobservations.h"

#include <gtest/gtest.h>

namespace endiveshore::daemon {

using namespace std::chrono_literals;

// Guards against sessions that spend most of their time in reads that hang, all at the server that last swallowed one.
TEST(ServerObservation, ServerThatFailedIsTriedByOneStatementAtATime)
{
    const core::TimePoint now(100s);
    ServerObservation observation;
    EXPECT_TRUE(mayRead(observation, now));
    observation.failedAt = now - 500ms;
    EXPECT_FALSE(mayRead(observation, now));
    observation.failedAt = now - 1'500ms;
    EXPECT_TRUE(mayRead(observation, now));
    observation.active = 1;
    EXPECT_FALSE(mayRead(observation, now));
    observation.failedAt = {};
    EXPECT_TRUE(mayRead(observation, now));
}

// Guards against sessions that spend most of their time in reads at a server that swallows every statement: each daemon
// tried such a server again every second, and each try took a caller two to three seconds.
TEST(ServerObservation, ServerThatKeepsFailingIsTriedLessOften)
{
    const core::TimePoint now(100s);
    ServerObservation observation;
    recordFailure(observation, now);
    EXPECT_FALSE(mayRead(observation, now + 900ms));
    EXPECT_TRUE(mayRead(observation, now + 1'100ms));
    recordFailure(observation, now + 2s);
    EXPECT_FALSE(mayRead(observation, now + 3'900ms));
    EXPECT_TRUE(mayRead(observation, now + 4'100ms));
    recordFailure(observation, now + 5s);
    EXPECT_FALSE(mayRead(observation, now + 8'900ms));
    for (int failure = 0; failure < 10; ++failure) {
        recordFailure(observation, now + 10s);
    }
    EXPECT_TRUE(mayRead(observation, now + 18'100ms));
}

}
