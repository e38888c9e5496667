#pragma once

#include "gateway/configuration.h"
#include "limits/demandshares.h"
#include "limits/urgencybucket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace endiveshore::gateway {

/// Part of the rate that may be spent, from 0 to 1, by workspace.
using RateShares = std::map<std::string, double, std::less<>>;

/// Answer to a request to book one operation.
struct RateAnswer
{
    bool isKnown = false; ///< False if the share is not known yet or the pool did not answer.
    std::optional<core::Duration> startAfter; ///< Delay until the operation may start; nothing if refused.
};

/// Bookings granted and refused by a pool since the last call of takeExhaustedPools().
struct PoolUse
{
    limits::ShareLimits limits;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    limits::RankCounts grantedByRank{};
    limits::RankCounts refusedByRank{};
};

/// Operations counted by rank, by workspace.
using RankedCounts = std::map<std::string, limits::RankCounts, std::less<>>;

/// Longest time that an operation of a route with @p latencyObjective waits for its rate.
core::Duration longestRateWait(core::Duration latencyObjective);

/// Rate shares of one daemon and of its region.
struct DaemonShares
{
    RateShares own; ///< Shares of this daemon alone.
    RateShares region; ///< Shares of all daemons of its region together.
    std::size_t daemons = 1; ///< Number of daemons that share the rates, over all regions.
    std::size_t regions = 1; ///< Number of regions with daemons.
};

/// Limits the operations of workspaces to this daemon's rate shares, by token buckets, and keeps the rate pools that
/// this daemon serves to its region. Does no I/O.
class RateLimiter
{
public:
    /// @p ordersByPriority: while a workspace asks for more than its rate, its most urgent operations go first.
    /// Otherwise ranks are ignored.
    explicit RateLimiter(bool ordersByPriority);

    /// A limiter that ignores ranks.
    RateLimiter() = default;

    /// Applies the configured rates and this daemon's shares. A workspace without a known share admits nothing until
    /// its share is known, and then starts with a full bucket: the daemon spent nothing while it was stopped, and the
    /// operations that it admitted shortly before it stopped count in the same rate window as those after.
    void update(const Configuration &configuration, const DaemonShares &shares, core::TimePoint now);

    /// True if an even share of the workspace's burst is too small for a bucket at each daemon, which orders operations
    /// by priority only if it holds some of each priority. The rate is then pooled by region, and a daemon's own bucket
    /// is only the fallback while the pool is unreachable.
    bool isPooled(std::string_view workspace) const;

    /// Books one operation from the pool that this daemon keeps for its region, if the operation may start within @p
    /// longestWait.
    RateAnswer bookFromPool(std::string_view workspace,
                            core::Duration longestWait,
                            core::TimePoint now,
                            core::PriorityRank rank = 0);

    /// Empties the pools of the workspaces for which @p isTakenOver is true. The bucket of a pool that this daemon did
    /// not serve is full, although another daemon has spent the burst from its own.
    void emptyPools(const std::function<bool(const std::string &workspace)> &isTakenOver, core::TimePoint now);

    /// Use of the pools that refused an operation since the last call, by workspace.
    std::map<std::string, PoolUse, std::less<>> takeExhaustedPools();

    /// Counts an operation as demand. To be called once per operation, before book().
    void countDemand(const std::string &workspace, core::PriorityRank rank = 0);

    /// Books one operation from this daemon's own share, if the operation may start within @p longestWait.
    RateAnswer
    book(std::string_view workspace, core::Duration longestWait, core::TimePoint now, core::PriorityRank rank = 0);

    /// Operations that the pools of this daemon were asked for since the last call, by workspace.
    std::map<std::string, std::uint64_t, std::less<>> takePoolRequests();

    /// Gives back an admitted operation that no server ran. For a pooled workspace, at most one returned operation is
    /// kept.
    void returnOperation(std::string_view workspace);

    /// Takes a returned operation of a pooled workspace; false if there is none.
    bool tryTakeReturned(std::string_view workspace);

    /// Operations that @p workspace may start now; negative while booked operations are still waiting to start.
    double tokens(std::string_view workspace, core::TimePoint now);

    /// Part of the rate of @p workspace that this daemon may spend.
    double share(std::string_view workspace) const;

    /// Demand since the last call: operations counted by countDemand(), by workspace.
    std::map<std::string, std::uint64_t, std::less<>> takeDemand();

    /// As takeDemand(), for the ranks above the lowest one in use; empty where ranks are ignored.
    RankedCounts takeUrgentDemand();

    bool ordersByPriority() const;

private:
    using Buckets = std::map<std::string, limits::UrgencyBucket, std::less<>>;

    /// Rank under which operations of @p rank are counted and booked.
    core::PriorityRank effectiveRank(core::PriorityRank rank) const;
    void updateRanks(const Configuration &configuration);

    static void
    setBucket(Buckets &buckets, const std::string &workspace, limits::ShareLimits limits, core::TimePoint now);

    bool ordered = false;
    std::size_t ranksInUse = 1; ///< Number of different ranks of the configured routes.
    core::PriorityRank lowestRank = 0; ///< Of the configured routes.
    Buckets buckets;
    Buckets pools; ///< Regional pools by workspace; used if this daemon is the home of the pool.
    std::map<std::string, PoolUse, std::less<>> poolUse;
    std::map<std::string, std::uint64_t, std::less<>> poolRequests;
    RateShares currentShares;
    std::set<std::string, std::less<>> awaitingShare; ///< Configured workspaces whose share is not known yet.
    std::map<std::string, std::uint64_t, std::less<>> demand;
    RankedCounts urgentDemand; ///< Demand of the ranks above `lowestRank`.
    std::set<std::string, std::less<>> returned; ///< Pooled workspaces with a returned operation.
};

}
