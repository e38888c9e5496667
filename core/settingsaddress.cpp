#include "core/settingsaddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace endiveshore::core {

std::string IpAddress::text() const
{
    return this->ip + ":" + std::to_string(this->port);
}

std::optional<IpAddress> parseIpAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    if (portText.empty() || portText.front() == '0') {
        return std::nullopt;
    }
    IpAddress address{.ip = std::string(text.substr(0, colon))};
    const char *end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    // An embedded zero byte would end the text early for inet_pton.
    in_addr binary{};
    if (address.ip.find('\0') != std::string::npos || inet_pton(AF_INET, address.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    return address;
}

}
