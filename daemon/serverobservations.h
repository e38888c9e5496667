#pragma once

#include "core/time.h"
#include "session/logposition.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveshore::daemon {

/// State of a backend server as seen in its answers. Kept per traffic thread. Only a hint for routing, since the server
/// checks the required position itself.
struct ServerObservation
{
    std::uint64_t applied = 0; ///< Position that the server has applied.
    core::Duration lag{};
    std::vector<session::TermStart> termStarts;
    core::TimePoint observedAt; ///< Time of the last answer; TimePoint() if there was none.
    core::TimePoint failedAt; ///< Time of the last failed attempt; TimePoint() if there was none.
    unsigned failures = 0; ///< Failed attempts since the last answer.
    int active = 0; ///< Statements sent by this thread and not yet answered.
};

/// Records a failed attempt at @p now.
void recordFailure(ServerObservation &observation, core::TimePoint now);

/// True if reads may be sent to the server. After a failed attempt the server is left out for a while, longer with each
/// further failure, and then tried by one statement at a time until it has answered, so that a server that swallows
/// statements holds up few of them.
bool mayRead(const ServerObservation &observation, core::TimePoint now);

/// Observations by server key.
using ServerObservations = std::unordered_map<std::string, ServerObservation>;

}
