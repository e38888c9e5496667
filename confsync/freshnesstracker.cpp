#include "confsync/freshnesstracker.h"

#include <algorithm>
#include <vector>

namespace endiveshore::confsync {

FreshnessTracker::FreshnessTracker(std::string selfId, core::TimePoint start, core::Duration limit)
    : selfId(std::move(selfId))
    , start(start)
    , limit(limit)
{
}

void FreshnessTracker::storeConfirmed(core::TimePoint time)
{
    this->storeTime = std::max(this->storeTime, time);
}

void FreshnessTracker::memberSeen(std::string_view memberId, core::TimePoint time)
{
    const auto found = this->others.find(memberId);
    if (found != this->others.end()) {
        found->second = std::max(found->second, time);
    }
}

void FreshnessTracker::majorityConfirmed(core::TimePoint time)
{
    this->majorityTime = std::max(this->majorityTime, time);
}

void FreshnessTracker::setMembers(std::span<const std::string> memberIds)
{
    const std::set<std::string_view> wanted(memberIds.begin(), memberIds.end());
    std::erase_if(this->others, [&wanted](const auto &item) { return !wanted.contains(item.first); });
    for (const std::string &memberId : memberIds) {
        if (memberId != this->selfId) {
            this->others.try_emplace(memberId, core::TimePoint::min());
        }
    }
}

core::TimePoint FreshnessTracker::lastMajority() const
{
    const std::size_t members = this->others.size() + 1;
    const std::size_t neededOthers = members / 2;
    if (neededOthers == 0) {
        return core::TimePoint::max();
    }
    std::vector<core::TimePoint> times;
    times.reserve(this->others.size());
    for (const auto &[memberId, time] : this->others) {
        times.push_back(time);
    }
    const auto needed = times.begin() + static_cast<std::ptrdiff_t>(neededOthers) - 1;
    std::nth_element(times.begin(), needed, times.end(), std::greater<>());
    return std::max(*needed, this->majorityTime);
}

core::TimePoint FreshnessTracker::lastStoreConfirmation() const
{
    return this->storeTime;
}

bool FreshnessTracker::isolated(core::TimePoint now) const
{
    const core::TimePoint newest = std::max({this->start, this->storeTime, this->lastMajority()});
    // Does not subtract `newest`, which would overflow for the special values of lastMajority().
    return newest < now - this->limit;
}

}
