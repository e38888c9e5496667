#include "pooling/slottracker.h"

#include <algorithm>

namespace endiveshore::pooling {

namespace {

/// Units sent beyond the server's slots, so that a slot that becomes free has a unit without waiting for a round trip.
constexpr unsigned UnitsSentAhead = 1;
/// Weight of the most recent unit in the moving average of the run time.
constexpr double AverageWeight = 0.05;
/// Average run time assumed until the first unit has ended.
constexpr std::chrono::milliseconds InitialAverageTime{50};
/// An answer counts as lost after this many times the average run time. If the server is in fact still working, it
/// queues the next unit or refuses it as busy.
constexpr double LostAnswerFactor = 2.5;
constexpr std::chrono::milliseconds MinimumLostAnswerTimeout{60};
constexpr std::chrono::milliseconds MaximumLostAnswerTimeout{350};
/// Units per slot that must have ended since a unit started before its answer counts as lost. A server that is merely
/// slow answers in order, so no later units overtake.
constexpr unsigned OvertakingUnitsPerSlot = 1;

}

SlotTracker::SlotTracker(unsigned slots)
    : slots(slots)
    , averageTime(InitialAverageTime)
{
}

void SlotTracker::setSlots(unsigned count)
{
    this->slots = count;
}

bool SlotTracker::hasFree() const
{
    return this->usedSlots < this->slots + UnitsSentAhead;
}

unsigned SlotTracker::inUse() const
{
    return this->usedSlots;
}

core::Duration SlotTracker::lostAnswerTimeout() const
{
    const auto typical = std::chrono::duration_cast<core::Duration>(LostAnswerFactor * this->averageTime);
    return std::clamp<core::Duration>(typical, MinimumLostAnswerTimeout, MaximumLostAnswerTimeout);
}

void SlotTracker::take(TicketId unit, core::TimePoint now)
{
    this->units.emplace(unit, Unit{.startedAt = now, .endedAtStart = this->endedUnits});
    ++this->usedSlots;
}

core::Duration SlotTracker::release(TicketId unit, core::TimePoint now)
{
    const auto found = this->units.find(unit);
    if (found == this->units.end()) {
        return core::Duration::zero();
    }
    const core::Duration used = std::min<core::Duration>(now - found->second.startedAt, MaximumLostAnswerTimeout);
    if (found->second.holdsSlot) {
        --this->usedSlots;
        this->averageTime += std::chrono::duration_cast<core::Duration>(AverageWeight * (used - this->averageTime));
    }
    this->units.erase(found);
    ++this->endedUnits;
    return used;
}

void SlotTracker::tick(core::TimePoint now)
{
    const std::uint64_t overtaken = static_cast<std::uint64_t>(OvertakingUnitsPerSlot) * this->slots;
    for (auto &[ticket, unit] : this->units) {
        if (unit.holdsSlot && this->endedUnits >= unit.endedAtStart + overtaken
            && now >= unit.startedAt + this->lostAnswerTimeout()) {
            unit.holdsSlot = false;
            --this->usedSlots;
        }
    }
}

}
