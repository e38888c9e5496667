#include "gateway/ratelimiter.h"

#include <gtest/gtest.h>

namespace endiveshore::gateway {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);

Configuration configuration(double rate, double burst)
{
    Configuration made;
    made.workspaces.emplace("w", Workspace{.name = "w", .limits = {.ratePerSecond = rate, .burst = burst}});
    return made;
}

bool takeNow(RateLimiter &limiter, core::TimePoint now)
{
    return limiter.book("w", core::Duration::zero(), now).startAfter.has_value();
}

bool takeFromPoolNow(RateLimiter &limiter)
{
    return limiter.bookFromPool("w", core::Duration::zero(), Start).startAfter.has_value();
}

}

// Guards against admitting more operations than this daemon's share of the rate.
TEST(RateLimiter, SpendsNoMoreThanItsShare)
{
    RateLimiter limiter;
    limiter.update(configuration(100, 100), {.own = {{"w", 0.25}}}, Start);
    int taken = 0;
    for (core::Milliseconds time{0}; time < 4s; time += 1ms) {
        taken += takeNow(limiter, Start + time) ? 1 : 0;
    }
    EXPECT_LE(taken, 25 + 4 * 25);
    EXPECT_GE(taken, 25 + 4 * 25 - 2);
}

// Guards against charging attempts that no server ran: the retries of an operation would then be refused as over the
// rate.
TEST(RateLimiter, OperationThatNoServerRanIsReturned)
{
    RateLimiter limiter;
    limiter.update(configuration(1, 1), {.own = {{"w", 1}}}, Start);
    for (int attempt = 0; attempt < 10; ++attempt) {
        ASSERT_TRUE(takeNow(limiter, Start));
        limiter.returnOperation("w");
    }
    EXPECT_TRUE(takeNow(limiter, Start));
    EXPECT_FALSE(takeNow(limiter, Start));
}

// Guards against losing a returned operation of a pooled workspace, and against keeping more than one.
TEST(RateLimiter, OneReturnedOperationOfAPooledWorkspaceIsKept)
{
    RateLimiter limiter;
    limiter.update(configuration(5, 5), {.own = {{"w", 0.01}}, .region = {{"w", 1}}, .daemons = 82}, Start);
    ASSERT_TRUE(limiter.isPooled("w"));
    EXPECT_FALSE(limiter.tryTakeReturned("w"));
    limiter.returnOperation("w");
    limiter.returnOperation("w");
    EXPECT_TRUE(limiter.tryTakeReturned("w"));
    EXPECT_FALSE(limiter.tryTakeReturned("w"));
}

// Guards against refusals by a pool that are not logged, and against log lines on pools without refusals.
TEST(RateLimiter, ExhaustedPoolsReportTheirGrants)
{
    RateLimiter limiter;
    limiter.update(configuration(5, 5), {.own = {{"w", 0.01}}, .region = {{"w", 1}}, .daemons = 82}, Start);
    ASSERT_TRUE(takeFromPoolNow(limiter));
    EXPECT_TRUE(limiter.takeExhaustedPools().empty());
    std::uint64_t granted = 0;
    while (takeFromPoolNow(limiter)) {
        ++granted;
    }
    const auto exhausted = limiter.takeExhaustedPools();
    ASSERT_TRUE(exhausted.contains("w"));
    EXPECT_EQ(exhausted.at("w").granted, granted);
    EXPECT_EQ(exhausted.at("w").refused, 1);
    EXPECT_EQ(exhausted.at("w").limits.burst, 5);
    EXPECT_TRUE(limiter.takeExhaustedPools().empty());
}

// Guards against admitting operations of a workspace after its removal from the configuration.
TEST(RateLimiter, RemovedWorkspaceMayNotStartAnything)
{
    RateLimiter limiter;
    limiter.update(configuration(100, 100), {.own = {{"w", 1}}}, Start);
    limiter.update(Configuration(), {.own = {{"w", 1}}}, Start);
    EXPECT_FALSE(takeNow(limiter, Start));
    const RateAnswer answer = limiter.book("w", 24h, Start);
    EXPECT_TRUE(answer.isKnown);
    EXPECT_FALSE(answer.startAfter);
}

// Guards against refusals after a restart: callers reconnect within milliseconds, before the first shares are known,
// and a bucket created then would start empty.
TEST(RateLimiter, BucketIsFullOnceTheShareIsKnown)
{
    RateLimiter limiter;
    limiter.update(configuration(100, 100), {}, Start);
    EXPECT_FALSE(takeNow(limiter, Start));
    EXPECT_FALSE(limiter.book("w", 24h, Start).isKnown) << "the share may be known soon";
    limiter.update(configuration(100, 100), {.own = {{"w", 0.25}}}, Start + 10ms);
    int taken = 0;
    while (takeNow(limiter, Start + 10ms)) {
        ++taken;
    }
    EXPECT_EQ(taken, 25);
}

// Guards against admitting operations at a daemon whose share is zero.
TEST(RateLimiter, ShareOfNothingAllowsNothing)
{
    RateLimiter limiter;
    limiter.update(configuration(100, 100), {.own = {{"w", 0}}}, Start);
    EXPECT_FALSE(takeNow(limiter, Start));
    EXPECT_FALSE(takeNow(limiter, Start + 10s));
}

// Guards against demand that is reported twice or lost between two reports.
TEST(RateLimiter, DemandIsTakenOnce)
{
    RateLimiter limiter;
    limiter.countDemand("w");
    limiter.countDemand("w");
    const auto demand = limiter.takeDemand();
    EXPECT_EQ(demand.at("w"), 2U);
    EXPECT_TRUE(limiter.takeDemand().empty());
}

}
