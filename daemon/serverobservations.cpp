#include "daemon/serverobservations.h"

#include <algorithm>

namespace endiveshore::daemon {

namespace {

/// A server is left out of read plans for this long after its first failure, which may be temporary, and for twice as
/// long after each further one.
constexpr core::Milliseconds FirstFailureMemory{1'000};
/// Number of failures after which the time no longer grows: a server that is back is tried within 8 s.
constexpr unsigned MaximumDoublings = 3;

core::Milliseconds failureMemory(unsigned failures)
{
    const unsigned doublings = std::min(failures == 0 ? 0 : failures - 1, MaximumDoublings);
    return FirstFailureMemory * (1 << doublings);
}

}

void recordFailure(ServerObservation &observation, core::TimePoint now)
{
    observation.failedAt = now;
    ++observation.failures;
}

bool mayRead(const ServerObservation &observation, core::TimePoint now)
{
    if (observation.failedAt == core::TimePoint()) {
        return true;
    }
    return observation.active == 0 && now - observation.failedAt > failureMemory(observation.failures);
}

}
