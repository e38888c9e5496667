#include "gateway/ratelimiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace endiveshore::gateway {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);
constexpr core::Milliseconds Step{5};
constexpr core::Milliseconds ReportInterval{250};
constexpr core::Milliseconds Window{5'000};
constexpr double Rate = 188;
/// Excess over rate and burst that the platform tolerates in one window: a fraction and a number of operations.
constexpr double Tolerance = 0.1;
constexpr double Slack = 20;
/// Weight of the latest report interval in the moving average of the demand.
constexpr double DemandWeight = 0.3;
/// Time from the start of a daemon until it receives the reports of all other daemons.
constexpr std::chrono::seconds DiscoveryTime{2};

/// Daemons that limit the operations of one workspace as GatewayDaemon does: each averages its demand, reports it every
/// 250 ms, and derives rate shares from the reports.
class RateFleet
{
public:
    RateFleet(std::vector<double> offered, std::uint64_t seed)
        : offeredPerSecond(std::move(offered))
        , random(seed)
    {
        this->configuration.workspaces.emplace(
            "w", Workspace{.name = "w", .limits = {.ratePerSecond = Rate, .burst = Rate}});
        this->daemons.resize(this->offeredPerSecond.size());
    }

    void startAll()
    {
        for (std::size_t index = 0; index < this->daemons.size(); ++index) {
            std::uniform_int_distribution<int> late(0, 40);
            this->start(index, late(this->random));
        }
    }

    void killAll()
    {
        for (std::optional<Daemon> &daemon : this->daemons) {
            daemon.reset();
        }
    }

    void run(core::Milliseconds time)
    {
        for (core::Milliseconds passed{0}; passed < time; passed += Step) {
            this->now += Step;
            for (std::size_t index = 0; index < this->daemons.size(); ++index) {
                if (this->daemons[index] && this->now >= this->daemons[index]->startedAt) {
                    this->step(index);
                }
            }
            this->forgetOldSpending();
        }
    }

    /// Highest number of operations in any window.
    double mostSpent() const
    {
        return this->most;
    }

    /// Total number of operations.
    double allSpent() const
    {
        return this->total;
    }

private:
    struct Daemon
    {
        core::TimePoint startedAt;
        core::TimePoint nextReport;
        limits::DemandShares shares;
        RateLimiter limiter;
        double demand = 0;
        bool isFirstReport = true;
        int operationsSinceReport = 0;
    };

    static std::string idOf(std::size_t index)
    {
        return "d" + std::to_string(index);
    }

    void start(std::size_t index, int lateMs)
    {
        const core::TimePoint startedAt = this->now + core::Milliseconds(lateMs);
        Daemon daemon{.startedAt = startedAt,
                      .nextReport = startedAt + ReportInterval,
                      .shares = limits::DemandShares(idOf(index), startedAt)};
        std::map<std::string, std::size_t, std::less<>> holders;
        for (std::size_t other = 0; other < this->daemons.size(); ++other) {
            holders.emplace(idOf(other), 1);
        }
        daemon.shares.setLeaseHolders(holders);
        this->daemons[index].emplace(std::move(daemon));
        this->applyShares(*this->daemons[index], startedAt);
    }

    void applyShares(Daemon &daemon, core::TimePoint time)
    {
        daemon.limiter.update(
            this->configuration,
            {.own = {{"w", daemon.shares.share("w", Rate, time)}}, .daemons = daemon.shares.holders(time)},
            time);
    }

    void step(std::size_t index)
    {
        Daemon &daemon = *this->daemons[index];
        std::poisson_distribution<int> arrivals(this->offeredPerSecond[index]
                                                * std::chrono::duration<double>(Step).count());
        for (int count = arrivals(this->random); count > 0; --count) {
            ++daemon.operationsSinceReport;
            if (daemon.limiter.book("w", core::Duration::zero(), this->now).startAfter) {
                this->spent.push_back(this->now);
                ++this->total;
            }
        }
        if (this->now >= daemon.nextReport) {
            this->report(index);
        }
    }

    void report(std::size_t index)
    {
        Daemon &daemon = *this->daemons[index];
        const double current = daemon.operationsSinceReport / std::chrono::duration<double>(ReportInterval).count();
        daemon.operationsSinceReport = 0;
        daemon.demand = daemon.isFirstReport ? current : daemon.demand + DemandWeight * (current - daemon.demand);
        daemon.isFirstReport = false;
        daemon.nextReport += ReportInterval;
        daemon.shares.setOwnDemand({{"w", daemon.demand}});
        this->applyShares(daemon, this->now);
        for (std::size_t other = 0; other < this->daemons.size(); ++other) {
            if (other != index && this->daemons[other] && this->receivesReport(*this->daemons[other])) {
                this->daemons[other]->shares.report(idOf(index), {{"w", daemon.demand}}, 1, this->now);
            }
        }
    }

    /// The other daemons learn of a started daemon one after the other, and send reports to it from then on.
    bool receivesReport(const Daemon &receiver)
    {
        const double known = std::chrono::duration<double>(this->now - receiver.startedAt) / DiscoveryTime;
        return std::uniform_real_distribution<double>(0, 1)(this->random) < known;
    }

    void forgetOldSpending()
    {
        while (!this->spent.empty() && this->spent.front() <= this->now - Window) {
            this->spent.pop_front();
        }
        this->most = std::max(this->most, static_cast<double>(this->spent.size()));
    }

    std::vector<double> offeredPerSecond;
    std::mt19937_64 random;
    Configuration configuration;
    std::vector<std::optional<Daemon>> daemons;
    std::deque<core::TimePoint> spent; ///< Start times of the operations in the window that ends now.
    core::TimePoint now = Start;
    double most = 0;
    double total = 0;
};

double allowed()
{
    return (Rate * std::chrono::duration<double>(Window).count() + Rate) * (1 + Tolerance) + Slack;
}

}

// Load: one workspace sends 1.3 and four times its rate, spread unevenly over seven daemons. Guards against rate shares
// that stay with daemons without demand, so that operations within the rate are refused.
TEST(RateFleet, BusyWorkspaceGetsNearlyItsWholeRate)
{
    constexpr core::Milliseconds Time{20'000};
    const double entitled = Rate * std::chrono::duration<double>(Time).count();
    for (const double scale : {0.33, 1.0}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::vector<double> offeredPerSecond{260, 140, 120, 90, 70, 50, 20};
            for (double &perSecond : offeredPerSecond) {
                perSecond *= scale;
            }
            RateFleet fleet(offeredPerSecond, seed);
            fleet.startAll();
            fleet.run(Time);
            EXPECT_GE(fleet.allSpent(), 0.95 * entitled) << scale << ' ' << seed;
        }
    }
}

// Load: one workspace sends four times its rate, spread unevenly over seven daemons, before and after all of them are
// killed. Guards against exceeding the rate while restarted daemons know the demand of only some of the others.
TEST(RateFleet, WorkspaceStaysInsideItsRateWhenAllDaemonsRestart)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RateFleet fleet({260, 140, 120, 90, 70, 50, 20}, seed);
        fleet.startAll();
        fleet.run(8'000ms);
        fleet.killAll();
        fleet.run(500ms);
        fleet.startAll();
        fleet.run(8'000ms);
        EXPECT_LE(fleet.mostSpent(), allowed()) << seed;
    }
}

}
