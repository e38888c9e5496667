#include "pooling/admissionqueue.h"

#include <gtest/gtest.h>

#include <map>
#include <queue>

namespace endiveshore::pooling {

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint(1'000s);
constexpr FreeResources AllFree{.slot = true, .connection = true, .transaction = true};

queueing::QueueTicket ticket(std::string_view workspace, core::TimePoint deadline = Start + 10s)
{
    return {.workspace = workspace, .priority = queueing::Priority::Read, .deadline = deadline};
}

}

// Guards against a deadlock: an open transaction that queues behind new units, which wait for the connection that the
// transaction holds.
TEST(AdmissionQueue, StatementsOfOpenTransactionsGoFirst)
{
    AdmissionQueue queue(1);
    queue.push(1, UnitNeed::SlotAndConnection, ticket("a"), Start);
    queue.push(2, UnitNeed::SlotAndTransaction, ticket("a"), Start);
    queue.push(3, UnitNeed::Slot, ticket("a"), Start);
    EXPECT_EQ(queue.next(AllFree, Start)->ticket, 3U);
}

// Guards against head-of-line blocking: a transaction at the head of the queue that may not take a connection keeps
// single statements from using the free connections.
TEST(AdmissionQueue, SingleStatementsPassTransactionsWithoutAConnection)
{
    AdmissionQueue queue(1);
    queue.push(1, UnitNeed::SlotAndTransaction, ticket("a"), Start);
    queue.push(2, UnitNeed::SlotAndConnection, ticket("a"), Start);
    const FreeResources noTransaction{.slot = true, .connection = true, .transaction = false};
    EXPECT_EQ(queue.next(noTransaction, Start)->ticket, 2U);
    EXPECT_FALSE(queue.next(noTransaction, Start));
    EXPECT_EQ(queue.next(AllFree, Start)->ticket, 1U);
}

// Guards against units that stay queued after their deadline and run although the caller already got a refusal.
TEST(AdmissionQueue, ExpiredUnitsOfAllKindsAreTakenOut)
{
    AdmissionQueue queue(1);
    queue.push(1, UnitNeed::SlotAndConnection, ticket("a", Start + 1s), Start);
    queue.push(2, UnitNeed::SlotAndTransaction, ticket("a", Start + 1s), Start);
    queue.push(3, UnitNeed::Slot, ticket("a", Start + 1s), Start);
    queue.push(4, UnitNeed::SlotAndConnection, ticket("a", Start + 9s), Start);
    EXPECT_EQ(queue.takeExpired(Start + 2s).size(), 3U);
    EXPECT_EQ(queue.next(AllFree, Start + 2s)->ticket, 4U);
}

// Load: one server of 5 slots and 33 ms per statement (capacity 150 per second). One workspace sends six times its
// normal 20 per second while seven others send 10. Guards against the busy workspace taking the slots of the others: at
// least 98 % of their statements must be served.
TEST(AdmissionQueue, BusyWorkspaceDoesNotStarveTheOthers)
{
    constexpr unsigned Slots = 5;
    constexpr auto Work = 33ms;
    constexpr auto Objective = 1'500ms;
    AdmissionQueue queue(Slots);
    std::map<TicketId, std::string> owner;
    std::map<std::string, int> requested;
    std::map<std::string, int> served;
    std::priority_queue<core::TimePoint, std::vector<core::TimePoint>, std::greater<>> busy;
    std::map<core::TimePoint, std::vector<AdmissionQueue::Admitted>> ends;
    TicketId next = 0;
    for (core::Milliseconds time{0}; time < 20s; time += 1ms) {
        const core::TimePoint now = Start + time;
        for (int workspace = 0; workspace < 8; ++workspace) {
            const auto gap = workspace == 0 ? 8 : 100;
            if (time.count() % gap == workspace % gap) {
                const std::string name(1, static_cast<char>('a' + workspace));
                ++requested[name];
                owner[++next] = name;
                queue.push(next, UnitNeed::SlotAndConnection, ticket(name, now + Objective), now);
            }
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            for (const AdmissionQueue::Admitted &unit : ends.begin()->second) {
                queue.complete(unit, Work);
                busy.pop();
            }
            ends.erase(ends.begin());
        }
        queue.takeExpired(now);
        while (busy.size() < Slots) {
            const auto admitted = queue.next(AllFree, now);
            if (!admitted) {
                break;
            }
            ++served[owner[admitted->ticket]];
            busy.push(now + Work);
            ends[now + Work].push_back(*admitted);
        }
    }
    for (int workspace = 1; workspace < 8; ++workspace) {
        const std::string name(1, static_cast<char>('a' + workspace));
        EXPECT_GE(served[name], requested[name] * 98 / 100) << name;
    }
    EXPECT_GT(served["a"], requested["a"] / 2);
}

}
