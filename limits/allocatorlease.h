#pragma once

#include "core/time.h"

#include "limits/witnesses.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace endiveshore::limits {

/// Member side of the allocator's lease: endorses at most one allocator per workspace at a time.
///
/// While the notification of a failure spreads, two daemons can both see a majority of live members. Only exclusive
/// endorsements by a majority, limited in time, keep two allocators from lending at the same time.
class EndorsementTable
{
public:
    /// Endorses no allocator for the first @p period, because a restarted member does not know which allocator it
    /// endorsed before the restart.
    EndorsementTable(core::Duration period, core::TimePoint startedAt);

    /// Endorses @p allocator for @p workspace for one period from @p now. Returns false during the first period after
    /// the start and while the endorsement of another allocator is valid.
    bool endorse(std::string_view workspace, std::string_view allocator, core::TimePoint now);

private:
    struct Endorsement
    {
        std::string allocator;
        core::TimePoint until;
    };

    core::Duration period;
    core::TimePoint startedAt;
    std::map<std::string, Endorsement, std::less<>> endorsements;
};

/// Allocator side of the lease for one workspace.
class AllocatorLease
{
public:
    explicit AllocatorLease(core::Duration period);

    /// Records the endorsement by @p member, which was requested at @p requestTime. The period counts from the request,
    /// so the lease ends before the member may endorse another allocator.
    void recordEndorsement(std::string_view member, core::TimePoint requestTime);

    /// Time until which more than half of @p memberCount members endorse this allocator; in the past if they do not.
    /// @p memberCount includes this daemon and all members that are unreachable but have not left.
    core::TimePoint heldUntil(std::size_t memberCount) const;

    /// Time until which the required number of @p witnesses endorse this allocator; in the past if they do not.
    /// Endorsements by other members do not count.
    core::TimePoint heldUntil(const WitnessSet &witnesses) const;

private:
    core::TimePoint endorsedUntil(std::vector<core::TimePoint> times, std::size_t required) const;

    core::Duration period;
    std::map<std::string, core::TimePoint, std::less<>> requestedAt;
};

}
