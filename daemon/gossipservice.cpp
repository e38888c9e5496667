#include "daemon/gossipservice.h"

#include "core/error.h"

namespace endiveshore::daemon {

GossipService::GossipService(const net::Executor &executor, GossipServiceOptions options, GossipCallbacks callbacks)
    : options(std::move(options))
    , callbacks(std::move(callbacks))
    , member(this->options.gossip)
    , socket(std::make_shared<net::UdpSocket>(executor))
    , timer(executor)
{
    this->socket->observeSent(this->callbacks.onSent);
}

void GossipService::start()
{
    const std::weak_ptr<GossipService> weakSelf = this->weak_from_this();
    this->socket->open(this->options.listen, [weakSelf](const net::UdpEndpoint &from, std::string_view payload) {
        if (const std::shared_ptr<GossipService> self = weakSelf.lock()) {
            self->deliver(self->member.receive(core::Clock::now(), net::formatEndpoint(from), payload));
        }
    });
    this->deliver(this->member.tick(core::Clock::now()));
    this->scheduleTick();
}

void GossipService::scheduleTick()
{
    this->timer.expires_after(this->options.tickInterval);
    this->timer.async_wait([weakSelf = this->weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<GossipService> self = weakSelf.lock();
        if (error || self == nullptr || self->stopped) {
            return;
        }
        self->deliver(self->member.tick(core::Clock::now()));
        self->scheduleTick();
    });
}

void GossipService::deliver(membership::GossipOutput output)
{
    for (const membership::Datagram &datagram : output.datagrams) {
        try {
            this->socket->send(net::parseUdpEndpoint(datagram.address), datagram.payload);
        } catch (const core::Error &) {
            // An invalid address, received by gossip or from the VM list, must not prevent sending the remaining
            // datagrams.
            continue;
        }
    }
    for (const membership::MemberEvent &event : output.events) {
        if (this->callbacks.onMember) {
            this->callbacks.onMember(event);
        }
    }
    for (const membership::RevisionUpdate &update : output.revisionUpdates) {
        if (this->callbacks.onRevision) {
            this->callbacks.onRevision(update);
        }
    }
    for (const membership::StateUpdate &update : output.stateUpdates) {
        if (this->callbacks.onState) {
            this->callbacks.onState(update);
        }
    }
}

void GossipService::leave()
{
    this->deliver(this->member.leave(core::Clock::now()));
}

void GossipService::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->socket->close();
}

void GossipService::setSeeds(std::vector<std::string> addresses)
{
    this->member.setSeeds(std::move(addresses));
}

void GossipService::setConfigRevision(std::uint64_t revision, bool notify)
{
    this->member.setConfigRevision(revision);
    if (notify) {
        this->deliver(this->member.notifyDataCentre());
    }
}

void GossipService::setState(const std::string &key, const membership::StateValue &value)
{
    this->member.setState(key, value);
}

void GossipService::reportRefused(const net::TcpEndpoint &endpoint)
{
    const std::string address = net::formatEndpoint({endpoint.address(), endpoint.port()});
    for (const membership::Member &known : this->member.members()) {
        if (known.address == address) {
            this->deliver(this->member.reportRefused(known.id, core::Clock::now()));
            return;
        }
    }
}

const membership::GossipMember &GossipService::membership() const
{
    return this->member;
}

const net::UdpCounters &GossipService::counters() const
{
    return this->socket->counters();
}

}
