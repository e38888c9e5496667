#include "tools/historychecker.h"

#include <gtest/gtest.h>

#include <sstream>

namespace endiveshore::tools {

namespace {

HistoryEvent write(std::string session,
                   std::string key,
                   std::string value,
                   std::int64_t start,
                   EventOutcome outcome = EventOutcome::Done)
{
    HistoryEvent event;
    event.kind = EventKind::Write;
    event.outcome = outcome;
    event.session = std::move(session);
    event.key = std::move(key);
    event.value = std::move(value);
    event.startUs = start;
    event.endUs = start + 10;
    event.term = 1;
    return event;
}

HistoryEvent read(std::string session, std::string key, std::vector<std::string> seen, std::int64_t start)
{
    HistoryEvent event;
    event.kind = EventKind::Read;
    event.outcome = EventOutcome::Done;
    event.session = std::move(session);
    event.key = std::move(key);
    event.seen = std::move(seen);
    event.startUs = start;
    event.endUs = start + 10;
    return event;
}

HistoryEvent finalState(std::string key, std::vector<std::string> seen)
{
    HistoryEvent event = read("", std::move(key), std::move(seen), 1'000'000);
    event.kind = EventKind::Final;
    return event;
}

}

// Guards against a checker that reports violations in a correct run.
TEST(HistoryChecker, AcceptsACorrectHistory)
{
    const std::vector<HistoryEvent> events{
        write("s1", "db:a", "v1", 0),
        read("s1", "db:a", {"v1"}, 20),
        read("s2", "db:a", {}, 20),
        write("s1", "db:a", "v2", 40, EventOutcome::Unknown),
        write("s1", "db:a", "v3", 60, EventOutcome::NotRun),
        finalState("db:a", {"v1", "v2"}),
    };
    EXPECT_EQ(checkHistory(events).violations(), 0u);
}

// Guards against a checker that overlooks an acknowledged write that a failover lost.
TEST(HistoryChecker, RejectsALostWrite)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0), finalState("db:a", {})};
    EXPECT_EQ(checkHistory(events).lostWrites.size(), 1u);
}

// Guards against a checker that overlooks a statement that ran twice.
TEST(HistoryChecker, RejectsADoubledWrite)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0, EventOutcome::Unknown),
                                           finalState("db:a", {"v1", "v1"})};
    EXPECT_EQ(checkHistory(events).doubledWrites.size(), 1u);
}

// Guards against a checker that trusts a refusal.
TEST(HistoryChecker, RejectsAFalseNotRun)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0, EventOutcome::NotRun),
                                           finalState("db:a", {"v1"})};
    EXPECT_EQ(checkHistory(events).falseNotRun.size(), 1u);
}

// Guards against a checker that overlooks a read behind the session's own write.
TEST(HistoryChecker, RejectsAStaleSessionRead)
{
    const std::vector<HistoryEvent> events{
        write("s1", "db:a", "v1", 0), read("s1", "db:a", {}, 20), finalState("db:a", {"v1"})};
    EXPECT_EQ(checkHistory(events).staleSessionReads.size(), 1u);
}

// Guards against a checker that overlooks an answer to another request.
TEST(HistoryChecker, RejectsACrossedAnswer)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0), read("s2", "db:b", {"v1"}, 20)};
    EXPECT_EQ(checkHistory(events).crossedAnswers.size(), 1u);
}

// Guards against a checker that overlooks half of a transaction.
TEST(HistoryChecker, RejectsASplitTransaction)
{
    HistoryEvent transaction = write("s1", "db:a", "v1", 0, EventOutcome::Unknown);
    transaction.kind = EventKind::Transaction;
    transaction.secondKey = "db:b";
    const std::vector<HistoryEvent> events{transaction, finalState("db:a", {"v1"}), finalState("db:b", {})};
    EXPECT_EQ(checkHistory(events).splitTransactions.size(), 1u);
}

// Guards against a checker that overlooks an acknowledgement by a replaced primary.
TEST(HistoryChecker, RejectsAnAcknowledgementOfAnOlderTerm)
{
    HistoryEvent newer = write("s1", "db:a", "v1", 0);
    newer.term = 2;
    const std::vector<HistoryEvent> events{newer, write("s2", "db:a", "v2", 100)};
    EXPECT_EQ(checkHistory(events).termViolations.size(), 1u);
}

TEST(History, RoundTripsThroughText)
{
    std::stringstream stream;
    writeHistory(stream, {write("s1", "db:a", "v1", 5), read("s1", "db:a", {"v1"}, 20)});
    const std::vector<HistoryEvent> events = readHistory(stream);
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0].value, "v1");
    EXPECT_EQ(events[1].seen, std::vector<std::string>({"v1"}));
}

}
