#pragma once

#include "net/asyncio.h"

#include <string>

namespace endiveshore::tools {

/// Loopback address of all servers of a deployment. Outgoing connections use 127.0.0.1, so that their ports, also those
/// in TIME_WAIT, cannot be in the way when a server binds a port of the ephemeral range.
inline constexpr const char *DeploymentAddress = "127.0.0.2";

inline net::TcpEndpoint deploymentEndpoint(int port)
{
    return {net::asio::ip::make_address(DeploymentAddress), static_cast<std::uint16_t>(port)};
}

}
