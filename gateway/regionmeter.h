#pragma once

#include "gateway/gatewayview.h"
#include "telemetry/metrics.h"

#include <boost/asio/ip/address.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <string_view>

namespace endiveshore::gateway {

/// Counts the bytes that this daemon exchanges with daemons of other regions, by cause, so that operators see what
/// fills the link between regions. Requests count with their answers, at the daemon that sent the request. Headers of
/// the protocols below are not counted. Thread-safe.
class RegionMeter
{
public:
    explicit RegionMeter(const telemetry::Metrics &metrics);

    /// Takes over the regions of the daemons in @p view.
    void setView(const GatewayView &view);

    /// Counts @p bytes if @p peer is the address of a daemon of another region.
    void add(telemetry::RegionTraffic cause, const boost::asio::ip::address &peer, std::size_t bytes) const;

    /// Counts a request to the path @p target and its answer.
    void addExchange(std::string_view target, const boost::asio::ip::address &peer, std::size_t bytes) const;

private:
    using Addresses = std::set<boost::asio::ip::address>;

    const telemetry::Metrics &metrics;
    std::atomic<std::shared_ptr<const Addresses>> remote; ///< Addresses of daemons of other regions.
};

}
