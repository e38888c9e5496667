#include "core/error.h"
#include "net/httpserver.h"
#include "net/httpstreamclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

namespace endiveshore::net {

using namespace std::chrono_literals;

namespace {

const TcpEndpoint StreamEndpoint(asio::ip::address_v4::loopback(), 21301);

awaitable<void> pauseFor(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

struct Observed
{
    int status = 0;
    std::vector<std::string> lines;
    bool ended = false;
    bool lost = false;
};

// Reads the response that @p source produces until the response ends, the connection breaks or no line arrives for
// 200 ms.
Observed readStream(HttpStreamSource source)
{
    asio::io_context context;
    auto handler = [&source](HttpRequest, HttpConnection &) -> awaitable<HttpResponse> {
        HttpResponse response;
        response.stream = source;
        co_return response;
    };
    auto server = std::make_shared<HttpServer>(handler);
    server->listen(context.get_executor(), StreamEndpoint);
    Observed observed;
    auto client = [&observed, &server]() -> awaitable<void> {
        HttpStreamConnection connection(co_await asio::this_coro::executor);
        HttpRequest request;
        observed.status = co_await connection.open(StreamEndpoint, std::move(request), 1s);
        try {
            while (!observed.ended) {
                const std::optional<std::string> line = co_await connection.nextLine(200ms);
                observed.ended = !line;
                if (line) {
                    observed.lines.push_back(*line);
                }
            }
        } catch (const core::Error &error) {
            observed.lost = error.code == core::ResultCode::AnswerLost;
        }
        connection.close();
        // The source on the server must end as well.
        while (server->activeRequests() != 0) {
            co_await pauseFor(2ms);
        }
    };
    asio::co_spawn(context, client, [&](std::exception_ptr) {
        server->stop();
        context.stop();
    });
    context.run_for(5s);
    EXPECT_EQ(server->activeRequests(), 0U) << "the stream outlived its client";
    return observed;
}

}

// Guards against lines that are split or joined at chunk boundaries.
TEST(HttpStream, LinesAreIndependentOfChunks)
{
    const Observed observed = readStream([](HttpStreamWriter &writer) -> awaitable<void> {
        for (const std::string_view chunk : {"first\nsec", "", "ond\n\nlast"}) {
            co_await writer.write(chunk);
            co_await pauseFor(5ms);
        }
    });
    EXPECT_EQ(observed.status, 200);
    EXPECT_EQ(observed.lines, (std::vector<std::string>{"first", "second", "", "last"}));
    EXPECT_TRUE(observed.ended);
}

// Guards against taking an incomplete response for a complete response.
TEST(HttpStream, FailedSourceBreaksTheAnswer)
{
    const Observed observed = readStream([](HttpStreamWriter &writer) -> awaitable<void> {
        co_await writer.write("first\n");
        throw std::runtime_error("fault");
    });
    EXPECT_EQ(observed.lines.size(), 1U);
    EXPECT_TRUE(observed.lost);
    EXPECT_FALSE(observed.ended);
}

// Guards against a client that waits forever for a server that sends nothing, and against a source that keeps running
// after its client has closed the connection.
TEST(HttpStream, SilenceEndsTheClientAndThenTheSource)
{
    const Observed observed = readStream([](HttpStreamWriter &writer) -> awaitable<void> {
        co_await writer.write("first\n");
        co_await pauseFor(1h);
    });
    EXPECT_EQ(observed.lines.size(), 1U);
    EXPECT_TRUE(observed.lost);
}

}
