#include "core/error.h"
#include "net/httpclient.h"
#include "standins/faultproxy.h"
#include "tests/support/portguard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

namespace endiveshore::standins {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

const net::TcpEndpoint Target(asio::ip::address_v4::loopback(), 23451);
const net::TcpEndpoint ProxyListen(asio::ip::address_v4::loopback(), 23452);
const net::TcpEndpoint Control(asio::ip::address_v4::loopback(), 23453);

net::awaitable<void> setFault(std::string_view change)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = change;
    const net::HttpResponse response = co_await net::exchangeOnce(Control, request, 1s);
    EXPECT_EQ(response.status, 200) << response.body;
}

net::awaitable<bool> isAnswered(net::HttpClientConnection &connection, core::Duration limit = 150ms)
{
    const net::HttpRequest request;
    try {
        const net::HttpResponse response = co_await connection.exchange(request, limit);
        co_return response.status == 200;
    } catch (const core::Error &) {
        co_return false;
    }
}

net::awaitable<void> open(net::HttpClientConnection &connection)
{
    co_await connection.connect(ProxyListen, 1s);
}

template<typename Body>
void run(Body body)
{
    const tests::PortGuard guard(23450);
    asio::io_context context(1);
    auto server = std::make_shared<net::HttpServer>(
        [](net::HttpRequest, net::HttpConnection &) -> net::awaitable<net::HttpResponse> {
            co_return net::HttpResponse{.status = 200, .headers = {}, .body = "ok"};
        });
    server->listen(context.get_executor(), Target);
    FaultProxy proxy(context, {{.listen = ProxyListen, .target = Target}}, Control);
    proxy.start();
    std::exception_ptr failure;
    asio::co_spawn(context, body(), [&](std::exception_ptr exception) {
        failure = exception;
        context.stop();
    });
    context.run_for(10s);
    EXPECT_TRUE(context.stopped()) << "the test did not end";
    if (failure) {
        std::rethrow_exception(failure);
    }
}

}

// Guards against the fault silence_open ending by itself on an open connection, or also affecting connections that are
// opened afterwards.
TEST(FaultProxy, SilencedConnectionsStaySilentWhileNewOnesWork)
{
    run([]() -> net::awaitable<void> {
        net::HttpClientConnection first(co_await asio::this_coro::executor);
        co_await open(first);
        EXPECT_TRUE(co_await isAnswered(first));
        co_await setFault(R"({"route":0,"silence_open":true})");
        EXPECT_FALSE(co_await isAnswered(first));
        net::HttpClientConnection second(co_await asio::this_coro::executor);
        co_await open(second);
        EXPECT_TRUE(co_await isAnswered(second));
    });
}

// Guards against a cut that lets an answer through although one direction of the round trip is cut, and against a cut
// that still affects new connections after it was lifted.
TEST(FaultProxy, CutDiscardsBytesUntilLifted)
{
    run([]() -> net::awaitable<void> {
        static constexpr std::string_view Cuts[] = {"both", "to_target", "from_target"};
        for (const std::string_view cut : Cuts) {
            net::HttpClientConnection connection(co_await asio::this_coro::executor);
            co_await open(connection);
            EXPECT_TRUE(co_await isAnswered(connection));
            const std::string change = R"({"route":0,"cut":")" + std::string(cut) + R"("})";
            co_await setFault(change);
            EXPECT_FALSE(co_await isAnswered(connection)) << cut;
            co_await setFault(R"({"route":0,"cut":"none"})");
            net::HttpClientConnection later(co_await asio::this_coro::executor);
            co_await open(later);
            EXPECT_TRUE(co_await isAnswered(later)) << cut;
        }
    });
}

// Guards against a delay that is applied in one direction only: a round trip must take at least twice the delay.
TEST(FaultProxy, DelayAddsUpInBothDirections)
{
    run([]() -> net::awaitable<void> {
        net::HttpClientConnection connection(co_await asio::this_coro::executor);
        co_await open(connection);
        co_await setFault(R"({"route":0,"delay_ms":40})");
        const auto start = std::chrono::steady_clock::now();
        EXPECT_TRUE(co_await isAnswered(connection, 5s));
        EXPECT_GE(std::chrono::steady_clock::now() - start, 80ms);
    });
}

// Guards against the fault refuse leaving open connections open, and against new connections being refused after it was
// lifted.
TEST(FaultProxy, RefuseClosesOpenAndNewConnections)
{
    run([]() -> net::awaitable<void> {
        net::HttpClientConnection connection(co_await asio::this_coro::executor);
        co_await open(connection);
        EXPECT_TRUE(co_await isAnswered(connection));
        co_await setFault(R"({"route":0,"refuse":true})");
        const auto start = std::chrono::steady_clock::now();
        EXPECT_FALSE(co_await isAnswered(connection));
        EXPECT_LT(std::chrono::steady_clock::now() - start, 100ms);
        co_await setFault(R"({"route":0,"refuse":false})");
        net::HttpClientConnection later(co_await asio::this_coro::executor);
        co_await open(later);
        EXPECT_TRUE(co_await isAnswered(later));
    });
}

}
