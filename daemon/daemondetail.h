#pragma once

#include "core/time.h"
#include "membership/member.h"
#include "net/asyncio.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Helpers shared by the source files of Daemon.
namespace endiveshore::daemon {

// Key prefixes of the application state in gossip.
inline constexpr std::string_view PrimaryStatePrefix = "primary/";
inline constexpr std::string_view DrainingStatePrefix = "draining/";
inline constexpr std::string_view LeavingServerStatePrefix = "leaving/";

/// "ip:port" of @p endpoint.
std::string endpointText(const net::TcpEndpoint &endpoint);

/// Incarnation of this process: system time in milliseconds. Increases with each start of a daemon, since restarts of
/// one daemon are seconds apart.
std::uint64_t startIncarnation();

/// CPU time used by the calling thread, in seconds.
double threadCpuSeconds();

/// True if the member is alive or suspect, so neither dead nor left.
bool isLive(const membership::Member &member);

}
