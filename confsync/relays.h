#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::confsync {

/// Members per data centre that watch the store. Two, so that one failure does not delay a change.
inline constexpr std::size_t RelaysPerDataCentre = 2;

/// The relays of @p dataCentre: its members of highest rendezvous rank, best first. @p liveMembers are the live members
/// of that data centre in any order; members that leave must not be among them. Fewer live members give fewer relays.
std::vector<std::string> selectRelays(std::string_view dataCentre, std::span<const std::string> liveMembers);

/// True if @p memberId is a relay.
bool isRelay(std::string_view memberId, std::string_view dataCentre, std::span<const std::string> liveMembers);

}
