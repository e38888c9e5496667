#pragma once

#include "membership/gossipmember.h"
#include "net/udpsocket.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace endiveshore::daemon {

struct GossipServiceOptions
{
    membership::GossipOptions gossip; ///< The address must be that of `listen`, as others see it.
    net::UdpEndpoint listen;
    core::Duration tickInterval = std::chrono::milliseconds(50);
};

/// Called on the control thread. They may call the service again.
struct GossipCallbacks
{
    std::function<void(const membership::MemberEvent &event)> onMember = {};
    std::function<void(const membership::RevisionUpdate &rise)> onRevision = {};
    std::function<void(const membership::StateUpdate &rise)> onState = {};
};

/// Binds the gossip membership to a UDP socket and a timer of the control thread. Not thread-safe.
class GossipService : public std::enable_shared_from_this<GossipService>
{
public:
    GossipService(const net::Executor &executor, GossipServiceOptions options, GossipCallbacks callbacks);

    /// Binds the socket and starts to gossip. Throws boost::system::system_error if the address is taken.
    void start();

    /// Announces that this daemon leaves; afterwards it is silent.
    void leave();

    /// Closes the socket without an announcement.
    void stop();

    void setSeeds(std::vector<std::string> addresses);

    /// Sets the revision that every datagram announces; with @p notify the live members of the own data centre get a
    /// notice at once.
    void setConfigRevision(std::uint64_t revision, bool notify);

    /// Sets a key of the application state and spreads it.
    void setState(const std::string &key, const membership::StateValue &value);

    /// Reports that the member whose peer server has the address @p endpoint refused a connection.
    void reportRefused(const net::TcpEndpoint &endpoint);

    /// The membership, for members(), seesMajority(), hasJoined(), states() and lastConfirmation().
    const membership::GossipMember &membership() const;

    /// Payload bytes and datagrams in and out.
    const net::UdpCounters &counters() const;

private:
    void scheduleTick();
    void handle(membership::GossipOutput output);

    GossipServiceOptions options;
    GossipCallbacks callbacks;
    membership::GossipMember member;
    std::shared_ptr<net::UdpSocket> socket;
    boost::asio::steady_timer timer;
    bool stopped = false;
};

}
