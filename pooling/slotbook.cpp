#include "pooling/slotbook.h"

#include <algorithm>

namespace endiveshore::pooling {

namespace {

/// Units beyond the server's slots that are sent, so that a slot never waits for a round trip.
constexpr unsigned SendAhead = 1;
/// Weight of the newest unit in the average time.
constexpr double AverageWeight = 0.05;
/// Average before the first unit has ended.
constexpr std::chrono::milliseconds InitialTime{50};
/// A unit counts as lost after this many times the average. A server that is wrongly taken for free queues what comes
/// too early, or says that it is busy.
constexpr double PatienceFactor = 2.5;
constexpr std::chrono::milliseconds ShortestPatience{60};
constexpr std::chrono::milliseconds LongestPatience{350};
/// Units that must have ended after the start of one that counts as lost, per slot. A server that is merely slow
/// answers in order.
constexpr unsigned OvertakenRounds = 1;

}

SlotBook::SlotBook(unsigned slots)
    : slots(slots)
    , averageTime(InitialTime)
{
}

void SlotBook::setSlots(unsigned count)
{
    this->slots = count;
}

bool SlotBook::hasFree() const
{
    return this->counted < this->slots + SendAhead;
}

unsigned SlotBook::inUse() const
{
    return this->counted;
}

core::Duration SlotBook::patience() const
{
    const auto usual = std::chrono::duration_cast<core::Duration>(PatienceFactor * this->averageTime);
    return std::clamp<core::Duration>(usual, ShortestPatience, LongestPatience);
}

void SlotBook::take(TicketId unit, core::TimePoint now)
{
    this->units.emplace(unit, Unit{.since = now, .endedBefore = this->ended});
    ++this->counted;
}

core::Duration SlotBook::release(TicketId unit, core::TimePoint now)
{
    const auto found = this->units.find(unit);
    if (found == this->units.end()) {
        return core::Duration::zero();
    }
    const core::Duration used = std::min<core::Duration>(now - found->second.since, LongestPatience);
    if (found->second.isCounted) {
        --this->counted;
        this->averageTime += std::chrono::duration_cast<core::Duration>(AverageWeight * (used - this->averageTime));
    }
    this->units.erase(found);
    ++this->ended;
    return used;
}

void SlotBook::tick(core::TimePoint now)
{
    const std::uint64_t overtaken = static_cast<std::uint64_t>(OvertakenRounds) * this->slots;
    for (auto &[ticket, unit] : this->units) {
        if (unit.isCounted && this->ended >= unit.endedBefore + overtaken && now >= unit.since + this->patience()) {
            unit.isCounted = false;
            --this->counted;
        }
    }
}

}
