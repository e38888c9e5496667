#pragma once

#include "core/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace endiveshore::telemetry {

/// Rate limit and count of lines left out of one event type. Lock-free.
class EventType
{
public:
    explicit EventType(std::string_view name);

    /// True if a line may be written at @p now with at most @p linesPerSecond and a burst of one second.
    bool admit(core::TimePoint now, double linesPerSecond);

    void countSuppressed();

    /// Lines left out since the last call.
    std::uint64_t takeSuppressed();

    const std::string name;

private:
    std::atomic<std::int64_t> nextFreeNs{0}; ///< When the burst is fully available again.
    std::atomic<std::uint64_t> suppressed{0};
};

/// The event types of a log by name. Finding and adding are lock-free, because lines are written on traffic threads.
class EventTypes
{
public:
    EventTypes() = default;
    ~EventTypes();
    EventTypes(const EventTypes &) = delete;
    EventTypes &operator=(const EventTypes &) = delete;

    /// Event type @p name, added if it is new. All types beyond the capacity share one.
    EventType &find(std::string_view name);

    template<typename Visit>
    void forEach(Visit visit)
    {
        for (std::atomic<EventType *> &slot : this->slots) {
            if (EventType *type = slot.load(std::memory_order_acquire)) {
                visit(*type);
            }
        }
        visit(this->overflow);
    }

private:
    static constexpr std::size_t Capacity = 256;

    std::array<std::atomic<EventType *>, Capacity> slots{};
    EventType overflow{"other"};
};

}
