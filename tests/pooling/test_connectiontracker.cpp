#include "pooling/connectiontracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace endiveshore::pooling {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);

}

// Guards against statements of one workspace that run on a connection opened for another workspace.
TEST(ConnectionTracker, ConnectionServesOnlyItsWorkspace)
{
    ConnectionTracker tracker(4);
    const std::optional<ConnectionChoice> first = tracker.take("north", false);
    tracker.release(first->connection, Start);
    const std::optional<ConnectionChoice> other = tracker.take("south", false);
    EXPECT_EQ(other->kind, ConnectionChoice::Kind::Open);
    const std::optional<ConnectionChoice> again = tracker.take("north", false);
    EXPECT_EQ(again->kind, ConnectionChoice::Kind::Reuse);
    EXPECT_EQ(again->connection, first->connection);
}

// Guards against exceeding the server's connection limit: at the limit, the least recently used idle connection is
// evicted.
TEST(ConnectionTracker, LongestIdleConnectionMakesRoom)
{
    ConnectionTracker tracker(2);
    const ConnectionId first = tracker.take("a", false)->connection;
    const ConnectionId second = tracker.take("b", false)->connection;
    tracker.release(second, Start);
    tracker.release(first, Start + 1s);
    const std::optional<ConnectionChoice> choice = tracker.take("c", false);
    EXPECT_EQ(choice->evicted, second);
    EXPECT_EQ(tracker.open(), 2U);
}

// Guards against idle transactions that hold every connection while single statements wait.
TEST(ConnectionTracker, TransactionsLeaveConnectionsForSingleStatements)
{
    ConnectionTracker tracker(10);
    while (tracker.hasFreeForTransaction()) {
        const std::optional<ConnectionChoice> taken = tracker.take("a", true);
        ASSERT_TRUE(taken);
        tracker.opened(taken->connection);
    }
    EXPECT_EQ(tracker.inUse(), 8U);
    EXPECT_FALSE(tracker.take("a", true));
    EXPECT_TRUE(tracker.take("a", false));
}

// Guards against repeated connection attempts that the server resets: after a refusal, the number of connections must
// not grow until the time given to blockNewConnections().
TEST(ConnectionTracker, RefusalLimitsToOpenConnectionsForATime)
{
    ConnectionTracker tracker(10);
    const ConnectionId open = tracker.take("a", false)->connection;
    const ConnectionId refused = tracker.take("a", false)->connection;
    tracker.remove(refused);
    tracker.blockNewConnections(Start + 250ms);
    EXPECT_FALSE(tracker.take("a", false));
    tracker.release(open, Start);
    EXPECT_EQ(tracker.take("b", false)->evicted, open);
    tracker.tick(Start + 250ms);
    EXPECT_TRUE(tracker.take("a", false));
}

// Guards against sequences of take, release and remove after which the counts are wrong or the limit is exceeded.
TEST(ConnectionTracker, CountsHoldUnderRandomUse)
{
    rc::check("open <= limit and in use = taken", [](const std::vector<std::uint8_t> &steps) {
        constexpr unsigned Limit = 5;
        ConnectionTracker tracker(Limit);
        std::set<ConnectionId> taken;
        core::TimePoint now = Start;
        for (const std::uint8_t step : steps) {
            now += 1ms;
            if (step % 3 == 0 && !taken.empty()) {
                tracker.release(*taken.begin(), now);
                taken.erase(taken.begin());
            } else if (step % 7 == 0 && !taken.empty()) {
                tracker.remove(*taken.begin());
                taken.erase(taken.begin());
            } else if (const auto choice
                       = tracker.take(std::string(1, static_cast<char>('a' + step % 4)), step % 2 == 0)) {
                RC_ASSERT(taken.insert(choice->connection).second);
            }
            RC_ASSERT(tracker.open() <= Limit);
            RC_ASSERT(tracker.inUse() == taken.size());
        }
    });
}

// Guards against opening many connections at once: each occupies a slot of the server while it is opened.
TEST(ConnectionTracker, FewConnectionsAreOpenedAtATime)
{
    ConnectionTracker tracker(20);
    std::optional<ConnectionChoice> last;
    int opening = 0;
    while (tracker.hasFree()) {
        last = tracker.take("a", false);
        ++opening;
    }
    EXPECT_EQ(opening, 3);
    tracker.opened(last->connection);
    EXPECT_TRUE(tracker.hasFree());
}

}
