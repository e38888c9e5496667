#pragma once

#include "core/time.h"
#include "session/logposition.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveshore::daemon {

/// What the answers of a backend server have shown about it. Kept per traffic thread; only a hint for routing, since
/// the server checks the required position itself.
struct ServerObservation
{
    std::uint64_t applied = 0;
    core::Duration lag{};
    std::vector<session::TermStart> termStarts;
    core::TimePoint observedAt;
    core::TimePoint failedAt; ///< Last failed attempt; epoch if none.
    int active = 0; ///< Statements sent by this thread and not yet answered.
};

/// Observations by server key.
using ServerObservations = std::unordered_map<std::string, ServerObservation>;

}
