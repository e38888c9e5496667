#include "net/udpsocket.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace endiveshore::net {

using namespace std::chrono_literals;

// Guards against lost datagram boundaries, wrong sender addresses and wrong byte counts.
TEST(UdpSocket, DatagramsArriveWholeAndAreCounted)
{
    asio::io_context context;
    const UdpEndpoint firstEndpoint = parseUdpEndpoint("127.0.0.1:22020");
    const UdpEndpoint secondEndpoint = parseUdpEndpoint("127.0.0.1:22021");
    auto first = std::make_shared<UdpSocket>(context.get_executor());
    auto second = std::make_shared<UdpSocket>(context.get_executor());
    std::vector<std::string> seen;
    second->open(secondEndpoint, [&](const UdpEndpoint &from, std::string_view payload) {
        EXPECT_EQ(formatEndpoint(from), "127.0.0.1:22020");
        second->send(from, payload);
    });
    first->open(firstEndpoint, [&](const UdpEndpoint &, std::string_view payload) {
        seen.emplace_back(payload);
        if (seen.size() == 2) {
            first->close();
            second->close();
        }
    });
    // No socket is bound to this port; the ICMP error message must not end the receive loop.
    first->send(parseUdpEndpoint("127.0.0.1:22022"), "nobody");
    first->send(secondEndpoint, "one");
    first->send(secondEndpoint, std::string(1200, 'x'));
    context.run_for(5s);
    EXPECT_EQ(seen, (std::vector<std::string>{"one", std::string(1200, 'x')}));
    EXPECT_EQ(first->counters().bytesOut, 6U + 3U + 1200U);
    EXPECT_EQ(first->counters().bytesIn, 1203U);
    EXPECT_EQ(second->counters().datagramsIn, 2U);
}

}
