#include "gateway/primarysearch.h"

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

/// A daemon that knows "a" as the primary of "db". Tests set the statuses that the servers report.
class PrimarySearchTest : public testing::Test
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
            CandidateSurveyCallbacks{.query = [this](pooling::WorkUnit unit) { return this->query(std::move(unit)); },
                                     .view = [this] { return this->view; },
                                     .readStatus = platform::readStatus});
        PrimarySearchCallbacks callbacks{
            .view = [this] { return this->view; },
            .onFound = [this](const std::string &, const std::string &server) { this->setPrimary(server); }};
        this->search = std::make_shared<PrimarySearch>(
            this->context.get_executor(), std::move(survey), std::move(callbacks), this->log);
    }

    net::awaitable<UnitResult> query(pooling::WorkUnit unit)
    {
        ++this->queryCount;
        const auto status = this->statuses.find(unit.server);
        if (status == this->statuses.end()) {
            co_return UnitResult{.error = UnitError::Unreachable};
        }
        co_return UnitResult{.outcome = UnitOutcome::Done, .rows = {status->second}};
    }

    void setPrimary(const std::string &server)
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
    std::shared_ptr<PrimarySearch> search;
    std::map<std::string, std::string> statuses{{"a", "replica 4 4.1 0 5 0 1"}, {"c", "replica 4 4.0 0 5 0 1"}};
    std::vector<std::string> found;
    int queryCount = 0;
};

}

// Guards against a daemon that keeps using a replaced primary while it can reach neither the store nor the holder of
// the duty.
TEST_F(PrimarySearchTest, PromotedServerIsFoundAfterADenial)
{
    this->statuses["b"] = "primary 4 4.1 0 5 0 1";
    this->search->onNotPrimary("db", "a");
    this->runUntil([this] { return !this->found.empty(); });
    EXPECT_EQ(this->found, std::vector<std::string>{"b"});
}

// Guards against a search that gives up before the promotion has taken effect.
TEST_F(PrimarySearchTest, SearchContinuesUntilAServerIsPrimary)
{
    this->statuses["b"] = "replica 4 4.1 0 5 0 1";
    this->search->onNotPrimary("db", "a");
    this->runUntil([this] { return this->queryCount >= 4; });
    EXPECT_TRUE(this->found.empty());
    this->statuses["b"] = "primary 5 5.1 0 5 0 1";
    this->runUntil([this] { return !this->found.empty(); });
}

// Guards against flooding the servers with queries: many statements fail on the former primary, and each reports it.
TEST_F(PrimarySearchTest, OneSearchGoesOnPerService)
{
    for (int denial = 0; denial < 100; ++denial) {
        this->search->onNotPrimary("db", "a");
    }
    this->runUntil([this] { return this->queryCount >= 2; });
    this->context.restart();
    this->context.run_for(20ms);
    EXPECT_EQ(this->queryCount, 2);
}

// Guards against needless searches after a late report about a server that was already replaced as primary.
TEST_F(PrimarySearchTest, DenialOfAnotherServerStartsNoSearch)
{
    this->search->onNotPrimary("db", "c");
    this->context.run_for(20ms);
    EXPECT_EQ(this->queryCount, 0);
}

}
