#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::gateway {

/// Connections that the daemons may open to one server. The home runs nearly all units, and its substitutes run them
/// while it is unreachable; their connections together stay within the server's limit. In a small fleet, where the
/// limit is enough for all, any other daemon may connect as well, since it may have a network path to the server that
/// the home lacks.
class ConnectionPlan
{
public:
    /// @p limit is the number of connections that the server accepts, @p daemons that of the fleet.
    ConnectionPlan(unsigned limit, std::size_t daemons);

    unsigned homeConnections() const;

    /// Connections of each other daemon that may connect.
    unsigned otherConnections() const;

    /// True if daemons that are neither home nor substitute may connect.
    bool mayAllConnect() const;

    /// Daemons that run a unit in turn until one of them reaches the server. @p homes is the home with its substitutes,
    /// @p self the daemon that sends the unit.
    std::vector<std::string> order(std::span<const std::string> homes, std::string_view self) const;

private:
    unsigned limit;
    std::size_t daemons;
};

}
