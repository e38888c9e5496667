#pragma once

#include "core/time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// Daemons per data centre that watch the metadata store. The others get its changes from them, so the calls to the
/// store grow with the data centres and not with the daemons.
inline constexpr std::size_t RelaysPerDataCentre = 3;

/// A live daemon of one data centre, as known from its reports.
struct RelayCandidate
{
    std::string id;
    double processorShare = 0; ///< Of one core.
    core::Milliseconds storeAge{}; ///< Since the metadata store answered it last.
};

/// The relays of @p dataCentre: daemons that the store has answered lately, those with much processor time before weak
/// ones, in rendezvous order. Without any such daemon all candidates are relays, so that each tries for itself.
std::vector<std::string> chooseRelays(std::string_view dataCentre, std::span<const RelayCandidate> candidates);

}
