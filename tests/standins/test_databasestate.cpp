#include "standins/databasestate.h"

#include <gtest/gtest.h>

namespace endiveshore::standins {

namespace json = boost::json;

namespace {

StatementRequest write(std::int64_t term, const std::string &key, std::int64_t amount, const std::string &requestId)
{
    return {.term = term,
            .statement = {.kind = Statement::Kind::Add, .key = key, .amount = amount},
            .requestId = requestId,
            .workspace = "coats"};
}

StatementRequest readKey(const std::string &key)
{
    return {.statement = {.kind = Statement::Kind::Get, .key = key}, .readOnly = true};
}

void replicate(const DatabaseState &primary, DatabaseState &replica)
{
    LogBatch batch;
    const Refusal refusal
        = primary.readLog(replica.term(), replica.received(), replica.log().termStarts(), 1'000, batch);
    ASSERT_EQ(refusal, Refusal::None);
    ASSERT_TRUE(replica.append(LogBatch::fromJson(batch.toJson())));
    replica.apply(replica.received());
}

}

// Guards against a primary that acknowledges writes, answers reads or serves its log after a later term was granted to
// the owner that replaces it.
TEST(DatabaseState, FencedPrimaryRefusesStatementsAndLogReads)
{
    DatabaseState primary(true, "", 0);
    EXPECT_EQ(primary.execute(write(1, "a", 1, "r1")).position, 1);
    EXPECT_TRUE(primary.fence(2, "home").granted);
    EXPECT_EQ(primary.execute(write(1, "a", 1, "r2")).refusal, Refusal::Fenced);
    EXPECT_EQ(primary.execute(readKey("a")).refusal, Refusal::Fenced);
    LogBatch batch;
    EXPECT_EQ(primary.readLog(1, 0, {}, 0, batch), Refusal::Fenced);
}

// Guards against a term granted to two owners, and against an owner that promotes a server that already follows another
// primary of that term.
TEST(DatabaseState, TermIsGrantedToOneOwner)
{
    DatabaseState server(false, "x", 0);
    EXPECT_TRUE(server.fence(2, "first").granted);
    EXPECT_TRUE(server.fence(2, "first").granted);
    EXPECT_FALSE(server.fence(2, "second").granted);
    EXPECT_FALSE(server.promote(2, "second").promoted);
    EXPECT_EQ(server.follow(2, "y"), Refusal::None);
    EXPECT_FALSE(server.promote(2, "first").promoted);
}

// Guards against a fenced replica that appends a batch of a lower term. The owner that fenced it has read its log
// length already and would miss the entry.
TEST(DatabaseState, FencedReplicaRefusesOldBatches)
{
    DatabaseState primary(true, "", 0);
    DatabaseState replica(false, "p", 0);
    primary.execute(write(1, "a", 1, "r1"));
    LogBatch batch;
    ASSERT_EQ(primary.readLog(1, 0, replica.log().termStarts(), 0, batch), Refusal::None);
    EXPECT_TRUE(replica.fence(2, "home").granted);
    EXPECT_FALSE(replica.append(batch));
    EXPECT_EQ(replica.received(), 0);
    EXPECT_FALSE(replica.checkWait(1, 0).reached);
}

// Guards against a former primary that rejoins as a replica and keeps entries which the new primary does not have, or
// serves reads from them before they are truncated.
TEST(DatabaseState, FormerPrimaryTruncatesItsDivergedLog)
{
    DatabaseState formerPrimary(true, "", 0);
    DatabaseState replica(false, "old", 0);
    formerPrimary.execute(write(1, "a", 1, "r1"));
    replicate(formerPrimary, replica);
    formerPrimary.execute(write(1, "a", 10, "r2"));

    replica.fence(2, "home");
    EXPECT_TRUE(replica.promote(2, "home").promoted);
    replica.execute(write(2, "a", 100, "r3"));
    EXPECT_EQ(formerPrimary.follow(2, "replica"), Refusal::None);
    EXPECT_EQ(formerPrimary.execute(readKey("a")).refusal, Refusal::Behind);
    replicate(replica, formerPrimary);
    EXPECT_EQ(formerPrimary.execute(readKey("a")).result.as_int64(), 101);
    EXPECT_EQ(formerPrimary.log().termStarts(), replica.log().termStarts());
    EXPECT_TRUE(formerPrimary.checkWait(2, 3).reached);

    StatementRequest ahead = readKey("a");
    ahead.minTerm = 1;
    ahead.minPosition = 2;
    EXPECT_EQ(formerPrimary.execute(ahead).refusal, Refusal::Diverged);
    ahead.minPosition = 1;
    EXPECT_EQ(formerPrimary.execute(ahead).refusal, Refusal::None);
}

// Guards against a statement that runs twice when it is repeated with the same request id, here at a replica that was
// promoted after it had replicated the first run.
TEST(DatabaseState, RepeatedRequestIdGetsTheRecordedAnswer)
{
    DatabaseState formerPrimary(true, "", 0);
    DatabaseState replica(false, "old", 0);
    formerPrimary.execute(write(1, "a", 5, "r1"));
    replicate(formerPrimary, replica);
    replica.fence(2, "home");
    replica.promote(2, "home");
    const StatementAnswer answer = replica.execute(write(2, "a", 5, "r1"));
    EXPECT_TRUE(answer.replayed);
    EXPECT_EQ(answer.result.as_int64(), 5);
    EXPECT_EQ(answer.term, 1);
    EXPECT_EQ(answer.position, 1);
}

// Guards against transactions that see each other's uncommitted statements, against uncommitted statements visible to
// reads outside of the transaction, and against a commit that runs twice.
TEST(DatabaseState, TransactionsAreIsolatedAndCommitAsOneEntry)
{
    DatabaseState primary(true, "", 0);
    ASSERT_EQ(primary.begin("t1", 1, "coats"), Refusal::None);
    ASSERT_EQ(primary.begin("t2", 1, "coats"), Refusal::None);
    StatementRequest first = write(1, "a", 1, "r1");
    first.transaction = "t1";
    EXPECT_EQ(primary.execute(first).result.as_int64(), 1);
    EXPECT_TRUE(primary.execute(first).replayed);
    EXPECT_TRUE(primary.execute(readKey("a")).result.is_null());
    StatementRequest second = write(1, "a", 1, "r2");
    second.transaction = "t2";
    EXPECT_EQ(primary.execute(second).refusal, Refusal::Locked);
    EXPECT_EQ(primary.execute(write(1, "a", 1, "r3")).refusal, Refusal::Locked);
    EXPECT_EQ(primary.commit("t1", "c1").position, 1);
    EXPECT_EQ(primary.execute(second).result.as_int64(), 2);
    primary.abort("t2");
    EXPECT_EQ(primary.execute(readKey("a")).result.as_int64(), 1);
    EXPECT_TRUE(primary.commit("t1", "c1").replayed);
    EXPECT_TRUE(primary.execute(write(1, "a", 1, "r1")).replayed);
    EXPECT_EQ(primary.commit("t2", "c2").refusal, Refusal::UnknownTransaction);
}

// Guards against a replica whose reported lag grows while the group is idle, and against a lag that counts received but
// unapplied entries as visible.
TEST(DatabaseState, LagFollowsTheNewestAppliedKeepalive)
{
    DatabaseState primary(true, "", 0);
    DatabaseState replica(false, "p", 0);
    LogBatch keepalive;
    ASSERT_EQ(primary.readLog(1, 0, replica.log().termStarts(), 500, keepalive), Refusal::None);
    EXPECT_TRUE(replica.append(keepalive));
    EXPECT_EQ(replica.lagMs(510), 10);
    primary.execute(write(1, "a", 1, ""));
    LogBatch batch;
    ASSERT_EQ(primary.readLog(1, 0, replica.log().termStarts(), 600, batch), Refusal::None);
    EXPECT_TRUE(replica.append(batch));
    EXPECT_EQ(replica.received(), 1);
    EXPECT_EQ(replica.applied(), 0);
    EXPECT_EQ(replica.lagMs(610), 110);
    replica.apply(1);
    EXPECT_EQ(replica.lagMs(610), 10);
}

// Guards against a restarted server that loses a fence, an entry or a truncation of its log, because its journal does
// not record it or restore() does not replay it.
TEST(DatabaseState, JournalRestoresLogTermsAndTruncation)
{
    std::vector<json::object> journal;
    DatabaseState formerPrimary(true, "", 0);
    formerPrimary.setJournal([&journal](const json::object &record) { journal.push_back(record); });
    DatabaseState replica(false, "old", 0);
    formerPrimary.execute(write(1, "a", 1, "r1"));
    replicate(formerPrimary, replica);
    formerPrimary.execute(write(1, "a", 10, "r2"));
    replica.fence(2, "home");
    replica.promote(2, "home");
    replica.execute(write(2, "a", 100, "r3"));
    formerPrimary.follow(2, "replica");
    replicate(replica, formerPrimary);
    formerPrimary.fence(3, "other");

    DatabaseState restored(true, "", 0);
    for (const json::object &record : journal) {
        restored.restore(record);
    }
    EXPECT_FALSE(restored.isPrimary());
    EXPECT_EQ(restored.term(), 2);
    EXPECT_EQ(restored.fencedTerm(), 3);
    EXPECT_TRUE(restored.fence(3, "other").granted);
    EXPECT_EQ(restored.received(), formerPrimary.received());
    EXPECT_EQ(restored.log().termStarts(), formerPrimary.log().termStarts());
    EXPECT_EQ(restored.execute(readKey("a")).result.as_int64(), 101);
}

}
