#include "pooling/slottracker.h"

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace endiveshore::pooling {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);
constexpr unsigned Slots = 5;

/// A saturated server of `Slots` slots that is fed through a SlotTracker and loses a fraction of its answers.
class LossyServer
{
public:
    explicit LossyServer(double lostPart)
        : lostPart(lostPart)
    {
    }

    /// Simulates @p time and returns the number of statements that the server ran.
    int run(core::Milliseconds time)
    {
        for (core::Milliseconds passed{0}; passed < time; passed += 1ms) {
            this->now = Start + passed;
            this->finish();
            this->tracker.tick(this->now);
            while (this->tracker.hasFree()) {
                const TicketId unit = ++this->lastUnit;
                this->tracker.take(unit, this->now);
                this->waiting.push(unit);
            }
            while (this->busy < Slots && !this->waiting.empty()) {
                this->startNext();
            }
            this->mostWaiting = std::max(this->mostWaiting, this->waiting.size());
        }
        return this->ran;
    }

    std::size_t mostWaiting = 0; ///< Units that the server had to queue.

private:
    static constexpr core::Milliseconds Work{33};
    /// Timeout after which the proxy stops waiting for an answer.
    static constexpr core::Milliseconds AnswerLimit{600};

    struct End
    {
        core::TimePoint at;
        TicketId unit = 0;
        bool freesServer = false;
        bool releases = false;

        bool operator>(const End &other) const
        {
            return this->at > other.at;
        }
    };

    void startNext()
    {
        const TicketId unit = this->waiting.front();
        this->waiting.pop();
        ++this->busy;
        const bool lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostPart;
        this->ends.push({.at = this->now + Work, .unit = unit, .freesServer = true, .releases = !lost});
        if (lost) {
            this->ends.push({.at = this->now + AnswerLimit, .unit = unit, .releases = true});
        }
    }

    void finish()
    {
        while (!this->ends.empty() && this->ends.top().at <= this->now) {
            const End end = this->ends.top();
            this->ends.pop();
            this->busy -= end.freesServer ? 1 : 0;
            this->ran += end.freesServer ? 1 : 0;
            if (end.releases) {
                this->tracker.release(end.unit, this->now);
            }
        }
    }

    double lostPart;
    SlotTracker tracker{Slots};
    std::mt19937_64 random{7};
    core::TimePoint now = Start;
    std::queue<TicketId> waiting;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    unsigned busy = 0;
    int ran = 0;
    TicketId lastUnit = 0;
};

}

// Load: a saturated server that loses a fifth of its answers. Guards against slots that stay empty because lost answers
// hold them until the timeout: the server must reach four fifths of its capacity.
TEST(SlotTracker, LostAnswersDoNotKeepTheSlots)
{
    constexpr core::Milliseconds Time{10'000};
    const int possible = static_cast<int>(Slots * Time.count() / 33);
    LossyServer server(0.2);
    EXPECT_GE(server.run(Time), possible * 4 / 5);
}

// Guards against overloading a server beyond its slots because answers that are merely slow were counted as lost.
TEST(SlotTracker, ServerThatLosesNothingIsNotOverrun)
{
    LossyServer server(0);
    server.run(10'000ms);
    EXPECT_LE(server.mostWaiting, 1U);
}

// Guards against sending more and more units to a server that has stopped answering.
TEST(SlotTracker, SilentServerGetsNoFurtherUnits)
{
    LossyServer server(1);
    server.run(500ms);
    EXPECT_LE(server.mostWaiting, 1U);
    SlotTracker tracker(Slots);
    for (TicketId unit = 1; tracker.hasFree(); ++unit) {
        tracker.take(unit, Start);
    }
    tracker.tick(Start + 10s);
    EXPECT_FALSE(tracker.hasFree());
}

// Guards against slots that are released twice or never.
TEST(SlotTracker, SlotsComeBackOnce)
{
    SlotTracker tracker(2);
    tracker.take(1, Start);
    tracker.take(2, Start);
    EXPECT_EQ(tracker.inUse(), 2U);
    EXPECT_EQ(tracker.release(1, Start + 20ms), core::Duration(20ms));
    EXPECT_EQ(tracker.release(1, Start + 30ms), core::Duration::zero());
    EXPECT_EQ(tracker.inUse(), 1U);
    tracker.setSlots(0);
    EXPECT_FALSE(tracker.hasFree());
}

}
