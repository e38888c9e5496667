#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::limits {

/// Members whose support an allocator needs for its lease on one workspace.
struct WitnessSet
{
    std::vector<std::string> members;
    std::size_t required = 0; ///< Witnesses that must support the allocator.
};

/// Fleets up to this size use all members as witnesses.
inline constexpr std::size_t MaximumWitnesses = 7;

/// Support needed in larger fleets. Two daemons whose witness sets differ in up to two members cannot both have five
/// supporters, as their sets hold nine members together. Two witnesses may fail.
inline constexpr std::size_t RequiredWitnesses = 5;

/// Witnesses of @p workspace: all members and a majority of them in small fleets, else the members of highest
/// rendezvous weight. Keeps the cost of a lease independent of the number of daemons.
WitnessSet witnessesOf(std::string_view workspace, std::span<const std::string> members);

}
