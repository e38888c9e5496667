#pragma once

#include "core/time.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::confsync {

/// A daemon that has seen neither the store nor a majority of members for this long may miss withdrawn keys. Together
/// with the spread of a change it stays below the bound of 3 s for withdrawn keys.
inline constexpr std::chrono::milliseconds IsolationLimit{2'000};

/// Tells whether a daemon is cut off from the configuration of the fleet. Pure: all times are parameters. Times may
/// arrive out of order; the newest counts.
class FreshnessTracker
{
public:
    /// @p start counts as a confirmation, so that a daemon is not isolated while it makes its first contacts.
    explicit FreshnessTracker(std::string selfId, core::TimePoint start, core::Duration limit = IsolationLimit);

    /// The store confirmed at @p time that this daemon knows all changes.
    void storeConfirmed(core::TimePoint time);

    /// Member @p memberId answered at @p time.
    void memberSeen(std::string_view memberId, core::TimePoint time);

    /// A majority of members was seen at @p time, for callers that count themselves, as in fleets too large to hear
    /// from a majority directly within the limit.
    void majorityConfirmed(core::TimePoint time);

    /// Replaces the known members that count for a majority: live and suspected, with or without this daemon. A member
    /// that failed must stay in the list, or a daemon that is cut off would become its own majority.
    void setMembers(std::span<const std::string> memberIds);

    /// Newest time at which a majority of the known members, this daemon included, had been seen. TimePoint::min() if
    /// never; TimePoint::max() if this daemon alone is a majority.
    core::TimePoint lastMajority() const;

    core::TimePoint lastStoreConfirmation() const;

    bool isolated(core::TimePoint now) const;

private:
    std::string selfId;
    core::TimePoint start;
    core::Duration limit;
    core::TimePoint storeTime = core::TimePoint::min();
    core::TimePoint majorityTime = core::TimePoint::min();
    std::map<std::string, core::TimePoint, std::less<>> others; ///< Last contact by member.
};

}
