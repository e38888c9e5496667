#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::core {

/// IPv4 address and port in canonical text form, so that equal addresses have equal texts.
struct IpAddress
{
    std::string ip;
    std::uint16_t port = 0;

    /// "ip:port".
    std::string text() const;

    bool operator==(const IpAddress &) const = default;
};

/// Parses "ip:port" with a port from 1 to 65535. Host names, IPv6, leading zeros and surrounding blanks are rejected.
std::optional<IpAddress> parseIpAddress(std::string_view text);

}
