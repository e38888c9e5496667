#pragma once

#include "core/time.h"

namespace endiveshore::core {

/// Clock that also advances while the VM is suspended. Leases and the age of proofs of freshness are measured with this
/// clock, because the steady clock stops during a suspension while other daemons keep running.
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
