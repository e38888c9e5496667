#pragma once

#include "core/time.h"
#include "membership/member.h"
#include "net/asyncio.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Parts shared by the sources of Daemon.
namespace endiveshore::daemon {

// Keys of the gossip state.
inline constexpr std::string_view PrimaryStatePrefix = "primary/";
inline constexpr std::string_view DrainingStatePrefix = "draining/";
inline constexpr std::string_view LeavingServerStatePrefix = "leaving/";

/// "ip:port" of @p endpoint.
std::string endpointText(const net::TcpEndpoint &endpoint);

/// Milliseconds of the system clock. Rises with each start of a daemon: restarts of one daemon are seconds apart.
std::uint64_t startIncarnation();

/// Processor time of the calling thread in seconds.
double threadCpuSeconds();

/// True for an alive or suspect member.
bool isLive(const membership::Member &member);

}
