#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace endiveshore::core {

/// Point in the history of a metadata store. The store raises its era each time it comes back from an older copy of
/// its data; revisions of different eras are unrelated. A store that does not state its era is in era 0.
struct StorePoint
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StorePoint &) const = default; // NOLINT(modernize-use-nullptr)

    static constexpr unsigned RevisionBits = 42;
    static constexpr std::uint64_t MaximumRevision = (std::uint64_t(1) << RevisionBits) - 1;
    static constexpr std::uint64_t MaximumEra = (std::uint64_t(1) << (63U - RevisionBits)) - 1;

    /// Number that orders points as operator<=> does, and equals the revision in era 0. Entries and messages between
    /// daemons carry it, so that a daemon that knows no eras counts as being in era 0.
    constexpr std::int64_t order() const
    {
        return static_cast<std::int64_t>(std::min(this->era, MaximumEra) << RevisionBits
                                         | std::min(this->revision, MaximumRevision));
    }

    static constexpr StorePoint fromOrder(std::int64_t order)
    {
        const auto bits = static_cast<std::uint64_t>(std::max<std::int64_t>(0, order));
        return {.era = bits >> RevisionBits, .revision = bits & MaximumRevision};
    }
};

}
