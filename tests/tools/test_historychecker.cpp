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

// Guards against false violations: a read of another session may miss a write, an unknown write may be present or
// absent, and a write with the outcome NotRun must be absent.
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

// Guards against an undetected loss of data: a failover promotes a replica that lacks an acknowledged write.
TEST(HistoryChecker, RejectsALostWrite)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0), finalState("db:a", {})};
    EXPECT_EQ(checkHistory(events).lostWrites.size(), 1u);
}

// Guards against an undetected duplicate: the outcome of a write is unknown, and its retry runs the statement again.
TEST(HistoryChecker, RejectsADoubledWrite)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0, EventOutcome::Unknown),
                                           finalState("db:a", {"v1", "v1"})};
    EXPECT_EQ(checkHistory(events).doubledWrites.size(), 1u);
}

// Guards against an undetected wrong refusal: the caller gets the outcome NotRun although the write ran.
TEST(HistoryChecker, RejectsAFalseNotRun)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0, EventOutcome::NotRun),
                                           finalState("db:a", {"v1"})};
    EXPECT_EQ(checkHistory(events).falseNotRun.size(), 1u);
}

// Guards against an undetected stale read: a session reads from a replica that lacks the session's own acknowledged
// write.
TEST(HistoryChecker, RejectsAStaleSessionRead)
{
    const std::vector<HistoryEvent> events{
        write("s1", "db:a", "v1", 0), read("s1", "db:a", {}, 20), finalState("db:a", {"v1"})};
    EXPECT_EQ(checkHistory(events).staleSessionReads.size(), 1u);
}

// Guards against an undetected mix-up of responses: a read gets the response to another request and returns a value of
// another key.
TEST(HistoryChecker, RejectsACrossedAnswer)
{
    const std::vector<HistoryEvent> events{write("s1", "db:a", "v1", 0), read("s2", "db:b", {"v1"}, 20)};
    EXPECT_EQ(checkHistory(events).crossedAnswers.size(), 1u);
}

// Guards against an undetected partial transaction: only one of the two writes of a transaction is in the final state.
TEST(HistoryChecker, RejectsASplitTransaction)
{
    HistoryEvent transaction = write("s1", "db:a", "v1", 0, EventOutcome::Unknown);
    transaction.kind = EventKind::Transaction;
    transaction.secondKey = "db:b";
    const std::vector<HistoryEvent> events{transaction, finalState("db:a", {"v1"}), finalState("db:b", {})};
    EXPECT_EQ(checkHistory(events).splitTransactions.size(), 1u);
}

// Guards against an undetected second primary: a server acknowledges a write in term 1 that started after a write had
// been acknowledged in term 2.
TEST(HistoryChecker, RejectsAnAcknowledgementOfAnOlderTerm)
{
    HistoryEvent newer = write("s1", "db:a", "v1", 0);
    newer.term = 2;
    const std::vector<HistoryEvent> events{newer, write("s2", "db:a", "v2", 100)};
    EXPECT_EQ(checkHistory(events).termViolations.size(), 1u);
}

// Guards against fields that are lost when a history is written to a file and read back.
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
