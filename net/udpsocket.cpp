#include "net/udpsocket.h"

#include <boost/asio/buffer.hpp>

namespace endiveshore::net {

UdpEndpoint parseUdpEndpoint(std::string_view text)
{
    const TcpEndpoint parsed = parseEndpoint(text);
    return {parsed.address(), parsed.port()};
}

std::string formatEndpoint(const UdpEndpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

UdpSocket::UdpSocket(const Executor &executor)
    : socket(executor)
{
}

void UdpSocket::open(const UdpEndpoint &endpoint, Receiver receiver)
{
    this->receiver = std::move(receiver);
    this->socket.open(endpoint.protocol());
    this->socket.bind(endpoint);
    this->socket.non_blocking(true);
    this->receiveNext();
}

void UdpSocket::receiveNext()
{
    auto received = [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (!self->socket.is_open()) {
            return;
        }
        // An error here reports an ICMP message about an earlier datagram; the socket stays usable.
        if (!error) {
            ++self->totals.datagramsIn;
            self->totals.bytesIn += size;
            self->receiver(self->sender, std::string_view(self->buffer.data(), size));
        }
        if (self->socket.is_open()) {
            self->receiveNext();
        }
    };
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender, std::move(received));
}

void UdpSocket::send(const UdpEndpoint &to, std::string_view payload)
{
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(payload.data(), payload.size()), to, 0, error);
    if (error) {
        ++this->totals.sendFailures;
        return;
    }
    ++this->totals.datagramsOut;
    this->totals.bytesOut += payload.size();
    if (this->sentObserver) {
        this->sentObserver(to, payload.size());
    }
}

void UdpSocket::observeSent(std::function<void(const UdpEndpoint &to, std::size_t bytes)> observer)
{
    this->sentObserver = std::move(observer);
}

void UdpSocket::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

const UdpCounters &UdpSocket::counters() const
{
    return this->totals;
}

}
