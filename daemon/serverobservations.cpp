#include "daemon/serverobservations.h"

namespace endiveshore::daemon {

namespace {

/// A failed server is left out of read plans for this long; the failure may be temporary.
constexpr core::Milliseconds FailureMemory{1'000};

}

bool mayRead(const ServerObservation &observation, core::TimePoint now)
{
    if (observation.failedAt == core::TimePoint()) {
        return true;
    }
    return observation.active == 0 && now - observation.failedAt > FailureMemory;
}

}
