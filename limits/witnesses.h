#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::limits {

/// Members whose endorsements an allocator needs for its lease on a workspace.
struct WitnessSet
{
    std::vector<std::string> members;
    std::size_t required = 0; ///< Number of witnesses that must endorse the allocator.
};

/// Number of witnesses per workspace. Fleets of up to this size use all members.
inline constexpr std::size_t MaximumWitnesses = 7;

/// Endorsements needed in larger fleets. Two daemons whose witness sets differ in up to two members cannot both have
/// five endorsements, because their sets hold nine members together. Two witnesses may fail.
inline constexpr std::size_t RequiredWitnesses = 5;

/// Witnesses of @p workspace: in small fleets all members, with a majority required; in larger fleets the
/// MaximumWitnesses members of highest rendezvous weight, so that the cost of a lease does not grow with the number of
/// daemons.
WitnessSet witnessesOf(std::string_view workspace, std::span<const std::string> members);

}
