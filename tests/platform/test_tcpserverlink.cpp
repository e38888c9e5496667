#include "platform/tcpserverlink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace endiveshore::platform {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using gateway::CommandKind;
using gateway::ServerReply;

namespace {

/// A link and the server's end of the link's connection.
class TcpServerLinkTest : public testing::Test
{
protected:
    void SetUp() override
    {
        asio::ip::tcp::acceptor acceptor(this->context, {asio::ip::address_v4::loopback(), 0});
        bool opened = false;
        gateway::LinkTarget target{
            .endpoint = acceptor.local_endpoint(), .service = "db", .serverId = "i-1", .workspace = "north"};
        asio::co_spawn(this->context,
                       this->link.open(std::move(target), 2s),
                       [&](const std::exception_ptr &, const ServerReply &) { opened = true; });
        this->context.run_for(20ms);
        this->server.emplace(acceptor.accept());
        asio::write(*this->server, asio::buffer(std::string_view("READY I 3.1\r\n")));
        this->runUntil([&] { return opened; });
    }

    void startExchange(core::Duration timeout)
    {
        std::vector<gateway::ServerCommand> commands;
        commands.push_back({.kind = CommandKind::CallerStatement, .id = "5c0e", .text = "READ 1a4"});
        asio::co_spawn(this->context,
                       this->link.exchange(std::move(commands), timeout),
                       [this](const std::exception_ptr &, std::vector<ServerReply> received) {
                           this->replies = std::move(received);
                       });
        std::string request;
        this->runUntil([&] { return this->server->available() > 0; });
        asio::read_until(*this->server, asio::dynamic_buffer(request), '\n');
    }

    void runUntil(const std::function<bool()> &done)
    {
        const core::TimePoint deadline = core::Clock::now() + 3s;
        while (!done() && core::Clock::now() < deadline) {
            this->context.restart();
            this->context.run_for(2ms);
        }
        EXPECT_TRUE(done());
    }

    /// Blocks the event loop until @p time, as a suspension of the VM does.
    static void blockUntil(core::TimePoint time)
    {
        while (core::Clock::now() < time) { }
    }

    asio::io_context context;
    TcpServerLink link{context.get_executor()};
    std::optional<asio::ip::tcp::socket> server;
    std::optional<std::vector<ServerReply>> replies;
};

}

// Guards against a link that closes its connection after it has returned the reply: after a suspension of the VM, the
// reply and the expiry of the deadline become visible at the same moment.
TEST_F(TcpServerLinkTest, ReplyThatArrivesAtTheDeadlineKeepsTheConnection)
{
    const core::Duration timeout = 30ms;
    this->startExchange(timeout);
    const core::TimePoint sent = core::Clock::now();
    asio::write(*this->server, asio::buffer(std::string_view("DATAROW a\r\nCOMPLETE sig\r\nREADY I 3.2\r\n")));
    blockUntil(sent + 2 * timeout);
    this->runUntil([&] { return this->replies.has_value(); });
    if (this->replies->empty()) {
        EXPECT_FALSE(this->link.isOpen());
        return;
    }
    EXPECT_EQ(this->replies->front().signature, "sig");
    EXPECT_TRUE(this->link.isOpen());
    this->context.restart();
    this->context.run_for(10ms);
    EXPECT_TRUE(this->link.isOpen());
}

// Guards against waiting forever for a reply that never arrives.
TEST_F(TcpServerLinkTest, MissingAnswerEndsTheConnection)
{
    this->startExchange(20ms);
    this->runUntil([&] { return this->replies.has_value(); });
    EXPECT_TRUE(this->replies->empty());
    EXPECT_FALSE(this->link.isOpen());
}

// Guards against taking the first lines of a reply for a complete reply when the server closes the connection.
TEST_F(TcpServerLinkTest, AnswerThatIsCutOffIsNoAnswer)
{
    this->startExchange(2s);
    asio::write(*this->server, asio::buffer(std::string_view("DATAROW a\r\nCOMPLETE sig\r\n")));
    this->server->close();
    this->runUntil([&] { return this->replies.has_value(); });
    EXPECT_TRUE(this->replies->empty());
    EXPECT_FALSE(this->link.isOpen());
}

// Guards against an answer that nobody asked for, which would be taken for the answer to the next statement.
TEST_F(TcpServerLinkTest, ConnectionWithBytesLeftOverIsNotUsedAgain)
{
    this->startExchange(2s);
    asio::write(*this->server, asio::buffer(std::string_view("COMPLETE sig\r\nREADY I 3.2\r\nCOMPLETE other\r\n")));
    this->runUntil([&] { return this->replies.has_value(); });
    ASSERT_EQ(this->replies->size(), 1U);
    EXPECT_FALSE(this->link.isOpen());
    EXPECT_FALSE(this->link.isReusable());
}

// Guards against the same answer when it arrives while the connection waits for its next statement.
TEST_F(TcpServerLinkTest, IdleConnectionWithUnreadBytesIsNotUsedAgain)
{
    this->startExchange(2s);
    asio::write(*this->server, asio::buffer(std::string_view("COMPLETE sig\r\nREADY I 3.2\r\n")));
    this->runUntil([&] { return this->replies.has_value(); });
    EXPECT_TRUE(this->link.isReusable());
    asio::write(*this->server, asio::buffer(std::string_view("COMPLETE other\r\nREADY I 3.2\r\n")));
    this->runUntil([&] { return !this->link.isReusable(); });
}

}
