#include "routing/loadmeter.h"

#include <algorithm>
#include <cmath>

namespace endiveshore::routing {

namespace {

/// Time constant of the arrival rate: a few reports, so that chance does not move reads.
constexpr core::Milliseconds ArrivalWindow{800};
/// Time in which a queue is to be worked off, besides the work that arrives.
constexpr core::Milliseconds DrainTime{300};
/// Weight of one statement in the share of those that failed. Four hanging statements make it nearly half.
constexpr double FailureWeight = 0.15;
/// Weight of one statement in the recent run time. While few statements run, each has a larger weight, so that the
/// recent time follows the state of the server within about RecentWindow.
constexpr double SmallestRecentWeight = 0.03;
constexpr double LargestRecentWeight = 0.1;
constexpr core::Milliseconds RecentWindow{500};
constexpr double UsualWeight = 0.002;
/// While the server is slow, its times hardly count as usual.
constexpr double SlowUsualWeight = 0.0001;
constexpr double SlowFactor = 1.5;
constexpr std::uint64_t LearningStatements = 50;
/// A statement that has run for longer than this and for many times the usual time counts as failed. Callers retry a
/// read elsewhere after a similar time.
constexpr core::Milliseconds HangTime{200};
constexpr double HangFactor = 8;
/// Expected cost of a failed statement to its caller, who waits and tries again elsewhere.
constexpr core::Milliseconds FailureTime{400};
/// Without statements, the share of failures halves in this time, so that some are sent again and show the state.
constexpr core::Milliseconds FailureHalfLife{1'000};
/// Loads below these are not reported.
constexpr unsigned ReportedPressure = 50;
constexpr unsigned ReportedFailing = 5;
constexpr unsigned ReportedSlowness = 200;
constexpr core::Milliseconds ReportedDelay{5};

double milliseconds(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}

void LoadMeter::arrive()
{
    ++this->arrived;
}

void LoadMeter::leave()
{
    --this->arrived;
}

LoadMeter::StatementId LoadMeter::begin(core::TimePoint now)
{
    this->running.emplace(++this->last, Running{.startedAt = now});
    return this->last;
}

void LoadMeter::end(StatementId statement, bool succeeded, core::TimePoint now)
{
    const auto found = this->running.find(statement);
    if (found == this->running.end()) {
        return;
    }
    const Running ended = found->second;
    this->running.erase(found);
    if (succeeded || !ended.countsAsFailed) {
        this->count(!succeeded, now);
    }
    if (!succeeded) {
        return;
    }
    const double time = milliseconds(now - ended.startedAt);
    // The first statements count alike, so that none of them is taken for the usual one.
    const double alike = 1.0 / static_cast<double>(++this->timed);
    const double sinceLast = milliseconds(now - this->timedAt) / milliseconds(RecentWindow);
    const double recentWeight = std::clamp(sinceLast, SmallestRecentWeight, LargestRecentWeight);
    this->recentTime += std::max(alike, recentWeight) * (time - this->recentTime);
    const bool isSlow = this->timed > LearningStatements && this->recentTime > SlowFactor * this->usualTime;
    const double usualWeight = isSlow ? SlowUsualWeight : std::max(alike, UsualWeight);
    this->usualTime += usualWeight * (time - this->usualTime);
    this->timedAt = now;
}

void LoadMeter::fail(core::TimePoint now)
{
    this->count(true, now);
}

void LoadMeter::count(bool failed, core::TimePoint now)
{
    this->failing += FailureWeight * ((failed ? 1 : 0) - this->failing);
    this->failingAt = now;
}

void LoadMeter::sample(unsigned slots, std::size_t waitingUnits, core::TimePoint now)
{
    const core::Duration hangTime
        = std::max<core::Duration>(HangTime,
                                   std::chrono::duration_cast<core::Duration>(
                                       HangFactor * std::chrono::duration<double, std::milli>(this->usualTime)));
    for (auto &[id, statement] : this->running) {
        if (!statement.countsAsFailed && now - statement.startedAt > hangTime) {
            statement.countsAsFailed = true;
            this->count(true, now);
        }
    }
    if (now - this->failingAt >= FailureHalfLife) {
        this->failing /= 2;
        this->failingAt = now;
    }
    if (this->sampledAt != core::TimePoint() && now > this->sampledAt) {
        const double elapsed = milliseconds(now - this->sampledAt);
        const double weight = 1 - std::exp(-elapsed / milliseconds(ArrivalWindow));
        const double rate = this->arrived / (elapsed * std::max(1U, slots));
        this->arrivalRate += weight * (rate - this->arrivalRate);
        this->arrived = 0;
    }
    this->waitTime = static_cast<double>(waitingUnits) * this->recentTime / std::max(1U, slots);
    this->sampledAt = now;
}

std::optional<ServerLoad> LoadMeter::load(core::TimePoint now) const
{
    constexpr double Percent = 100;
    const double slowness = this->usualTime > 0 ? this->recentTime / this->usualTime : 1;
    const double slowdown = std::max(0.0, this->recentTime - this->usualTime);
    const double delay = this->waitTime + slowdown + this->failing * milliseconds(FailureTime);
    // Work that leaves the queue without running counts against arrivals of earlier samples.
    const double pressure
        = std::max(0.0, this->arrivalRate) * this->recentTime + this->waitTime / milliseconds(DrainTime);
    const ServerLoad load{.pressure = static_cast<unsigned>(std::lround(pressure * Percent)),
                          .failing = static_cast<unsigned>(std::lround(this->failing * Percent)),
                          .slowness = static_cast<unsigned>(std::lround(slowness * Percent)),
                          .delay = core::Milliseconds(std::lround(delay)),
                          .age = std::chrono::duration_cast<core::Milliseconds>(now - this->sampledAt)};
    const bool isNotable = load.pressure >= ReportedPressure || load.failing >= ReportedFailing
        || load.slowness >= ReportedSlowness || load.delay >= ReportedDelay;
    return isNotable ? std::optional(load) : std::nullopt;
}

}
