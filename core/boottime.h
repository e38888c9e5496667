#pragma once

#include "core/time.h"

namespace endiveshore::core {

/// Clock that also counts the time during which the VM was suspended. Proofs of freshness and leases are measured with
/// it: the steady clock stands still while the VM is suspended and other daemons go on.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now();
};

using BootTime = BootClock::time_point;

}
