#include "telemetry/eventlimiter.h"

#include "core/hashing.h"

#include <algorithm>
#include <memory>

namespace endiveshore::telemetry {

EventType::EventType(std::string_view name)
    : name(name)
{
}

bool EventType::admit(core::TimePoint now, double linesPerSecond)
{
    constexpr std::int64_t SecondNs = 1'000'000'000;
    const std::int64_t nowNs = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
    const auto intervalNs = static_cast<std::int64_t>(SecondNs / linesPerSecond);
    // A rate below one line per second still has a burst of one line.
    const std::int64_t burstNs = std::max(SecondNs, intervalNs);
    std::int64_t current = this->burstRestoredNs.load(std::memory_order_relaxed);
    while (true) {
        const std::int64_t next = std::max(current, nowNs) + intervalNs;
        if (next - nowNs > burstNs) {
            return false;
        }
        if (this->burstRestoredNs.compare_exchange_weak(current, next, std::memory_order_relaxed)) {
            return true;
        }
    }
}

void EventType::countSuppressed()
{
    this->suppressed.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t EventType::takeSuppressed()
{
    return this->suppressed.exchange(0, std::memory_order_relaxed);
}

EventTypeTable::~EventTypeTable()
{
    for (std::atomic<EventType *> &slot : this->slots) {
        delete slot.load(std::memory_order_acquire);
    }
}

EventType &EventTypeTable::find(std::string_view name)
{
    const std::size_t first = core::stableHash(name) % Capacity;
    std::unique_ptr<EventType> added;
    for (std::size_t step = 0; step < Capacity; ++step) {
        std::atomic<EventType *> &slot = this->slots[(first + step) % Capacity];
        EventType *current = slot.load(std::memory_order_acquire);
        if (current == nullptr) {
            if (!added) {
                added = std::make_unique<EventType>(name);
            }
            if (slot.compare_exchange_strong(current, added.get(), std::memory_order_acq_rel)) {
                return *added.release();
            }
        }
        // A failed exchange has loaded the type that another thread added.
        if (current->name == name) {
            return *current;
        }
    }
    return this->overflow;
}

}
