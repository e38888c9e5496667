#pragma once

#include "membership/gossipmember.h"
#include "net/udpsocket.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace endiveshore::daemon {

struct GossipServiceOptions
{
    membership::GossipOptions gossip; ///< Its address must be `listen` as other members reach it.
    net::UdpEndpoint listen;
    core::Duration tickInterval = std::chrono::milliseconds(50);
};

/// Callbacks on the control thread. They may call functions of the service.
struct GossipCallbacks
{
    std::function<void(const membership::MemberEvent &event)> onMember = {};
    std::function<void(const membership::RevisionUpdate &update)> onRevision = {};
    std::function<void(const membership::StateUpdate &update)> onState = {};
    /// A datagram was sent.
    std::function<void(const net::UdpEndpoint &to, std::size_t bytes)> onSent = {};
};

/// Binds the gossip membership to a UDP socket and a timer of the control thread. Not thread-safe.
class GossipService : public std::enable_shared_from_this<GossipService>
{
public:
    GossipService(const net::Executor &executor, GossipServiceOptions options, GossipCallbacks callbacks);

    /// Binds the socket and starts gossip. Throws boost::system::system_error if the address is in use.
    void start();

    /// Announces that this daemon leaves; it sends nothing afterwards.
    void leave();

    /// Closes the socket without an announcement.
    void stop();

    void setSeeds(std::vector<std::string> addresses);

    /// Sets the configuration revision announced in every datagram. If @p notify is set, also notifies the live members
    /// of the own data centre at once.
    void setConfigRevision(std::uint64_t revision, bool notify);

    /// Sets a key of the application state, which gossip sends to all members.
    void setState(const std::string &key, const membership::StateValue &value);

    /// Reports that the member whose peer server has the address @p endpoint refused a connection.
    void reportRefused(const net::TcpEndpoint &endpoint);

    /// Read access to the members, the application state and the confirmations of contact.
    const membership::GossipMember &membership() const;

    /// Counters of payload bytes and datagrams received and sent.
    const net::UdpCounters &counters() const;

private:
    void scheduleTick();
    /// Sends the datagrams of @p output and calls the callbacks for its events and updates.
    void deliver(membership::GossipOutput output);

    GossipServiceOptions options;
    GossipCallbacks callbacks;
    membership::GossipMember member;
    std::shared_ptr<net::UdpSocket> socket;
    boost::asio::steady_timer timer;
    bool stopped = false;
};

}
