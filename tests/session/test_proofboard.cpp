#include "session/proofboard.h"

#include <gtest/gtest.h>

#include <random>

namespace endiveshore::session {

using namespace std::chrono_literals;

namespace {

constexpr core::BootTime Start = core::BootTime(1'000s);

}

// Guards against a proof that seems younger at its receiver than it is, which would let a read miss an acknowledged
// commit: the clocks of the processes differ, messages take any time, and the processes are suspended at any moment.
TEST(ProofBoard, AProofNeverSeemsYoungerThanItIs)
{
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> anyDelay(0, 3'000'000);
    std::uniform_int_distribution<int> anyOffset(-900, 900);
    for (int run = 0; run < 2'000; ++run) {
        // True time is that of the receiver; the sender's clock differs by an offset.
        const auto senderOffset = std::chrono::seconds(anyOffset(random));
        core::BootTime now = Start;
        const auto pass = [&] { now += std::chrono::microseconds(anyDelay(random)); };
        const StampClock clock(7);
        ProofBoard sender;
        // The proof may be older or younger than the stamp that comes back.
        const bool isTakenFirst = run % 2 == 0;
        core::BootTime takenAt;
        const auto take = [&] {
            takenAt = now;
            sender.record("db", {.term = 1, .position = 5}, now + senderOffset);
        };
        if (isTakenFirst) {
            take();
        }
        pass();
        const ClockStamp stamp = clock.stamp(now);
        pass();
        if (!isTakenFirst) {
            take();
        }
        pass();
        const AgedProofs message = sender.aged(now + senderOffset);
        pass();
        const std::optional<core::BootTime> madeAfter = clock.timeOf(stamp, now);
        ASSERT_TRUE(madeAfter);
        ProofBoard receiver;
        receiver.record(message, *madeAfter);
        for (const auto &[service, proof] : receiver.aged(now)) {
            EXPECT_GE(proof.age, now - takenAt) << run;
            EXPECT_EQ(proof.position.position, 5U);
        }
    }
}

// Guards against a stamp of an earlier process at the same address, whose clock may have been a different one.
TEST(ProofBoard, OnlyStampsOfTheOwnProcessCount)
{
    const StampClock clock(7);
    EXPECT_TRUE(clock.timeOf(clock.stamp(Start), Start + 1s));
    EXPECT_FALSE(clock.timeOf(StampClock(8).stamp(Start), Start + 1s));
    EXPECT_FALSE(clock.timeOf(clock.stamp(Start + 2s), Start + 1s));
    EXPECT_FALSE(clock.timeOf(ClockStamp(), Start));
}

// Guards against an older proof that replaces a newer one, and against proofs that are passed on for ever.
TEST(ProofBoard, KeepsTheNewestProofForAWhile)
{
    ProofBoard board;
    board.record("db", {.term = 1, .position = 9}, Start);
    board.record("db", {.term = 1, .position = 7}, Start - 1s);
    EXPECT_EQ(board.aged(Start + 1s).at("db"), (AgedProof{.position = {.term = 1, .position = 9}, .age = 1s}));
    EXPECT_EQ(board.aged(Start + 1us).at("db").age, 1ms);
    EXPECT_TRUE(board.aged(Start + 5s).empty());
}

}
