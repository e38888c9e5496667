#pragma once

#include "gateway/configuration.h"
#include "limits/demandshares.h"
#include "limits/tokenbucket.h"

#include <map>
#include <memory>
#include <string>

namespace endiveshore::gateway {

/// Part of each workspace's rate that this daemon may spend, from 0 to 1.
using RateShares = std::map<std::string, double, std::less<>>;

/// Counts the operations of workspaces against this daemon's share of their rates. Pure.
class RateGate
{
public:
    /// Takes over configured rates and this daemon's shares. A workspace starts with a full bucket: while its
    /// daemon was away nothing was spent, and what it may have spent just before is part of the same window.
    void update(const Configuration &configuration, const RateShares &shares, core::TimePoint now);

    /// Counts an operation as wanted. To be called once for each operation before tryTake().
    void countDemand(const std::string &workspace);

    /// Spends one operation; false if the share is used up.
    bool tryTake(std::string_view workspace, core::TimePoint now);

    /// Returns an operation that tryTake() allowed and that no server has run.
    void giveBack(std::string_view workspace);

    /// Time until the next operation of @p workspace is allowed.
    core::Duration timeUntilNext(std::string_view workspace, core::TimePoint now);

    /// Operations that @p workspace may start now, and the part of its rate that this daemon may spend.
    double tokens(std::string_view workspace, core::TimePoint now);
    double share(std::string_view workspace) const;

    /// Operations wanted since the last call, by workspace.
    std::map<std::string, std::uint64_t, std::less<>> takeDemand();

private:
    std::map<std::string, limits::TokenBucket, std::less<>> buckets;
    RateShares currentShares;
    std::map<std::string, std::uint64_t, std::less<>> wanted;
};

}
