#include "net/asyncio.h"

#include "core/error.h"

#include <charconv>

namespace endiveshore::net {

TcpEndpoint parseEndpoint(std::string_view text)
{
    const std::optional<TcpEndpoint> endpoint = tryParseEndpoint(text);
    if (!endpoint) {
        throw core::Error(core::ResultCode::InvalidSetting, "not an address of the form ip:port: " + std::string(text));
    }
    return *endpoint;
}

std::optional<TcpEndpoint> tryParseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code addressError;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), addressError);
    if (addressError || parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size()) {
        return std::nullopt;
    }
    return TcpEndpoint(address, port);
}

}
