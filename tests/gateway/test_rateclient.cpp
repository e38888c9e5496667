#include "gateway/rateclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <boost/json.hpp>

#include <gtest/gtest.h>

namespace endiveshore::gateway {

using namespace std::chrono_literals;

namespace {

constexpr double Burst = 4;

/// A daemon of a large fleet, whose workspace is pooled at @p home.
class RateClientTest : public ::testing::Test
{
protected:
    void useHome(const std::string &home)
    {
        auto view = std::make_shared<GatewayView>();
        view->rateHomes = {home};
        this->client.setView(view);
        Configuration configuration;
        configuration.workspaces.emplace("w", Workspace{.name = "w", .limits = {.ratePerSecond = 1, .burst = Burst}});
        this->client.gate().update(
            configuration, {.own = {{"w", 0.01}}, .region = {{"w", 1}}, .daemons = 82}, core::Clock::now());
    }

    bool acquire(core::Milliseconds patience)
    {
        std::future<bool> result = boost::asio::co_spawn(
            this->context, this->client.acquire("w", core::Clock::now() + patience), boost::asio::use_future);
        this->context.restart();
        this->context.run();
        return result.get();
    }

    boost::asio::io_context context{1};
    net::PeerClient peers{this->context.get_executor()};
    RateClient client{this->context.get_executor(), "d1", peers};
};

}

// Guards against the operations kept for the loss of the pool that are spent while the pool answers: then none is left
// when it is lost.
TEST_F(RateClientTest, TheOwnShareIsKeptWhileThePoolAnswers)
{
    this->useHome("d1");
    for (int operation = 0; operation < static_cast<int>(Burst); ++operation) {
        EXPECT_TRUE(this->acquire(0ms));
    }
    EXPECT_FALSE(this->acquire(0ms));
    EXPECT_GE(this->client.gate().tokens("w", core::Clock::now()), 1);
}

// Guards against callers who are refused although their daemon keeps an operation for the time without a pool.
TEST_F(RateClientTest, TheOwnShareServesWhileThePoolIsAway)
{
    this->useHome("d2");
    EXPECT_TRUE(this->acquire(0ms));
    EXPECT_FALSE(this->acquire(0ms));
}

// Guards against a pool that grants twice what it holds because its answers are mistaken for silence.
TEST_F(RateClientTest, AnAnswerSaysWhetherThereIsAPool)
{
    this->useHome("d1");
    const boost::json::object known = this->client.serve({{"w", "w"}});
    EXPECT_TRUE(known.at("k").as_bool());
    EXPECT_TRUE(known.at("g").as_bool());
    const boost::json::object unknown = this->client.serve({{"w", "other"}});
    EXPECT_FALSE(unknown.at("k").as_bool());
    EXPECT_FALSE(unknown.at("g").as_bool());
}

}
