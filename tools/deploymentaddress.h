#pragma once

#include "net/asyncio.h"

#include <string>

namespace endiveshore::tools {

/// Loopback address on which all programs of a deployment listen. Outgoing connections have the source address
/// 127.0.0.1. Their ephemeral ports, including those in TIME_WAIT, therefore never conflict with the port that a server
/// binds.
inline constexpr const char *DeploymentAddress = "127.0.0.2";

inline net::TcpEndpoint deploymentEndpoint(int port)
{
    return {net::asio::ip::make_address(DeploymentAddress), static_cast<std::uint16_t>(port)};
}

}
