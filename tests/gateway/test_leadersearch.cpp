#include "gateway/leadersearch.h"

#include "platform/lineprotocol.h"
#include "tests/gateway/eventloop.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace endiveshore::gateway {

using namespace std::chrono_literals;
using pooling::UnitError;
using pooling::UnitOutcome;
using pooling::UnitResult;

namespace {

/// A daemon that takes "a" for the primary of "db"; the statuses of the servers are what a test says.
class LeaderSearchTest : public testing::Test
{
protected:
    void SetUp() override
    {
        GatewayView made;
        for (const char *id : {"a", "b", "c"}) {
            made.servers.emplace(id, BackendServer{.id = id, .service = "db", .slots = 5});
        }
        made.primaries.emplace("db", "a");
        this->view = std::make_shared<const GatewayView>(made);
        auto survey = std::make_shared<CandidateSurvey>(
            this->context.get_executor(),
            "daemon-1",
            CandidateSurveySurroundings{.ask = [this](pooling::WorkUnit unit) { return this->ask(std::move(unit)); },
                                        .view = [this] { return this->view; },
                                        .readStatus = platform::readStatus});
        LeaderSearchCallbacks callbacks{
            .view = [this] { return this->view; },
            .onFound = [this](const std::string &, const std::string &server) { this->believe(server); }};
        this->search = std::make_shared<LeaderSearch>(
            this->context.get_executor(), std::move(survey), std::move(callbacks), this->log);
    }

    net::awaitable<UnitResult> ask(pooling::WorkUnit unit)
    {
        ++this->asked;
        const auto status = this->statuses.find(unit.server);
        if (status == this->statuses.end()) {
            co_return UnitResult{.error = UnitError::Unreachable};
        }
        co_return UnitResult{.outcome = UnitOutcome::Done, .rows = {status->second}};
    }

    void believe(const std::string &server)
    {
        this->found.push_back(server);
        GatewayView next = *this->view;
        next.primaries["db"] = server;
        this->view = std::make_shared<const GatewayView>(next);
    }

    void runUntil(const std::function<bool()> &done)
    {
        gateway::runUntil(this->context, done);
    }

    boost::asio::io_context context;
    telemetry::DecisionLog log{telemetry::LogOptions{.level = telemetry::LogLevel::Error, .output = "stderr"}};
    std::shared_ptr<const GatewayView> view;
    std::shared_ptr<LeaderSearch> search;
    std::map<std::string, std::string> statuses{{"a", "replica 4 4.1 0 5 0 1"}, {"c", "replica 4 4.0 0 5 0 1"}};
    std::vector<std::string> found;
    int asked = 0;
};

}

// Guards against a daemon that keeps to a replaced primary while it hears neither the store nor the holder of the duty.
TEST_F(LeaderSearchTest, PromotedServerIsFoundAfterADenial)
{
    this->statuses["b"] = "primary 4 4.1 0 5 0 1";
    this->search->denied("db", "a");
    this->runUntil([this] { return !this->found.empty(); });
    EXPECT_EQ(this->found, std::vector<std::string>{"b"});
}

// Guards against a search that ends before the promotion has taken effect.
TEST_F(LeaderSearchTest, SearchGoesOnUntilAServerLeads)
{
    this->statuses["b"] = "replica 4 4.1 0 5 0 1";
    this->search->denied("db", "a");
    this->runUntil([this] { return this->asked >= 4; });
    EXPECT_TRUE(this->found.empty());
    this->statuses["b"] = "primary 5 5.1 0 5 0 1";
    this->runUntil([this] { return !this->found.empty(); });
}

// Guards against questions to the servers for each of many denials.
TEST_F(LeaderSearchTest, OneSearchGoesOnPerService)
{
    for (int denial = 0; denial < 100; ++denial) {
        this->search->denied("db", "a");
    }
    this->runUntil([this] { return this->asked >= 2; });
    this->context.restart();
    this->context.run_for(20ms);
    EXPECT_EQ(this->asked, 2);
}

// Guards against a search after a denial of a server that was replaced already.
TEST_F(LeaderSearchTest, DenialOfAnotherServerIsNoNews)
{
    this->search->denied("db", "c");
    this->context.run_for(20ms);
    EXPECT_EQ(this->asked, 0);
}

}
