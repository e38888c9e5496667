#include "gateway/regionmeter.h"

#include "gateway/rateclient.h"
#include "gateway/trafficcore.h"
#include "gateway/workrouter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace endiveshore::gateway {

namespace {

using telemetry::RegionTraffic;

constexpr std::array<std::pair<std::string_view, RegionTraffic>, 3> CauseByPath{{
    {WorkPath, RegionTraffic::Statement},
    {RatePath, RegionTraffic::Rate},
    {MetadataPath, RegionTraffic::Metadata},
}};

}

RegionMeter::RegionMeter(const telemetry::Metrics &metrics)
    : metrics(metrics)
    , remote(std::make_shared<const Addresses>())
{
}

void RegionMeter::setView(const GatewayView &view)
{
    const auto self = view.daemons.find(view.self);
    if (self == view.daemons.end()) {
        return;
    }
    const std::string_view ownRegion = view.regionOf(self->second.dataCentre);
    Addresses addresses;
    for (const auto &[id, daemon] : view.daemons) {
        if (view.regionOf(daemon.dataCentre) != ownRegion) {
            addresses.insert(daemon.endpoint.address());
        }
    }
    this->remote = std::make_shared<const Addresses>(std::move(addresses));
}

void RegionMeter::add(RegionTraffic cause, const boost::asio::ip::address &peer, std::size_t bytes) const
{
    const std::shared_ptr<const Addresses> addresses = this->remote;
    if (addresses->contains(peer)) {
        this->metrics.regionBytes(cause).add(static_cast<double>(bytes));
    }
}

void RegionMeter::addExchange(std::string_view target, const boost::asio::ip::address &peer, std::size_t bytes) const
{
    const auto cause = std::ranges::find(CauseByPath, target, &std::pair<std::string_view, RegionTraffic>::first);
    if (cause != CauseByPath.end()) {
        this->add(cause->second, peer, bytes);
    }
}

}
