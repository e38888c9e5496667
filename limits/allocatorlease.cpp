#include "limits/allocatorlease.h"

#include <algorithm>
#include <vector>

namespace endiveshore::limits {

EndorsementTable::EndorsementTable(core::Duration period, core::TimePoint startedAt)
    : period(period)
    , startedAt(startedAt)
{
}

bool EndorsementTable::endorse(std::string_view workspace, std::string_view allocator, core::TimePoint now)
{
    if (now < this->startedAt + this->period) {
        return false;
    }
    const auto found = this->endorsements.find(workspace);
    if (found == this->endorsements.end()) {
        this->endorsements.emplace(workspace,
                                   Endorsement{.allocator = std::string(allocator), .until = now + this->period});
        return true;
    }
    Endorsement &current = found->second;
    if (current.allocator != allocator && now < current.until) {
        return false;
    }
    current.allocator = allocator;
    current.until = now + this->period;
    return true;
}

AllocatorLease::AllocatorLease(core::Duration period)
    : period(period)
{
}

void AllocatorLease::recordEndorsement(std::string_view member, core::TimePoint requestTime)
{
    const auto found = this->requestedAt.find(member);
    if (found == this->requestedAt.end()) {
        this->requestedAt.emplace(member, requestTime);
        return;
    }
    found->second = std::max(found->second, requestTime);
}

core::TimePoint AllocatorLease::heldUntil(std::size_t memberCount) const
{
    std::vector<core::TimePoint> times;
    times.reserve(this->requestedAt.size());
    for (const auto &[member, requestTime] : this->requestedAt) {
        times.push_back(requestTime);
    }
    return this->endorsedUntil(std::move(times), memberCount / 2 + 1);
}

core::TimePoint AllocatorLease::heldUntil(const WitnessSet &witnesses) const
{
    std::vector<core::TimePoint> times;
    times.reserve(witnesses.members.size());
    for (const std::string &member : witnesses.members) {
        const auto found = this->requestedAt.find(member);
        if (found != this->requestedAt.end()) {
            times.push_back(found->second);
        }
    }
    return this->endorsedUntil(std::move(times), witnesses.required);
}

core::TimePoint AllocatorLease::endorsedUntil(std::vector<core::TimePoint> times, std::size_t required) const
{
    if (times.size() < required) {
        return core::TimePoint::min();
    }
    // An endorsement lasts for one period from its request. The lease needs `required` endorsements, so the lease ends
    // with the oldest of the `required` newest endorsements.
    const auto decisive = times.begin() + static_cast<std::ptrdiff_t>(required - 1);
    std::nth_element(times.begin(), decisive, times.end(), std::greater<>());
    return *decisive + this->period;
}

}
