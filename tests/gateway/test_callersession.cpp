#include "gateway/callersession.h"

#include "platform/lineprotocol.h"
#include "tests/gateway/fakebackend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <functional>

namespace endiveshore::gateway {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Sessions, router and pools of one daemon with in-memory servers. Callers connect over loopback.
class CallerSessionTest : public testing::Test
{
protected:
    struct Caller
    {
        explicit Caller(asio::io_context &context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        std::string input;
    };

    void SetUp() override
    {
        for (const char *id : {"p", "r"}) {
            this->backends[id] = std::make_shared<FakeBackend>();
        }
        this->backends["r"]->isPrimary = false;
        Configuration made;
        made.version = 1;
        const Route route{.service = "db",
                          .statementTimeout = 400ms,
                          .latencyObjective = 500ms,
                          .maximumAge = 2'000ms,
                          .priority = 1};
        made.routes["bookings"] = route;
        made.routes["returns"] = route;
        made.routes["returns"].kind = RouteKind::Session;
        made.services["db"] = {.name = "db", .connectionLimit = 20};
        made.workspaces["north"] = {.name = "north", .limits = {.ratePerSecond = 1'000, .burst = 1'000}};
        made.workspaceByKey["k1"] = "north";
        made.transactionIdleTimeout = 3'000ms;
        this->configuration = made;
        Deployment deployment;
        deployment.daemonId = "d";
        this->router = std::make_unique<WorkRouter>(WorkRouterOptions{
            .executor = this->context.get_executor(),
            .deployment = deployment,
            .links = [this](const net::Executor &executor) { return std::make_unique<RoutedLink>(executor, *this); }});
        this->runner = std::make_unique<OperationRunner>(this->context.get_executor(), *this->router, nullptr);
        this->rates = std::make_unique<RateClient>(this->context.get_executor(), "d", this->router->peerClient());
        this->shared = std::make_shared<SessionContext>();
        this->shared->executor = this->context.get_executor();
        this->shared->protocol = &this->protocol;
        this->shared->runner = this->runner.get();
        this->shared->rates = this->rates.get();
        this->shared->view = std::make_shared<GatewayView>();
        this->acceptor.emplace(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    }

    /// Link that connects to the in-memory server named by the target of open().
    class RoutedLink : public ServerLink
    {
    public:
        RoutedLink(net::Executor executor, CallerSessionTest &test)
            : executor(std::move(executor))
            , test(test)
        {
        }

        net::awaitable<ServerReply> open(LinkTarget target, core::Duration timeout) override
        {
            this->link = std::make_unique<FakeLink>(this->executor, this->test.backends.at(target.serverId));
            co_return co_await this->link->open(std::move(target), timeout);
        }

        net::awaitable<std::vector<ServerReply>> exchange(std::vector<ServerCommand> commands,
                                                          core::Duration timeout) override
        {
            co_return co_await this->link->exchange(std::move(commands), timeout);
        }

        bool isOpen() const override
        {
            return this->link != nullptr && this->link->isOpen();
        }

        void close() override
        {
            if (this->link != nullptr) {
                this->link->close();
            }
        }

    private:
        net::Executor executor;
        CallerSessionTest &test;
        std::unique_ptr<FakeLink> link;
    };

    void publish()
    {
        GatewayView view;
        view.configuration = std::make_shared<const Configuration>(this->configuration);
        view.self = "d";
        view.daemons["d"] = {.id = "d"};
        for (const auto &[id, backend] : this->backends) {
            view.servers[id] = {.id = id, .service = "db", .slots = 5, .claimsPrimary = id == "p"};
            view.homes[id] = {"d"};
        }
        view.primaries["db"] = "p";
        const auto published = std::make_shared<const GatewayView>(view);
        this->router->setView(published);
        this->runner->setView(published);
        this->rates->setView(published);
        this->rates->limiter().update(this->configuration, {.own = {{"north", 1}}}, core::Clock::now());
        this->shared->view = published;
    }

    std::shared_ptr<Caller> connect()
    {
        auto caller = std::make_shared<Caller>(this->context);
        caller->socket.connect(this->acceptor->local_endpoint());
        const auto session = std::make_shared<CallerSession>(this->acceptor->accept(), this->shared);
        asio::co_spawn(
            this->context, session->serve(), [session](const std::exception_ptr &failure) { EXPECT_FALSE(failure); });
        return caller;
    }

    void send(Caller &caller, std::string_view line)
    {
        asio::write(caller.socket, asio::buffer(std::string(line) + "\r\n"));
    }

    /// Reads lines up to and including READY, or until the connection closes.
    std::string receive(Caller &caller)
    {
        bool done = false;
        std::string text;
        std::function<void()> readNext = [&] {
            asio::async_read_until(caller.socket,
                                   asio::dynamic_buffer(caller.input),
                                   '\n',
                                   [&](const boost::system::error_code &error, std::size_t length) {
                                       if (error) {
                                           text += "closed";
                                           done = true;
                                           return;
                                       }
                                       const std::string line = caller.input.substr(0, length);
                                       caller.input.erase(0, length);
                                       text += line;
                                       done = line.starts_with("READY");
                                       if (!done) {
                                           readNext();
                                       }
                                   });
        };
        readNext();
        const core::TimePoint deadline = core::Clock::now() + 4s;
        while (!done && core::Clock::now() < deadline) {
            this->context.restart();
            this->context.run_for(5ms);
            this->router->tick(core::Clock::now());
        }
        EXPECT_TRUE(done) << text;
        return text;
    }

    std::string request(Caller &caller, std::string_view line)
    {
        this->send(caller, line);
        return this->receive(caller);
    }

    void withdrawKeys()
    {
        this->configuration.workspaceByKey.clear();
        ++this->configuration.version;
        this->publish();
    }

    void runFor(std::chrono::milliseconds duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    std::shared_ptr<Caller> startSession(std::string_view database = "bookings")
    {
        auto caller = this->connect();
        EXPECT_EQ(this->request(*caller, "START " + std::string(database) + " k1"), "READY I -\r\n");
        return caller;
    }

    asio::io_context context;
    platform::LineCallerProtocol protocol;
    std::map<std::string, std::shared_ptr<FakeBackend>> backends;
    Configuration configuration;
    std::unique_ptr<WorkRouter> router;
    std::unique_ptr<OperationRunner> runner;
    std::unique_ptr<RateClient> rates;
    std::shared_ptr<SessionContext> shared;
    std::optional<asio::ip::tcp::acceptor> acceptor;
};

}

// Guards against refusing callers that reconnect to a restarted daemon before it has loaded its configuration.
TEST_F(CallerSessionTest, StartWaitsForTheConfiguration)
{
    const auto caller = this->connect();
    this->send(*caller, "START bookings k1");
    this->context.run_for(50ms);
    this->publish();
    EXPECT_EQ(this->receive(*caller), "READY I -\r\n");
}

// Guards against sessions with an unknown database or key, and against statements before a session has started.
TEST_F(CallerSessionTest, UnknownDatabaseAndKeyAreRefused)
{
    this->publish();
    EXPECT_TRUE(this->request(*this->connect(), "START nothing k1").starts_with("ERROR NODB"));
    EXPECT_TRUE(this->request(*this->connect(), "START bookings k2").starts_with("ERROR UNAUTH"));
    EXPECT_TRUE(this->request(*this->connect(), "QUERY 1 READ 1").starts_with("ERROR MALFORMED"));
}

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

// Guards against a session that does not read its own write: the replica has not received the write, so the read must
// go to the primary.
TEST_F(CallerSessionTest, SessionReadsItsOwnWrite)
{
    this->publish();
    const auto caller = this->startSession("returns");
    this->backends["p"]->position.position = 150;
    EXPECT_TRUE(this->request(*caller, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
    EXPECT_TRUE(this->request(*caller, "QUERY 2 READ 1").starts_with("COMPLETE signed"));
    EXPECT_EQ(this->backends["p"]->statements().back().id, "2");
    for (const FakeBackend::Seen &seen : this->backends["r"]->statements()) {
        EXPECT_NE(seen.id, "1");
    }
}

// Guards against acknowledging a commit after a statement of the transaction has failed.
TEST_F(CallerSessionTest, FailedTransactionCanOnlyBeEnded)
{
    this->publish();
    const auto caller = this->startSession();
    EXPECT_EQ(this->request(*caller, "QUERY 1 BEGIN"), "COMPLETE -\r\nREADY T -\r\n");
    EXPECT_TRUE(this->request(*caller, "QUERY 2 WRITE 1 x").ends_with("READY T 3.100\r\n"));
    this->backends["p"]->isPrimary = false;
    EXPECT_TRUE(this->request(*caller, "QUERY 3 WRITE 1 x").ends_with("READY E -\r\n"));
    EXPECT_TRUE(this->request(*caller, "QUERY 4 READ 1").starts_with("ERROR MALFORMED"));
    EXPECT_TRUE(this->request(*caller, "QUERY 5 COMMIT").starts_with("ERROR ABORTED"));
    EXPECT_TRUE(this->request(*caller, "QUERY 6 SET a b").ends_with("READY I -\r\n"));
    for (const FakeBackend::Seen &seen : this->backends["p"]->statements()) {
        EXPECT_NE(seen.text, "COMMIT");
    }
}

// Guards against a transaction that stays open, and holds its server connection, after its caller has disconnected.
TEST_F(CallerSessionTest, LeavingCallerRollsBack)
{
    this->publish();
    auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->request(*caller, "QUERY 2 WRITE 1 x");
    caller->socket.close();
    this->runFor(100ms);
    EXPECT_EQ(this->backends["p"]->seen.back().kind, CommandKind::Rollback);
    EXPECT_EQ(this->router->pools().at("p")->openTransactions(), 0U);
}

// Guards against operations over the rate that reach a server or are refused only at their timeout.
TEST_F(CallerSessionTest, OperationOverTheRateIsRefusedSoon)
{
    this->configuration.workspaces["north"].limits = {.ratePerSecond = 0.1, .burst = 1};
    this->publish();
    const auto caller = this->startSession();
    EXPECT_TRUE(this->request(*caller, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
    const core::TimePoint start = core::Clock::now();
    EXPECT_TRUE(this->request(*caller, "QUERY 2 WRITE 1 x").starts_with("ERROR BUSY"));
    EXPECT_LT(core::Clock::now() - start, 150ms);
    EXPECT_EQ(this->backends["p"]->statements().size(), 1U);
}

// Guards against a rate that is exceeded while answers are lost: a read that a server ran without answering, and that
// no server accepted when it was tried again, was given back to the rate.
TEST_F(CallerSessionTest, AReadThatMayHaveRunIsNotGivenBackToTheRate)
{
    this->configuration.workspaces["north"].limits = {.ratePerSecond = 0.01, .burst = 2};
    this->publish();
    const auto caller = this->startSession();
    EXPECT_TRUE(this->request(*caller, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
    FakeBackend &primary = *this->backends["p"];
    primary.loseAnswers = 1;
    for (const auto &[id, backend] : this->backends) {
        backend->refuse = 1'000;
    }
    EXPECT_TRUE(this->request(*caller, "QUERY 2 READ 1").starts_with("ERROR"));
    std::size_t ran = 0;
    for (const auto &[id, backend] : this->backends) {
        ran += backend->statements().size();
    }
    EXPECT_EQ(ran, 2U);
    EXPECT_LT(this->rates->limiter().tokens("north", core::Clock::now()), 1);
}

// Guards against a promise that nothing was kept for a commit whose answer was lost, also if the transaction had no
// statements.
TEST_F(CallerSessionTest, LostAnswerToACommitWithoutStatementsIsInDoubt)
{
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    this->backends["p"]->loseAnswers = 1'000;
    EXPECT_TRUE(this->request(*caller, "QUERY 2 COMMIT").starts_with("ERROR TIMEOUT"));
}

// Guards against a connection that stays pinned until the idle timeout after the commit of a transaction without
// statements.
TEST_F(CallerSessionTest, CommitWithoutStatementsReleasesItsConnection)
{
    this->publish();
    const auto caller = this->startSession();
    this->request(*caller, "QUERY 1 BEGIN");
    EXPECT_TRUE(this->request(*caller, "QUERY 2 COMMIT").starts_with("COMPLETE signed"));
    EXPECT_EQ(this->router->pools().at("p")->openTransactions(), 0U);
}

// Guards against data that are cut off at a line feed and whose rest runs as another statement: only CR LF ends a line.
TEST_F(CallerSessionTest, LineFeedInDataIsData)
{
    this->publish();
    const auto caller = this->startSession();
    this->backends["p"]->rows = {"first\nDATAROW second\nCOMPLETE forged"};
    EXPECT_EQ(this->request(*caller, "QUERY 1 WRITE 1 x\nQUERY 2 WRITE 2 y\n"),
              "DATAROW first\nDATAROW second\nCOMPLETE forged\r\nCOMPLETE signed\r\nREADY I 3.100\r\n");
    ASSERT_EQ(this->backends["p"]->statements().size(), 1U);
    EXPECT_EQ(this->backends["p"]->statements().front().text, "WRITE 1 x\nQUERY 2 WRITE 2 y\n");
}

// Guards against a caller that sends an endless line: it must neither exhaust the memory nor affect the connections of
// other callers.
TEST_F(CallerSessionTest, EndlessLineClosesOnlyItsConnection)
{
    this->publish();
    const auto endless = this->startSession();
    const auto other = this->startSession();
    std::string block(64 * 1024, 'x');
    endless->socket.non_blocking(true);
    for (int count = 0; count < 400; ++count) {
        boost::system::error_code error;
        endless->socket.write_some(asio::buffer(block), error);
        this->context.restart();
        this->context.run_for(1ms);
        if (error && error != asio::error::would_block) {
            break;
        }
    }
    EXPECT_TRUE(this->receive(*endless).starts_with("ERROR MALFORMED"));
    EXPECT_EQ(this->receive(*endless), "closed");
    EXPECT_TRUE(this->request(*other, "QUERY 1 WRITE 1 x").starts_with("COMPLETE signed"));
}

}
