#pragma once

#include "net/httpclient.h"

#include <boost/asio/ip/address_v4.hpp>

#include <string>
#include <string_view>

namespace endiveshore::tools {

/// Loopback address of all processes of a deployment. Outgoing connections get ports of 127.0.0.1 from the ephemeral
/// range; on that address they would take ports that a deployment listens on.
constexpr std::string_view DeploymentHost = "127.0.0.2";

inline net::TcpEndpoint deploymentEndpoint(int port)
{
    return {boost::asio::ip::make_address_v4(DeploymentHost), static_cast<std::uint16_t>(port)};
}

}
