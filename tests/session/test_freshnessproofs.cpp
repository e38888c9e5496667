#include "session/freshnessproofs.h"

#include <gtest/gtest.h>

namespace endiveshore::session {

using namespace std::chrono_literals;

namespace {

constexpr core::BootTime Start = core::BootTime(1'000s);

}

// Guards against a position of an older term that counts as newer because its number is higher: the entries above the
// start of the newer term were lost in the change of primary.
TEST(FreshnessProofs, NewerTermComesAfterHigherNumberOfOlderTerm)
{
    const LogPosition lost{.term = 3, .position = 1'207};
    const LogPosition survived{.term = 4, .position = 1'100};
    EXPECT_TRUE(isBefore(lost, survived));
    EXPECT_EQ(laterOf(lost, survived), survived);
}

// Guards against reads older than the maximum age of their route, because the position of an older proof is used.
TEST(FreshnessProofs, ProofOlderThanTheAgeIsNotAdmissible)
{
    FreshnessProofs proofs;
    proofs.record({.term = 1, .position = 10}, Start);
    EXPECT_TRUE(proofs.earliestPositionWithin(1'500ms, Start + 1'500ms));
    EXPECT_FALSE(proofs.earliestPositionWithin(1'500ms, Start + 1'501ms));
}

// Guards against needless refusals by lagging replicas, because a later position is required than the maximum age of
// the route demands.
TEST(FreshnessProofs, EarliestAdmissiblePositionIsChosen)
{
    FreshnessProofs proofs;
    proofs.record({.term = 1, .position = 10}, Start);
    proofs.record({.term = 1, .position = 20}, Start + 500ms);
    proofs.record({.term = 1, .position = 30}, Start + 1'000ms);
    EXPECT_EQ(proofs.earliestPositionWithin(1'000ms, Start + 1'400ms)->position, 20U);
    EXPECT_EQ(proofs.earliestPositionWithin(1'000ms, Start + 1'600ms)->position, 30U);
}

// Guards against a delayed proof that replaces a newer proof.
TEST(FreshnessProofs, DelayedProofDoesNotReplaceNewerProof)
{
    FreshnessProofs proofs;
    proofs.record({.term = 2, .position = 30}, Start + 1s);
    proofs.record({.term = 1, .position = 10}, Start);
    EXPECT_EQ(proofs.earliestPositionWithin(2s, Start + 2s)->position, 30U);
    EXPECT_EQ(proofs.age(Start + 3s), 2s);
}

// Guards against memory that grows with the number of proofs, and against a merge of proofs that drops the time of the
// newest proof.
TEST(FreshnessProofs, CloseProofsAreMergedWithoutLosingTheNewestTime)
{
    FreshnessProofs proofs;
    for (int step = 0; step < 1'000; ++step) {
        proofs.record({.term = 1, .position = static_cast<std::uint64_t>(step)}, Start + step * 1ms);
    }
    EXPECT_EQ(proofs.age(Start + 1s), 1ms);
    const std::optional<LogPosition> position = proofs.earliestPositionWithin(500ms, Start + 1s);
    ASSERT_TRUE(position);
    EXPECT_GE(position->position, 500U);
    EXPECT_LE(position->position, 600U);
}

}
