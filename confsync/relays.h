#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::confsync {

/// Number of members per data centre that watch the store. With two relays, one failure does not delay a change.
inline constexpr std::size_t RelaysPerDataCentre = 2;

/// The relays of @p dataCentre: its members of highest rendezvous rank, in descending order. @p liveMembers are the
/// live members of the data centre in any order, without members that are leaving. The result is smaller than
/// RelaysPerDataCentre if there are fewer live members.
std::vector<std::string> selectRelays(std::string_view dataCentre, std::span<const std::string> liveMembers);

/// True if @p memberId is a relay of @p dataCentre.
bool isRelay(std::string_view memberId, std::string_view dataCentre, std::span<const std::string> liveMembers);

}
