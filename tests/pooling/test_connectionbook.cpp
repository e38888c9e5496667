#include "pooling/connectionbook.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace endiveshore::pooling {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);

}

// Guards against statements of one workspace on a connection that was started for another.
TEST(ConnectionBook, ConnectionServesOnlyItsWorkspace)
{
    ConnectionBook book(4);
    const std::optional<ConnectionChoice> first = book.take("north", false);
    book.release(first->connection, Start);
    const std::optional<ConnectionChoice> other = book.take("south", false);
    EXPECT_EQ(other->kind, ConnectionChoice::Kind::Open);
    const std::optional<ConnectionChoice> again = book.take("north", false);
    EXPECT_EQ(again->kind, ConnectionChoice::Kind::Reuse);
    EXPECT_EQ(again->connection, first->connection);
}

// Guards against more connections than the server allows: the one used longest ago makes room.
TEST(ConnectionBook, LongestIdleConnectionMakesRoom)
{
    ConnectionBook book(2);
    const ConnectionId first = book.take("a", false)->connection;
    const ConnectionId second = book.take("b", false)->connection;
    book.release(second, Start);
    book.release(first, Start + 1s);
    const std::optional<ConnectionChoice> choice = book.take("c", false);
    EXPECT_EQ(choice->evicted, second);
    EXPECT_EQ(book.open(), 2U);
}

// Guards against resting transactions that hold every connection while single statements wait.
TEST(ConnectionBook, TransactionsLeaveConnectionsForSingleStatements)
{
    ConnectionBook book(10);
    while (book.hasFreeForTransaction()) {
        const std::optional<ConnectionChoice> taken = book.take("a", true);
        ASSERT_TRUE(taken);
        book.opened(taken->connection);
    }
    EXPECT_EQ(book.inUse(), 8U);
    EXPECT_FALSE(book.take("a", true));
    EXPECT_TRUE(book.take("a", false));
}

// Guards against a storm of new connections that the server resets: after a refusal only open ones are used.
TEST(ConnectionBook, RefusalLimitsToOpenConnectionsForATime)
{
    ConnectionBook book(10);
    const ConnectionId open = book.take("a", false)->connection;
    const ConnectionId refused = book.take("a", false)->connection;
    book.remove(refused);
    book.refuseNew(Start + 250ms);
    EXPECT_FALSE(book.take("a", false));
    book.release(open, Start);
    EXPECT_EQ(book.take("b", false)->evicted, open);
    book.tick(Start + 250ms);
    EXPECT_TRUE(book.take("a", false));
}

// Guards against any order of events that leaves the counts wrong or passes the limit.
TEST(ConnectionBook, CountsHoldUnderRandomUse)
{
    rc::check("open <= limit and in use = taken", [](const std::vector<std::uint8_t> &steps) {
        constexpr unsigned Limit = 5;
        ConnectionBook book(Limit);
        std::set<ConnectionId> taken;
        core::TimePoint now = Start;
        for (const std::uint8_t step : steps) {
            now += 1ms;
            if (step % 3 == 0 && !taken.empty()) {
                book.release(*taken.begin(), now);
                taken.erase(taken.begin());
            } else if (step % 7 == 0 && !taken.empty()) {
                book.remove(*taken.begin());
                taken.erase(taken.begin());
            } else if (const auto choice
                       = book.take(std::string(1, static_cast<char>('a' + step % 4)), step % 2 == 0)) {
                RC_ASSERT(taken.insert(choice->connection).second);
            }
            RC_ASSERT(book.open() <= Limit);
            RC_ASSERT(book.inUse() == taken.size());
        }
    });
}

// Guards against a storm of new connections, each of which occupies a slot of the server.
TEST(ConnectionBook, FewConnectionsAreOpenedAtATime)
{
    ConnectionBook book(20);
    std::optional<ConnectionChoice> last;
    int opening = 0;
    while (book.hasFree()) {
        last = book.take("a", false);
        ++opening;
    }
    EXPECT_EQ(opening, 3);
    book.opened(last->connection);
    EXPECT_TRUE(book.hasFree());
}

}
