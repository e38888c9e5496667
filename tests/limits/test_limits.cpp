#include "cluster.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/json.hpp>

#include <iostream>

namespace endiveshore::limits {

// Guards against a lease whose cost grows with the fleet, and against two daemons that both find enough witnesses
// because their views of the members differ in two members.
TEST(Witnesses, QuorumsOfSetsThatDifferInTwoMembersIntersect)
{
    std::vector<std::string> members;
    for (int member = 0; member < 100; ++member) {
        members.push_back("daemon-" + std::to_string(member));
    }
    const WitnessSet before = witnessesOf("rota-db/museum", members);
    EXPECT_EQ(before.members.size(), MaximumWitnesses);
    std::vector<std::string> reduced = members;
    std::erase(reduced, before.members[0]);
    std::erase(reduced, before.members[1]);
    const WitnessSet after = witnessesOf("rota-db/museum", reduced);
    std::set<std::string> together(before.members.begin(), before.members.end());
    together.insert(after.members.begin(), after.members.end());
    EXPECT_GT(before.required + after.required, together.size());
    EXPECT_EQ(witnessesOf("rota-db/museum", std::span(members).first(7)).required, 4U);
}

// Guards against a lease that counts the endorsements of members that are not witnesses.
TEST(AllocatorLease, OnlyWitnessesCount)
{
    const core::TimePoint start = core::TimePoint() + std::chrono::hours(1);
    AllocatorLease lease(std::chrono::seconds(1));
    const WitnessSet witnesses{.members = {"a", "b", "c"}, .required = 2};
    lease.recordEndorsement("a", start);
    lease.recordEndorsement("x", start);
    EXPECT_LT(lease.heldUntil(witnesses), start);
    lease.recordEndorsement("c", start);
    EXPECT_EQ(lease.heldUntil(witnesses), start + std::chrono::seconds(1));
}

namespace {

using namespace std::chrono_literals;
using core::TimePoint;
using simulation::Cluster;
using simulation::NetworkOptions;
using simulation::WindowCheck;

constexpr std::size_t Daemons = 7;
constexpr ShareLimits Usual{.ratePerSecond = 200, .burst = 100};
constexpr TimePoint Start{};

void offerSkewed(Cluster &cluster, double totalRate, double firstShare)
{
    cluster.offer(0, totalRate * firstShare);
    for (std::size_t index = 1; index < cluster.size(); ++index) {
        cluster.offer(index, totalRate * (1 - firstShare) / static_cast<double>(cluster.size() - 1));
    }
}

/// Fraction of the offered calls that a static split of rate and burst refuses although they are inside the rate, with
/// the same caller timeout.
double staticRefusals(double totalRate, double firstShare, std::uint64_t seed, core::Duration duration)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(totalRate);
    std::uniform_real_distribution<double> uniform(0, 1);
    TokenBucket reference(Usual, Start);
    const double rate = Usual.ratePerSecond / Daemons;
    const double waitingCapacity = rate * std::chrono::duration<double>(Cluster::CallerTimeout).count();
    std::vector<double> levels(Daemons, Usual.burst / Daemons);
    int offered = 0;
    int refused = 0;
    const double end = std::chrono::duration<double>(duration).count();
    for (double now = 0, step = gap(random); now + step < end; step = gap(random)) {
        now += step;
        for (double &level : levels) {
            level = std::min(Usual.burst / Daemons, level + rate * step);
        }
        const std::size_t daemon = uniform(random) < firstShare ? 0 : 1 + random() % (Daemons - 1);
        ++offered;
        const bool inside = reference.tryTake(
            1, Start + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(now)));
        // A level below zero represents waiting callers.
        if (levels[daemon] - 1 >= -waitingCapacity) {
            levels[daemon] -= 1;
            continue;
        }
        refused += inside ? 1 : 0;
    }
    return static_cast<double>(refused) / offered;
}

double insideRefusals(const Cluster &cluster)
{
    return static_cast<double>(cluster.counts.refusedInsideRate) / cluster.counts.offered;
}

ShareRequest request(std::uint64_t sequence, std::int64_t needed, std::int64_t held = 0)
{
    return {.workspace = "w",
            .holder = "h",
            .sequence = sequence,
            .accepted = sequence - 1,
            .held = held,
            .needed = needed};
}

/// Allocator with a lease and a full bucket, ten seconds after the start.
ShareAllocator readyAllocator(ShareLimits limits)
{
    ShareAllocator allocator({.ratePerSecond = 1000, .burst = limits.burst}, 1);
    allocator.extendLease(TimePoint::max(), Start);
    allocator.setLimits(limits, Start + 10s);
    return allocator;
}

}

// Guards against a bucket that yields more than burst + rate * window tokens in some window, or fewer than the limit
// allows.
TEST(TokenBucket, Limits)
{
    TokenBucket bucket({.ratePerSecond = 10, .burst = 5}, Start);
    WindowCheck check({.ratePerSecond = 10, .burst = 5});
    int taken = 0;
    for (int step = 0; step < 1000; ++step) {
        const TimePoint now = Start + step * 10ms;
        while (bucket.tryTake(1, now)) {
            check.spend(now);
            ++taken;
        }
    }
    EXPECT_TRUE(check.held());
    EXPECT_NEAR(taken, 105, 1);
    EXPECT_EQ(bucket.timeUntil(6, Start + 10s), core::Duration::max());
    EXPECT_GT(bucket.timeUntil(5, Start + 10s), 300ms);
}

// Guards against bookings that spend more than the limit in some window, and against bookings that become due out of
// order.
TEST(TokenBucket, BookingsBecomeDueInTheirOrderAndWithinTheLimit)
{
    constexpr auto LongestWait = 300ms;
    TokenBucket bucket({.ratePerSecond = 10, .burst = 5}, Start);
    WindowCheck check({.ratePerSecond = 10, .burst = 5});
    int booked = 0;
    TimePoint previous = Start;
    for (int step = 0; step < 1000; ++step) {
        const TimePoint now = Start + step * 10ms;
        while (const std::optional<core::Duration> wait = bucket.book(1, LongestWait, now)) {
            ASSERT_LE(*wait, LongestWait);
            ASSERT_GE(now + *wait, previous);
            previous = now + *wait;
            check.spend(previous);
            ++booked;
        }
    }
    EXPECT_TRUE(check.held());
    EXPECT_NEAR(booked, 5 + 100 + 3, 1);
}

// Guards against an operation that takes a token which an earlier operation has booked.
TEST(TokenBucket, BookedTokenIsNotTakenByALaterOperation)
{
    TokenBucket bucket({.ratePerSecond = 10, .burst = 1}, Start);
    ASSERT_TRUE(bucket.tryTake(1, Start));
    EXPECT_EQ(bucket.book(1, 100ms, Start), 100ms);
    EXPECT_FALSE(bucket.tryTake(1, Start + 100ms));
    EXPECT_FALSE(bucket.book(1, 50ms, Start + 100ms));
    EXPECT_TRUE(bucket.tryTake(1, Start + 200ms));
}

// Guards against a change of the limits that drops booked tokens.
TEST(TokenBucket, ChangedLimitsKeepBookedTokens)
{
    TokenBucket bucket({.ratePerSecond = 10, .burst = 1}, Start);
    ASSERT_TRUE(bucket.tryTake(1, Start));
    ASSERT_TRUE(bucket.book(1, 100ms, Start));
    bucket.setLimits({.ratePerSecond = 5, .burst = 1}, Start);
    EXPECT_EQ(bucket.timeUntil(1, Start), 400ms);
}

// Guards against messages that lose a field in transit and against malformed messages that are accepted or crash the
// receiver.
TEST(ShareMessage, RoundTrip)
{
    const bool held = rc::check([] {
        const auto count = rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
        const ShareRequest sent{.workspace = "w",
                                .holder = "h",
                                .sequence = static_cast<std::uint64_t>(*count + 1),
                                .epoch = static_cast<std::uint64_t>(*count),
                                .accepted = static_cast<std::uint64_t>(*count),
                                .held = *count,
                                .returned = *count,
                                .needed = *count,
                                .reserve = *count};
        RC_ASSERT(shareRequestFromJson(toJson(sent)).value() == sent);
        const ShareGrant grant{.sequence = sent.sequence,
                               .epoch = sent.epoch,
                               .granted = *count,
                               .tokenLifetime = core::Milliseconds(*count),
                               .retryAfter = core::Milliseconds(*count),
                               .refused = *rc::gen::arbitrary<bool>()};
        RC_ASSERT(shareGrantFromJson(toJson(grant)).value() == grant);
    });
    EXPECT_TRUE(held);
    const EndorsementRequest endorsement{.allocator = "a", .workspaces = {"w", "v"}};
    EXPECT_EQ(endorsementRequestFromJson(toJson(endorsement)).value(), endorsement);
    EXPECT_FALSE(shareRequestFromJson({{"workspace", "w"}, {"holder", "h"}, {"sequence", 1}, {"held", -5}}));
    EXPECT_FALSE(shareRequestFromJson({{"sequence", "1"}}));
    EXPECT_FALSE(shareGrantFromJson({}));
    EXPECT_FALSE(endorsementRequestFromJson({{"allocator", "a"}, {"workspaces", boost::json::array{1}}}));
}

// Guards against grants while tokens lent by an earlier allocator are still valid.
TEST(ShareAllocator, StartsEmptyAfterTheLeaseHasExpired)
{
    ShareAllocator allocator(Usual, 1);
    EXPECT_TRUE(allocator.handle(request(1, 1), Start).refused);
    allocator.extendLease(Start + 2s, Start);
    const ShareGrant first = allocator.handle(request(2, 10), Start + 990ms);
    EXPECT_EQ(first.granted, 0);
    EXPECT_FALSE(first.refused);
    EXPECT_GT(first.retryAfter.count(), 0);
    // 380 ms after the inherited tokens have expired, 76 tokens have been refilled.
    EXPECT_EQ(allocator.handle(request(3, 100), Start + 1400ms).granted, 76);
    EXPECT_TRUE(allocator.handle(request(4, 1), Start + 2s).refused);
    allocator.extendLease(Start + 9s, Start + 3s);
    EXPECT_EQ(allocator.handle(request(5, 10), Start + 3900ms).granted, 0);
}

// Guards against duplicate or reordered requests that are settled twice.
TEST(ShareAllocator, DuplicatesAndOldRequests)
{
    ShareAllocator allocator = readyAllocator({.ratePerSecond = 0.001, .burst = 20});
    const TimePoint now = Start + 10s;
    EXPECT_EQ(allocator.handle(request(2, 10), now).granted, 10);
    EXPECT_EQ(allocator.handle(request(2, 10), now).granted, 10);
    EXPECT_EQ(allocator.handle(request(1, 10), now).granted, 0);
    EXPECT_NEAR(allocator.outstanding(now), 10, 0.01);
    ShareRequest returning = request(3, 0, 2);
    returning.returned = 5;
    returning.epoch = allocator.handle(request(2, 10), now).epoch;
    EXPECT_EQ(allocator.handle(returning, now).granted, 0);
    allocator.handle(returning, now);
    // Of 10 tokens, 3 were spent, 5 were returned and 2 are held.
    EXPECT_NEAR(allocator.outstanding(now), 2, 0.01);
    EXPECT_NEAR(allocator.available(now), 15, 0.01);
}

// Guards against tokens of a lost grant that stay unused, and against lending them twice.
TEST(ShareAllocator, LostGrantIsAvailableAgain)
{
    ShareAllocator allocator = readyAllocator({.ratePerSecond = 0.001, .burst = 20});
    const TimePoint now = Start + 10s;
    EXPECT_EQ(allocator.handle(request(1, 5), now).granted, 5);
    EXPECT_EQ(allocator.handle(request(2, 10, 5), now).granted, 10);
    ShareRequest afterLoss = request(3, 0, 5);
    afterLoss.accepted = 1;
    allocator.handle(afterLoss, now);
    EXPECT_NEAR(allocator.outstanding(now), 5, 0.01);
    EXPECT_NEAR(allocator.available(now), 15, 0.01);
    ShareRequest again = request(4, 0, 5);
    again.accepted = 1;
    allocator.handle(again, now);
    EXPECT_NEAR(allocator.available(now), 15, 0.01);
}

// Guards against a bucket that refills to the whole burst while lent tokens are outstanding.
TEST(ShareAllocator, OutstandingTokensCountAgainstTheBurst)
{
    ShareAllocator allocator = readyAllocator({.ratePerSecond = 100, .burst = 20});
    const TimePoint now = Start + 10s;
    EXPECT_EQ(allocator.handle(request(1, 20), now).granted, 20);
    EXPECT_NEAR(allocator.available(now + 1s), 0, 0.01);
    EXPECT_NEAR(allocator.available(now + 1120ms), 10, 0.01);
}

// Guards against starvation of the holder that has waited longest, because other holders send requests more often.
TEST(ShareAllocator, WaitingHoldersAreServedInOrder)
{
    ShareAllocator allocator = readyAllocator({.ratePerSecond = 100, .burst = 10});
    const TimePoint now = Start + 10s;
    ShareRequest other = request(1, 10);
    other.holder = "other";
    EXPECT_EQ(allocator.handle(other, now).granted, 10);
    other.sequence = 2;
    other.accepted = 1;
    other.needed = 0;
    allocator.handle(other, now);
    const ShareGrant empty = allocator.handle(request(1, 5), now);
    EXPECT_EQ(empty.granted, 0);
    // The next report is due when a quarter of the burst has been refilled.
    EXPECT_EQ(empty.retryAfter, 25ms);
    other.sequence = 3;
    other.accepted = 2;
    other.needed = 5;
    // Five tokens have been refilled, but the holder that waits longer claims them.
    EXPECT_EQ(allocator.handle(other, now + 50ms).granted, 0);
    EXPECT_EQ(allocator.handle(request(2, 5), now + 51ms).granted, 5);
}

// Guards against spending expired tokens, for example after a pause of the process, and against counting a late
// duplicate of a grant.
TEST(ShareHolder, TokensExpireAfterTheirLifetime)
{
    ShareHolder holder("w", "h");
    EXPECT_EQ(holder.acquire(1, Start + 10s, Start), ShareHolder::Acquisition::Waiting);
    const std::optional<ShareRequest> sent = holder.nextRequest(Start);
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->needed, 1);
    EXPECT_FALSE(holder.nextRequest(Start + 10ms));
    const ShareGrant grant{.sequence = sent->sequence, .epoch = 1, .granted = 3, .tokenLifetime = 1000ms};
    holder.onGrant(grant, Start + 100ms);
    EXPECT_EQ(holder.takeServed(), std::vector<ShareHolder::WaiterId>{1});
    holder.onGrant(grant, Start + 110ms);
    EXPECT_EQ(holder.held(Start + 120ms), 2);
    EXPECT_EQ(holder.acquire(2, Start + 10s, Start + 999ms), ShareHolder::Acquisition::Taken);
    EXPECT_EQ(holder.acquire(3, Start + 1100ms, Start + 1000ms), ShareHolder::Acquisition::Waiting);
    EXPECT_EQ(holder.takeExpired(Start + 1100ms), std::vector<ShareHolder::WaiterId>{3});
}

// Guards against two allocators that hold the lease at the same time, because a member endorses both of them, for
// example after its restart, or because a lease outlasts its endorsements.
TEST(AllocatorLease, ExclusiveEndorsement)
{
    EndorsementTable endorsements(1s, Start);
    EXPECT_FALSE(endorsements.endorse("w", "a", Start + 999ms));
    EXPECT_TRUE(endorsements.endorse("w", "a", Start + 1s));
    EXPECT_FALSE(endorsements.endorse("w", "b", Start + 1999ms));
    EXPECT_TRUE(endorsements.endorse("v", "b", Start + 1999ms));
    EXPECT_TRUE(endorsements.endorse("w", "b", Start + 2s));

    AllocatorLease lease(1s);
    lease.recordEndorsement("m1", Start + 3s);
    lease.recordEndorsement("m2", Start + 5s);
    EXPECT_LT(lease.heldUntil(4), Start);
    lease.recordEndorsement("m3", Start + 4s);
    EXPECT_EQ(lease.heldUntil(4), Start + 4s);
    EXPECT_EQ(lease.heldUntil(3), Start + 5s);
}

// Guards against refusals inside the rate when nearly all callers connect to one daemon. A static split of the rate is
// the baseline.
TEST(Shares, FewRefusalsInsideTheRate)
{
    struct Case
    {
        double firstShare;
        core::Milliseconds delay;
        double loss;
    };
    for (const Case &entry : {Case{1.0 / Daemons, 2ms, 0},
                              Case{1.0 / Daemons, 20ms, 0},
                              Case{0.9, 2ms, 0},
                              Case{0.9, 20ms, 0},
                              Case{0.9, 20ms, 0.01}}) {
        const NetworkOptions network{.loss = entry.loss, .minimumDelay = entry.delay / 2, .maximumDelay = entry.delay};
        Cluster cluster(Daemons, Usual, network, 11);
        // Most callers connect to a daemon that is not the allocator.
        for (std::size_t index = 0; index < Daemons; ++index) {
            cluster.setKnownAllocator(index, Daemons - 1);
        }
        cluster.runFor(5s);
        offerSkewed(cluster, 0.95 * Usual.ratePerSecond, entry.firstShare);
        cluster.runFor(120s);
        const double refused = insideRefusals(cluster);
        std::cout << "share of the first daemon " << entry.firstShare << ", delay up to " << entry.delay.count()
                  << " ms, loss " << entry.loss << ": refused inside the rate " << refused << " of "
                  << cluster.counts.offered << ", static split "
                  << staticRefusals(0.95 * Usual.ratePerSecond, entry.firstShare, 11, 120s) << ", messages per caller "
                  << static_cast<double>(cluster.counts.messages) / cluster.counts.offered << '\n';
        EXPECT_LT(refused, 0.001);
        EXPECT_TRUE(cluster.check.held()) << cluster.check.highest;
    }
}

// Guards against a rate that is not used in full under overload, and against exceeding it.
TEST(Shares, OverloadUsesTheWholeRate)
{
    Cluster cluster(Daemons, Usual, {}, 5);
    cluster.runFor(5s);
    offerSkewed(cluster, 5 * Usual.ratePerSecond, 0.5);
    cluster.runFor(60s);
    EXPECT_TRUE(cluster.check.held()) << cluster.check.highest;
    const double expected = Usual.burst + Usual.ratePerSecond * 60;
    std::cout << "overload: taken " << cluster.counts.taken << " of " << expected << '\n';
    EXPECT_GT(cluster.counts.taken, 0.95 * expected);
}

// Guards against spending more than burst + rate * window in any window under message loss, delay, duplication and
// reordering, crashes, pauses, partitions and daemons that disagree on the allocator.
TEST(Shares, NeverAboveTheRateUnderFaults)
{
    double highest = 0;
    std::size_t mostGranting = 0;
    int taken = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const NetworkOptions network{
            .loss = 0.05, .duplication = 0.05, .minimumDelay = 1ms, .maximumDelay = 40ms, .longDelay = 0.05};
        const ShareLimits limits = seed % 2 == 0 ? Usual : ShareLimits{.ratePerSecond = 50, .burst = 10};
        Cluster cluster(Daemons, limits, network, seed);
        offerSkewed(cluster, 3 * limits.ratePerSecond, 0.4);
        for (int step = 0; step < 80; ++step) {
            const std::size_t node = cluster.pick(Daemons);
            const core::Duration length = std::chrono::milliseconds(200 + cluster.pick(3000));
            const double fault = cluster.uniform();
            if (fault < 0.2) {
                cluster.kill(node);
                cluster.at(cluster.now + length, [&cluster, node] { cluster.restart(node); });
            } else if (fault < 0.5) {
                cluster.pause(node, length);
            } else if (fault < 0.7) {
                const std::size_t other = cluster.pick(Daemons);
                cluster.block(node, other, node != other);
                cluster.at(cluster.now + length, [&cluster, node, other] { cluster.block(node, other, false); });
            } else if (fault < 0.85) {
                // All daemons learn of a new allocator, at different times.
                for (std::size_t index = 0; index < Daemons; ++index) {
                    cluster.at(cluster.now + std::chrono::milliseconds(cluster.pick(1500)),
                               [&cluster, index, node] { cluster.setKnownAllocator(index, node); });
                }
            } else {
                cluster.setKnownAllocator(cluster.pick(Daemons), node);
            }
            cluster.runFor(std::chrono::milliseconds(100 + cluster.pick(700)));
        }
        ASSERT_TRUE(cluster.check.held()) << "seed " << seed << ", level " << cluster.check.highest;
        highest = std::max(highest, cluster.check.highest / limits.burst);
        mostGranting = std::max(mostGranting, cluster.mostGranting);
        taken += cluster.counts.taken;
    }
    std::cout << "faults: highest window excess " << highest << " of the burst, tokens spent " << taken
              << ", most allocators at a time " << mostGranting << '\n';
    EXPECT_LE(mostGranting, 1U);
    EXPECT_GT(taken, 1000);
}

// Guards against a workspace that gets no tokens after its allocator has crashed.
TEST(Shares, RecoversAfterTheAllocatorCrashes)
{
    Cluster cluster(Daemons, Usual, {}, 3);
    cluster.runFor(5s);
    offerSkewed(cluster, 0.9 * Usual.ratePerSecond, 0.5);
    cluster.runFor(10s);
    for (std::size_t index = 1; index < Daemons; ++index) {
        cluster.at(cluster.now + 1s, [&cluster, index] { cluster.setKnownAllocator(index, 1); });
    }
    cluster.kill(0);
    cluster.runFor(4s);
    const simulation::Counts before = cluster.counts;
    cluster.runFor(20s);
    EXPECT_EQ(cluster.counts.refusedInsideRate, before.refusedInsideRate);
    EXPECT_GT(cluster.counts.taken, before.taken + 1000);
    EXPECT_TRUE(cluster.check.held()) << cluster.check.highest;
}

}
