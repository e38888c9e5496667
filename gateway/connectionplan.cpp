#include "gateway/connectionplan.h"

#include <algorithm>

namespace endiveshore::gateway {

namespace {

constexpr unsigned Percent = 100;
/// Percentage of a server's connection limit that its home may use. The rest is for connections of a former home that
/// the server has not dropped yet, and for daemons that bypass the home.
constexpr unsigned HomePercent = 72;
/// Percentage of a server's connection limit that any other daemon may use.
constexpr unsigned OtherPercent = 9;
/// Percentage of the limit that the connections of all daemons together may reach where every daemon may connect. Above
/// the limit the server refuses, which few daemons of a small fleet notice before the home has been replaced.
constexpr unsigned SharedPercent = 130;

}

ConnectionPlan::ConnectionPlan(unsigned limit, std::size_t daemons)
    : limit(limit)
    , daemons(daemons)
{
}

unsigned ConnectionPlan::homeConnections() const
{
    return std::max(1U, this->limit * HomePercent / Percent);
}

unsigned ConnectionPlan::otherConnections() const
{
    return std::max(1U, this->limit * OtherPercent / Percent);
}

bool ConnectionPlan::mayAllConnect() const
{
    const std::size_t others = this->daemons == 0 ? 0 : this->daemons - 1;
    return (this->homeConnections() + others * this->otherConnections()) * Percent
        <= std::size_t{this->limit} * SharedPercent;
}

std::vector<std::string> ConnectionPlan::order(std::span<const std::string> homes, std::string_view self) const
{
    std::vector<std::string> order(homes.begin(), homes.end());
    const bool isHome = !homes.empty() && homes.front() == self;
    if (isHome || (!homes.empty() && !this->mayAllConnect())) {
        return order;
    }
    std::erase(order, self);
    order.insert(order.begin() + (order.empty() ? 0 : 1), std::string(self));
    return order;
}

}
