#pragma once

#include "core/time.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::confsync {

/// A daemon that has had contact neither with the store nor with a majority of members for this time counts as
/// isolated, because it may still accept withdrawn keys. The limit plus the time in which a change spreads must stay
/// below 3 s, the bound for withdrawn keys.
inline constexpr std::chrono::milliseconds IsolationLimit{2'000};

/// Tells whether a daemon is cut off from the configuration of the fleet. Reads no clock: all times are parameters.
/// Times may arrive out of order; the newest time counts.
class FreshnessTracker
{
public:
    /// @p start counts as a confirmation, so that a daemon is not isolated until it has had time for its first
    /// contacts.
    explicit FreshnessTracker(std::string selfId, core::TimePoint start, core::Duration limit = IsolationLimit);

    /// Records that the store confirmed at @p time that this daemon knows all changes.
    void storeConfirmed(core::TimePoint time);

    /// Records that member @p memberId answered at @p time.
    void memberSeen(std::string_view memberId, core::TimePoint time);

    /// Records contact with a majority of members at @p time. For callers that determine the majority themselves, for
    /// example because the fleet is too large for direct contact with a majority within the limit.
    void majorityConfirmed(core::TimePoint time);

    /// Replaces the known members of which a majority is counted: live and suspected members, with or without this
    /// daemon. A failed member must remain in the list; otherwise a daemon that is cut off would become a majority by
    /// itself.
    void setMembers(std::span<const std::string> memberIds);

    /// Newest time at or after which a majority of the known members, including this daemon, has answered.
    /// TimePoint::min() if a majority never answered; TimePoint::max() if this daemon alone is a majority.
    core::TimePoint lastMajority() const;

    core::TimePoint lastStoreConfirmation() const;

    bool isolated(core::TimePoint now) const;

private:
    std::string selfId;
    core::TimePoint start;
    core::Duration limit;
    core::TimePoint storeTime = core::TimePoint::min();
    core::TimePoint majorityTime = core::TimePoint::min();
    std::map<std::string, core::TimePoint, std::less<>> others; ///< Time of the last contact by member.
};

}
