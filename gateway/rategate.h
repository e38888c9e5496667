#pragma once

#include "gateway/configuration.h"
#include "limits/demandshares.h"
#include "limits/tokenbucket.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace endiveshore::gateway {

/// Part of each workspace's rate that this daemon may spend, from 0 to 1.
using RateShares = std::map<std::string, double, std::less<>>;

/// Answer to an operation that asks for its part of a workspace's rate.
struct RateAnswer
{
    bool isKnown = false; ///< False if nobody could tell: the share is not known yet, or the pool gave no answer.
    std::optional<core::Duration> startAfter; ///< Time until the operation may start; nothing if it is refused.
};

/// What a pool has answered since it was last asked for its use.
struct PoolUse
{
    limits::ShareLimits limits;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
};

/// Time that an operation of a route with @p latencyObjective may wait for its turn.
core::Duration longestRateWait(core::Duration latencyObjective);

/// Shares of one daemon.
struct DaemonShares
{
    RateShares own; ///< Of this daemon alone.
    RateShares region; ///< Of all daemons of its region together.
    std::size_t daemons = 1; ///< That share the rates, over all regions.
    std::size_t regions = 1; ///< That have daemons.
};

/// Counts the operations of workspaces against this daemon's share of their rates. Pure.
class RateGate
{
public:
    /// Takes over configured rates and this daemon's shares. A workspace without a share waits for one, and then starts
    /// with a full bucket: while its daemon was away nothing was spent, and what it may have spent just before is part
    /// of the same window.
    void update(const Configuration &configuration, const DaemonShares &shares, core::TimePoint now);

    /// True if the even share of the workspace's burst is too small for a bucket of its own at each daemon. Its rate is
    /// then pooled by region, and a daemon's own bucket only bridges the loss of the pool.
    bool isPooled(std::string_view workspace) const;

    /// Books one operation of the pool that this daemon keeps for its region, if its turn comes within @p longestWait.
    RateAnswer bookFromPool(std::string_view workspace, core::Duration longestWait, core::TimePoint now);

    /// Use since the last call of the pools that refused, by workspace.
    std::map<std::string, PoolUse, std::less<>> takeExhaustedPools();

    /// Counts an operation as wanted. To be called once for each operation before book().
    void countDemand(const std::string &workspace);

    /// Books one operation of this daemon's own share, if its turn comes within @p longestWait.
    RateAnswer book(std::string_view workspace, core::Duration longestWait, core::TimePoint now);

    /// Returns an operation that was allowed and that no server has run. Of a pooled workspace, one is kept.
    void returnOperation(std::string_view workspace);

    /// Spends an operation of a pooled workspace that was given back; false if there is none.
    bool tryTakeReturned(std::string_view workspace);

    /// Operations that @p workspace may start now, below zero while booked ones are still to start; and the part of its
    /// rate that this daemon may spend.
    double tokens(std::string_view workspace, core::TimePoint now);
    double share(std::string_view workspace) const;

    /// Operations wanted since the last call, by workspace.
    std::map<std::string, std::uint64_t, std::less<>> takeDemand();

private:
    using Buckets = std::map<std::string, limits::TokenBucket, std::less<>>;

    static void
    setBucket(Buckets &buckets, const std::string &workspace, limits::ShareLimits limits, core::TimePoint now);

    Buckets buckets;
    Buckets pools; ///< Of pooled workspaces; used if this daemon is asked for them.
    std::map<std::string, PoolUse, std::less<>> poolUse;
    RateShares currentShares;
    std::set<std::string, std::less<>> awaitingShare; ///< Configured workspaces whose share is not known yet.
    std::map<std::string, std::uint64_t, std::less<>> demand;
    std::set<std::string, std::less<>> returned; ///< Pooled workspaces with an operation that was given back.
};

}
