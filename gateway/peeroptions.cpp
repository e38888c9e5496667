#include "gateway/peeroptions.h"

namespace endiveshore::gateway {

namespace {

/// A peer that does not accept a connection within this time is avoided.
constexpr std::chrono::milliseconds PeerConnectTimeout{400};
constexpr std::chrono::milliseconds PeerPing{300};

}

net::PeerClientOptions peerClientOptions(const RegionMeter *meter)
{
    net::PeerClientOptions options;
    options.connectTimeout = PeerConnectTimeout;
    options.session.pingAfter = PeerPing;
    options.session.pingTimeout = PeerPing;
    if (meter != nullptr) {
        options.onExchanged = [meter](const net::TcpEndpoint &peer, std::string_view target, std::size_t bytes) {
            meter->addExchange(target, peer.address(), bytes);
        };
    }
    return options;
}

}
