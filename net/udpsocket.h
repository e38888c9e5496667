#pragma once

#include "net/asyncio.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace endiveshore::net {

using UdpEndpoint = asio::ip::udp::endpoint;

/// Parses "ip:port". Throws core::Error(InvalidSetting) for anything else; host names are not resolved.
UdpEndpoint parseUdpEndpoint(std::string_view text);

/// "ip:port" of @p endpoint.
std::string formatEndpoint(const UdpEndpoint &endpoint);

/// Totals since the socket was opened. Bytes are those of the payload, without IP and UDP headers.
struct UdpCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t sendFailures = 0; ///< Datagrams dropped because of a full socket buffer or another error.
};

/// UDP socket for small datagrams. All functions must be called on the thread of the socket's executor.
class UdpSocket : public std::enable_shared_from_this<UdpSocket>
{
public:
    using Receiver = std::function<void(const UdpEndpoint &from, std::string_view payload)>;

    explicit UdpSocket(const Executor &executor);

    /// Binds @p endpoint and passes every datagram to @p receiver until close(). Throws boost::system::system_error if
    /// the address is taken.
    void open(const UdpEndpoint &endpoint, Receiver receiver);

    /// Sends without waiting; a datagram that does not fit the socket's buffer is dropped and counted.
    void send(const UdpEndpoint &to, std::string_view payload);

    /// Calls @p observer with the receiver and the size of each datagram that is sent.
    void observeSent(std::function<void(const UdpEndpoint &to, std::size_t bytes)> observer);

    /// Stops receiving. Safe to call repeatedly.
    void close();

    const UdpCounters &counters() const;

private:
    static constexpr std::size_t MaxDatagramBytes = 64 * 1024;

    void receiveNext();

    asio::ip::udp::socket socket;
    Receiver receiver;
    std::function<void(const UdpEndpoint &to, std::size_t bytes)> sentObserver;
    UdpEndpoint sender;
    std::array<char, MaxDatagramBytes> buffer;
    UdpCounters totals;
};

}
