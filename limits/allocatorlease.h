#pragma once

#include "core/time.h"

#include "limits/witnesses.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace endiveshore::limits {

/// Member side of the allocator's lease: supports at most one allocator per workspace at a time.
///
/// Two daemons can both see a majority of live members while the news of a failure spreads. Only exclusive support by a
/// majority, bounded in time, keeps two allocators from lending at the same time.
class EndorsementTable
{
public:
    /// A restarted member does not know whom it supported, so it supports nobody for the first period.
    EndorsementTable(core::Duration period, core::TimePoint startedAt);

    /// Supports @p allocator for @p workspace for one period from @p now, unless another one is supported.
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

    /// Records the support of @p member, asked for at @p requestTime. The asking time counts, so the lease ends before
    /// the member may support another allocator.
    void recordEndorsement(std::string_view member, core::TimePoint requestTime);

    /// Time until which more than half of @p memberCount members support this allocator; in the past if they do not.
    /// @p memberCount includes this daemon and all members that are unreachable but have not left.
    core::TimePoint heldUntil(std::size_t memberCount) const;

    /// Time until which enough of @p witnesses support this allocator. Support of other members does not count.
    core::TimePoint heldUntil(const WitnessSet &witnesses) const;

private:
    core::TimePoint supportedUntil(std::vector<core::TimePoint> times, std::size_t required) const;

    core::Duration period;
    std::map<std::string, core::TimePoint, std::less<>> requestedAt;
};

}
