#include "tests/gateway/callersessiontest.h"

namespace endiveshore::gateway {

// Guards against a withdrawn key that stays valid on sessions that are already open.
TEST_F(CallerSessionTest, WithdrawnKeyStopsOnOpenSession)
{
    this->publish();
    const auto caller = this->startSession();
    EXPECT_TRUE(this->request(*caller, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
    this->withdrawKeys();
    EXPECT_TRUE(this->request(*caller, "QUERY 2 WRITE 1 x").starts_with("ERROR UNAUTH"));
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

// Guards against a transaction that goes on after its key was withdrawn: none of its statements may reach a server any
// more, and the server must not keep it open.
TEST_F(CallerSessionTest, WithdrawnKeyEndsAnOpenTransaction)
{
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    EXPECT_TRUE(this->request(*caller, "QUERY 2 WRITE 1 x").ends_with("READY T 3.100\r\n"));
    this->withdrawKeys();
    const std::string refused = this->request(*caller, "QUERY 3 WRITE 1 y");
    EXPECT_TRUE(refused.starts_with("ERROR UNAUTH")) << refused;
    EXPECT_TRUE(refused.ends_with("READY E -\r\n")) << refused;
    this->runFor(100ms);
    EXPECT_EQ(this->backends["p"]->seen.back().kind, CommandKind::Rollback);
    EXPECT_EQ(this->router->pools().at("p")->openTransactions(), 0U);
    EXPECT_TRUE(this->request(*caller, "QUERY 4 COMMIT").ends_with("READY I -\r\n"));
    EXPECT_TRUE(this->request(*caller, "QUERY 5 WRITE 1 z").starts_with("ERROR UNAUTH"));
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

// Guards against a commit for a key that was withdrawn during the transaction.
TEST_F(CallerSessionTest, WithdrawnKeyRefusesTheCommit)
{
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->request(*caller, "QUERY 2 WRITE 1 x");
    this->withdrawKeys();
    const std::string refused = this->request(*caller, "QUERY 3 COMMIT");
    EXPECT_TRUE(refused.starts_with("ERROR UNAUTH")) << refused;
    EXPECT_TRUE(refused.ends_with("READY I -\r\n")) << refused;
    this->runFor(100ms);
    EXPECT_EQ(this->backends["p"]->seen.back().kind, CommandKind::Rollback);
    EXPECT_EQ(this->router->pools().at("p")->openTransactions(), 0U);
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

// Guards against a transaction that rests after BEGIN and starts its work, or commits, with a withdrawn key.
TEST_F(CallerSessionTest, WithdrawnKeyRefusesATransactionWithoutStatements)
{
    this->publish();
    const auto writer = this->startSession();
    const auto committer = this->startSession();
    this->request(*writer, "QUERY 1 BEGIN");
    this->request(*committer, "QUERY 2 BEGIN");
    this->withdrawKeys();
    EXPECT_TRUE(this->request(*writer, "QUERY 3 WRITE 1 x").starts_with("ERROR UNAUTH"));
    EXPECT_TRUE(this->request(*committer, "QUERY 4 COMMIT").starts_with("ERROR UNAUTH"));
    EXPECT_TRUE(this->backends["p"]->statements().empty());
}

// Guards against statements that the proxy answers itself and that a withdrawn key can still use.
TEST_F(CallerSessionTest, WithdrawnKeyRefusesStatementsWithoutServer)
{
    this->publish();
    const auto caller = this->startSession();
    EXPECT_TRUE(this->request(*caller, "QUERY 1 PREPARE s READ q").starts_with("COMPLETE -"));
    this->withdrawKeys();
    for (const char *statement : {"SET a b", "PREPARE t READ q", "DEALLOC s", "BEGIN"}) {
        EXPECT_TRUE(this->request(*caller, "QUERY 2 " + std::string(statement)).starts_with("ERROR UNAUTH"))
            << statement;
    }
}

// Guards against statements that run for the workspace that held a key before: the transaction ends with a promise
// that nothing is kept, and the next one runs for the new workspace.
TEST_F(CallerSessionTest, KeyOfAnotherWorkspaceAbortsTheTransaction)
{
    this->configuration.workspaces["south"] = {.name = "south"};
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->request(*caller, "QUERY 2 WRITE 1 x");
    this->configuration.workspaceByKey["k1"] = "south";
    ++this->configuration.version;
    this->publish();
    EXPECT_TRUE(this->request(*caller, "QUERY 3 WRITE 1 y").starts_with("ERROR ABORTED"));
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

// Guards against operations on open routes that go on for the workspace of a withdrawn key.
TEST_F(CallerSessionTest, WithdrawnKeyAbortsTheTransactionOnAnOpenRoute)
{
    this->configuration.routes["bookings"].isOpen = true;
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->request(*caller, "QUERY 2 WRITE 1 x");
    this->withdrawKeys();
    EXPECT_TRUE(this->request(*caller, "QUERY 3 COMMIT").starts_with("ERROR ABORTED"));
    EXPECT_TRUE(this->request(*caller, "QUERY 4 WRITE 1 x").starts_with("COMPLETE signed"));
    EXPECT_EQ(this->backends["p"]->statements().size(), 2U);
}

// Guards against a change of a route that ends running transactions: it applies from the next transaction onward.
TEST_F(CallerSessionTest, RemovedRouteLetsOpenTransactionsFinish)
{
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->request(*caller, "QUERY 2 WRITE 1 x");
    this->configuration.routes.erase("bookings");
    ++this->configuration.version;
    this->publish();
    EXPECT_TRUE(this->request(*caller, "QUERY 3 COMMIT").starts_with("COMPLETE signed"));
    EXPECT_TRUE(this->request(*caller, "QUERY 4 WRITE 1 x").starts_with("ERROR NODB"));
}

// Guards against an operation that runs with a key that was withdrawn while the operation waited for its rate.
TEST_F(CallerSessionTest, WithdrawnKeyRefusesAnOperationThatWaitsForItsRate)
{
    this->configuration.workspaces["north"].limits = {.ratePerSecond = 5, .burst = 1};
    this->publish();
    const auto caller = this->startSession();
    EXPECT_TRUE(this->request(*caller, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
    this->send(*caller, "QUERY 2 WRITE 1 y");
    this->runFor(20ms);
    this->withdrawKeys();
    EXPECT_TRUE(this->receive(*caller).starts_with("ERROR UNAUTH"));
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

}
