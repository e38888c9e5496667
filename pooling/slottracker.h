#pragma once

#include "pooling/admissionqueue.h"

#include <map>

namespace endiveshore::pooling {

/// Tracks the slots of one backend server that the units of this daemon use. A unit whose answer was lost would hold
/// its slot until its timeout, although the server already runs other work. Its slot is therefore released once enough
/// later units have overtaken it. Does no I/O.
class SlotTracker
{
public:
    explicit SlotTracker(unsigned slots);

    void setSlots(unsigned slots);

    /// True if a further unit may be sent to the server.
    bool hasFree() const;

    void take(TicketId unit, core::TimePoint now);

    /// Records the end of @p unit. Returns the slot time to charge for it; zero for an unknown unit.
    core::Duration release(TicketId unit, core::TimePoint now);

    /// Releases the slots of units whose answers count as lost. To be called before hasFree().
    void tick(core::TimePoint now);

    /// Number of units that hold a slot.
    unsigned inUse() const;

private:
    struct Unit
    {
        core::TimePoint startedAt;
        std::uint64_t endedAtStart = 0; ///< Value of `endedUnits` when this unit started.
        bool holdsSlot = true;
    };

    core::Duration lostAnswerTimeout() const;

    unsigned slots;
    unsigned usedSlots = 0;
    std::uint64_t endedUnits = 0;
    core::Duration averageTime; ///< Moving average of the run time of units whose answers did not count as lost.
    std::map<TicketId, Unit> units;
};

}
