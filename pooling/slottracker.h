#pragma once

#include "pooling/admissionqueue.h"

#include <map>

namespace endiveshore::pooling {

/// Counts the slots of one backend server that the units of this daemon use. A unit whose answer is lost would keep its
/// slot until its time limit, though the server has long gone on; it is given up once later units have overtaken it.
/// Pure.
class SlotTracker
{
public:
    explicit SlotTracker(unsigned slots);

    void setSlots(unsigned slots);

    /// True if another unit may be sent.
    bool hasFree() const;

    void take(TicketId unit, core::TimePoint now);

    /// The unit has ended. Returns the slot time to charge for it.
    core::Duration release(TicketId unit, core::TimePoint now);

    /// Gives up the slots of units whose answers count as lost. To be called before hasFree().
    void tick(core::TimePoint now);

    /// Units that count as using a slot.
    unsigned inUse() const;

private:
    struct Unit
    {
        core::TimePoint startedAt;
        std::uint64_t endedAtStart = 0; ///< Units that had ended when this one started.
        bool holdsSlot = true;
    };

    core::Duration lostAnswerTimeout() const;

    unsigned slots;
    unsigned usedSlots = 0;
    std::uint64_t endedUnits = 0;
    core::Duration averageTime; ///< Of units that were not given up.
    std::map<TicketId, Unit> units;
};

}
