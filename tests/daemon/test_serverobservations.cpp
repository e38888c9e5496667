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

}
