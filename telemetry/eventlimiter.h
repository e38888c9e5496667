#pragma once

#include "core/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace endiveshore::telemetry {

/// Rate limit and number of suppressed lines of one event type. Lock-free.
class EventType
{
public:
    explicit EventType(std::string_view name);

    /// True if a line may be written at @p now with at most @p linesPerSecond and a burst of one second.
    bool admit(core::TimePoint now, double linesPerSecond);

    void countSuppressed();

    /// Returns the number of lines suppressed since the last call.
    std::uint64_t takeSuppressed();

    const std::string name;

private:
    std::atomic<std::int64_t> burstRestoredNs{0}; ///< Time at which the full burst is available again.
    std::atomic<std::uint64_t> suppressed{0};
};

/// Event types of a log by name. Lookup and insertion are lock-free, because traffic threads write lines.
class EventTypeTable
{
public:
    EventTypeTable() = default;
    ~EventTypeTable();
    EventTypeTable(const EventTypeTable &) = delete;
    EventTypeTable &operator=(const EventTypeTable &) = delete;

    /// Returns the event type @p name, which is added if new. All types beyond the capacity share the type "other".
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
