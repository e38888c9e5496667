#pragma once

#include "routing/serverload.h"

#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::routing {

/// A server that may run a read. Candidates are passed in the order in which reads use idle servers, nearest first.
struct PlacementCandidate
{
    std::string_view server;
    core::Milliseconds travel{}; ///< Round trip to the server.
};

/// Places reads on servers by the loads that their homes report. Every server has a share of the reads that would go to
/// it if all servers were idle; the rest goes to the next server in the order. The shares follow the pressures of the
/// servers step by step, so that hundreds of daemons that act on the same old reports do not move their reads all at
/// once. Servers that fail statements lose their share with the first report. Does no I/O.
class ReadPlacement
{
public:
    /// The servers of one service, which share its reads.
    using Group = std::vector<std::string_view>;

    /// Replaces the loads of all servers by those of a report and adjusts the shares of the servers of @p groups.
    void update(const ServerLoads &loads, std::span<const Group> groups, core::TimePoint now);

    /// Index of the candidate that a read is sent to; 0 while the loads of all candidates are low or unknown.
    std::size_t
    choose(std::span<const PlacementCandidate> candidates, std::mt19937_64 &random, core::TimePoint now) const;

    /// Part of the reads that the server keeps, from 0 to 1.
    double share(std::string_view server, core::TimePoint now) const;

    /// The load of the server; nullptr while it is idle or the last report is too old.
    const ServerLoad *load(std::string_view server, core::TimePoint now) const;

private:
    using Shares = std::map<std::string, double, std::less<>>;

    /// Part of the reads that may go to @p candidate if it is in another region than nearer ones, else 1.
    double crossingPart(std::span<const PlacementCandidate> candidates,
                        const PlacementCandidate &candidate,
                        core::TimePoint now) const;
    void adjust(const Group &group, Shares &next, core::TimePoint now) const;

    ServerLoads loads;
    core::TimePoint updatedAt;
    core::TimePoint adjustedAt;
    Shares sharesByPressure; ///< Shares below 1, before failures are taken into account.
};

}
