#pragma once

#include "confsync/relays.h"
#include "core/time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// Live daemon of a data centre, as known from its reports.
struct RelayCandidate
{
    std::string id;
    double processorShare = 0; ///< Part of one core.
    core::Milliseconds storeAge{}; ///< Time since the metadata store last answered the daemon.
};

/// Chooses the relays of @p dataCentre, which watch the metadata store for all its daemons. The load on the store thus
/// grows with the number of data centres, not of daemons. Relays are the first confsync::RelaysPerDataCentre of the
/// daemons that the store has answered recently, in rendezvous order, daemons with a large processor share first. If
/// the store has answered none of them recently, all candidates are relays, so that each tries to reach the store.
std::vector<std::string> chooseRelays(std::string_view dataCentre, std::span<const RelayCandidate> candidates);

}
