#include "backend/connectionpool.h"
#include "tests/support/childprocess.h"
#include "tests/support/portguard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

namespace endiveshore::backend {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

const net::TcpEndpoint ServerEndpoint(asio::ip::address_v4::loopback(), 23401);
const net::TcpEndpoint ProxyEndpoint(asio::ip::address_v4::loopback(), 23402);
const net::TcpEndpoint ControlEndpoint(asio::ip::address_v4::loopback(), 23403);

net::awaitable<void> pause(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

net::awaitable<void> waitUntilUp(net::TcpEndpoint endpoint)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        ServerClient client(co_await asio::this_coro::executor);
        bool up = true;
        try {
            co_await client.connect(endpoint, 200ms);
            co_await client.status(500ms);
        } catch (const core::Error &) {
            up = false;
        }
        if (up) {
            co_return;
        }
        co_await pause(10ms);
    }
    ADD_FAILURE() << "the server did not start";
}

net::awaitable<void> setFault(std::string_view change)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = change;
    const net::HttpResponse response = co_await net::exchangeOnce(ControlEndpoint, request, 1s);
    EXPECT_EQ(response.status, 200) << response.body;
}

StatementCall addCall(std::int64_t term, std::string requestId)
{
    return {.term = term,
            .statement = {{"op", "add"}, {"key", "k"}, {"amount", 1}},
            .requestId = std::move(requestId),
            .workspace = "coats"};
}

template<typename Body>
void runWithServer(Body body)
{
    const tests::PortGuard guard(23400);
    tests::ChildProcess server("standin-database",
                               {"--id",
                                "s1",
                                "--database",
                                "rota",
                                "--listen",
                                "127.0.0.1:23401",
                                "--primary",
                                "s1",
                                "--connection-limit",
                                "4",
                                "--slots",
                                "2",
                                "--connect-ms",
                                "5"});
    tests::ChildProcess proxy(
        "faultproxy", {"--listen", "127.0.0.1:23402", "--target", "127.0.0.1:23401", "--control", "127.0.0.1:23403"});
    asio::io_context context(1);
    std::exception_ptr failure;
    bool ended = false;
    const auto whole = [&body]() -> net::awaitable<void> {
        co_await waitUntilUp(ServerEndpoint);
        co_await waitUntilUp(ProxyEndpoint);
        co_await body();
    };
    asio::co_spawn(context, whole(), [&](std::exception_ptr exception) {
        failure = exception;
        ended = true;
        context.stop();
    });
    context.run_for(20s);
    EXPECT_TRUE(ended) << "the test did not end";
    if (failure) {
        std::rethrow_exception(failure);
    }
}

}

// Guards against mapping a refusal of the server to a wrong error or outcome, which callers rely on for retries.
TEST(ServerClient, RefusalsAndReplaysMapToTypedResults)
{
    runWithServer([]() -> net::awaitable<void> {
        ServerClient client(co_await asio::this_coro::executor);
        co_await client.connect(ServerEndpoint, 1s);
        const StatementCall call = addCall(1, "r1");
        const StatementResult first = co_await client.statement(call, 1s);
        EXPECT_EQ(first.position, 1);
        EXPECT_FALSE(first.replayed);
        const StatementResult second = co_await client.statement(call, 1s);
        EXPECT_TRUE(second.replayed);
        EXPECT_EQ(second.result.as_int64(), 1);

        const StatementCall wrongTerm = addCall(7, "r2");
        try {
            co_await client.statement(wrongTerm, 1s);
            ADD_FAILURE() << "a wrong term must be refused";
        } catch (const TermChangedError &error) {
            EXPECT_EQ(error.reason, "wrong_term");
            EXPECT_EQ(error.outcome, core::Outcome::NotRun);
        }
        StatementCall ahead;
        ahead.statement = {{"op", "get"}, {"key", "k"}};
        ahead.readOnly = true;
        ahead.minTerm = 1;
        ahead.minPosition = 9;
        const StatementResult behind = co_await client.statement(ahead, 1s);
        EXPECT_EQ(behind.state, StatementResult::State::Behind);

        const std::string transaction = "t1";
        const std::string workspace = "coats";
        const std::string commitId = "c1";
        co_await client.begin(1, workspace, transaction, 1s);
        StatementCall inside = addCall(1, "r3");
        inside.transaction = transaction;
        co_await client.statement(inside, 1s);
        const StatementResult committed = co_await client.commit(transaction, commitId, 1s);
        EXPECT_EQ(committed.position, 2);
        const StatementResult repeated = co_await client.commit(transaction, commitId, 1s);
        EXPECT_TRUE(repeated.replayed);
        try {
            co_await client.rollback(transaction, 1s);
            ADD_FAILURE() << "a finished transaction cannot be rolled back";
        } catch (const core::Error &error) {
            EXPECT_EQ(error.code, core::ResultCode::TransactionAborted);
        }
    });
}

// Guards against a stand-in that does not count use above the slot or connection limit, and against a wrong outcome of
// the refused calls.
TEST(ServerClient, ExcessSlotsAndConnectionsAreRefusedAndCounted)
{
    runWithServer([]() -> net::awaitable<void> {
        const net::Executor executor = co_await asio::this_coro::executor;
        std::vector<std::unique_ptr<ServerClient>> clients;
        int refusedSlots = 0;
        int finished = 0;
        const auto sleepOnce = [&](ServerClient &client) -> net::awaitable<void> {
            StatementCall call;
            call.statement = {{"op", "sleep"}, {"ms", 100}};
            call.readOnly = true;
            try {
                co_await client.statement(call, 1s);
            } catch (const core::Error &error) {
                EXPECT_EQ(error.code, core::ResultCode::QueueFull);
                EXPECT_EQ(error.outcome, core::Outcome::NotRun);
                ++refusedSlots;
            }
            ++finished;
        };
        // The connections of the start-up checks may still be open.
        co_await pause(50ms);
        for (int index = 0; index < 4; ++index) {
            clients.push_back(std::make_unique<ServerClient>(executor));
            co_await clients.back()->connect(ServerEndpoint, 1s);
        }
        for (int index = 0; index < 3; ++index) {
            asio::co_spawn(executor, sleepOnce(*clients[static_cast<std::size_t>(index)]), asio::detached);
        }
        while (finished < 3) {
            co_await pause(5ms);
        }
        EXPECT_EQ(refusedSlots, 1);
        co_await clients[3]->status(1s);
        ServerClient fifth(executor);
        co_await fifth.connect(ServerEndpoint, 1s);
        try {
            co_await fifth.status(1s);
            ADD_FAILURE() << "the limit of 4 connections must hold";
        } catch (const core::Error &error) {
            EXPECT_EQ(error.code, core::ResultCode::BackendUnreachable);
        }
        EXPECT_FALSE(fifth.isOpen());
        net::HttpRequest request;
        request.target = "/ledger";
        const net::HttpResponse response = co_await net::exchangeOnce(ServerEndpoint, request, 1s);
        const json::object ledger = json::parse(response.body).as_object();
        EXPECT_EQ(ledger.at("slot_violations").as_int64(), 1);
        EXPECT_EQ(ledger.at("peak_slots").as_int64(), 2);
        EXPECT_EQ(ledger.at("connection_violations").as_int64(), 1);
        EXPECT_EQ(ledger.at("peak_connections").as_int64(), 5);
        EXPECT_EQ(ledger.at("total").as_int64(), 2);
    });
}

// Guards against a transaction that stays open after its connection is closed.
TEST(ServerClient, ClosedConnectionAbortsItsTransaction)
{
    runWithServer([]() -> net::awaitable<void> {
        const std::string transaction = "t1";
        const std::string workspace = "coats";
        ServerClient first(co_await asio::this_coro::executor);
        co_await first.connect(ServerEndpoint, 1s);
        co_await first.begin(1, workspace, transaction, 1s);
        StatementCall inside = addCall(1, "r1");
        inside.transaction = transaction;
        co_await first.statement(inside, 1s);
        first.close();

        ServerClient second(co_await asio::this_coro::executor);
        co_await second.connect(ServerEndpoint, 1s);
        const StatementCall outside = addCall(1, "r2");
        const StatementResult result = co_await second.statement(outside, 1s);
        EXPECT_EQ(result.result.as_int64(), 1);
        EXPECT_EQ(result.position, 1);
    });
}

// Guards against more connections than the limit, also while connections are being opened.
TEST(ConnectionPool, LimitCountsConnectionsBeingOpened)
{
    runWithServer([]() -> net::awaitable<void> {
        const net::Executor executor = co_await asio::this_coro::executor;
        ConnectionPool pool(executor, ServerEndpoint, {.limit = 2});
        int done = 0;
        int peak = 0;
        const auto use = [&]() -> net::awaitable<void> {
            ConnectionPool::Lease lease = co_await pool.acquire(5s);
            peak = std::max(peak, pool.counters().open);
            co_await lease.client().status(1s);
            ++done;
        };
        for (int index = 0; index < 20; ++index) {
            asio::co_spawn(executor, use(), asio::detached);
        }
        while (done < 20) {
            co_await pause(2ms);
        }
        EXPECT_LE(peak, 2);
        EXPECT_EQ(pool.counters().opened, 2U);
        EXPECT_EQ(pool.counters().reused, 18U);
    });
}

// Guards against a caller that waits forever, and against failed connection attempts that still count towards the
// limit.
TEST(ConnectionPool, AcquireHonoursItsDeadlineAndFailuresFreeTheirPlace)
{
    runWithServer([]() -> net::awaitable<void> {
        const net::Executor executor = co_await asio::this_coro::executor;
        ConnectionPool pool(executor, ServerEndpoint, {.limit = 1});
        {
            ConnectionPool::Lease lease = co_await pool.acquire(1s);
            try {
                co_await pool.acquire(50ms);
                ADD_FAILURE() << "the limit must hold";
            } catch (const core::Error &error) {
                EXPECT_EQ(error.code, core::ResultCode::DeadlineExceeded);
                EXPECT_EQ(error.outcome, core::Outcome::NotRun);
            }
        }
        const net::TcpEndpoint unusedEndpoint(asio::ip::address_v4::loopback(), 23499);
        ConnectionPool refused(executor, unusedEndpoint, {.limit = 1});
        for (int attempt = 0; attempt < 3; ++attempt) {
            try {
                co_await refused.acquire(1s);
                ADD_FAILURE() << "nothing listens there";
            } catch (const core::Error &error) {
                EXPECT_EQ(error.code, core::ResultCode::BackendUnreachable);
            }
        }
        EXPECT_EQ(refused.counters().open, 0);
    });
}

// Guards against reusing idle connections that stopped responding together with a connection whose request timed out.
TEST(ConnectionPool, SilentConnectionsAreReplacedOnceANewOneWorks)
{
    runWithServer([]() -> net::awaitable<void> {
        const net::Executor executor = co_await asio::this_coro::executor;
        ConnectionPool pool(executor, ProxyEndpoint, {.limit = 4});
        {
            ConnectionPool::Lease first = co_await pool.acquire(1s);
            ConnectionPool::Lease second = co_await pool.acquire(1s);
            ConnectionPool::Lease third = co_await pool.acquire(1s);
            co_await first.client().status(1s);
            co_await second.client().status(1s);
            co_await third.client().status(1s);
        }
        EXPECT_EQ(pool.counters().idle, 3);
        co_await setFault(R"({"route":0,"silence_open":true})");
        {
            ConnectionPool::Lease lease = co_await pool.acquire(1s);
            try {
                co_await lease.client().status(100ms);
                ADD_FAILURE() << "the connection should be silent";
            } catch (const core::Error &error) {
                EXPECT_EQ(error.code, core::ResultCode::AnswerLost);
            }
            pool.evictOlderThan(core::Clock::now());
        }
        for (int attempt = 0; attempt < 100 && pool.counters().evicted < 2; ++attempt) {
            co_await pause(10ms);
        }
        EXPECT_EQ(pool.counters().evicted, 2U);
        ConnectionPool::Lease lease = co_await pool.acquire(1s);
        co_await lease.client().status(500ms);
    });
}

}
