#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace endiveshore::core {

/// Rank of a request among the priorities that operators give to routes. 0 is the most urgent.
using PriorityRank = std::uint8_t;

/// Number of ranks that are told apart. Requests of lower priority share the last rank.
inline constexpr std::size_t PriorityRanks = 8;

/// Rank of a configured @p priority, where 0 is the highest.
constexpr PriorityRank priorityRank(std::int64_t priority)
{
    return static_cast<PriorityRank>(std::clamp<std::int64_t>(priority, 0, PriorityRanks - 1));
}

}
