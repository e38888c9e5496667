#include "telemetry/decisionlog.h"

#include "core/error.h"
#include "core/time.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <thread>

namespace endiveshore::telemetry {

namespace json = boost::json;

namespace {

/// Options of a log that writes to a separate file for each test.
class DecisionLogTest : public testing::Test
{
protected:
    DecisionLogTest()
    {
        this->options.output = testing::TempDir() + "decisionlog-"
            + testing::UnitTest::GetInstance()->current_test_info()->name() + ".txt";
        std::remove(this->options.output.c_str());
    }

    ~DecisionLogTest() override
    {
        std::remove(this->options.output.c_str());
    }

    std::vector<std::string> lines() const
    {
        std::ifstream file(this->options.output);
        std::vector<std::string> all;
        for (std::string line; std::getline(file, line);) {
            all.push_back(line);
        }
        return all;
    }

    LogOptions options;
};

/// Lines of @p all that contain @p text.
std::vector<std::string> matching(const std::vector<std::string> &all, std::string_view text)
{
    std::vector<std::string> found;
    for (const std::string &line : all) {
        if (line.find(text) != std::string::npos) {
            found.push_back(line);
        }
    }
    return found;
}

}

// Guards against lines that cannot be split into their fields.
TEST_F(DecisionLogTest, TextLinesQuoteValuesWhereNeeded)
{
    this->options.daemon = "vm-1";
    DecisionLog log(this->options);
    log.line("route")
        .field("database", "coats")
        .field("chosen", std::string("127.0.0.1:25001"))
        .field("reason", "lag \"high\"\nnext=line")
        .field("lag_ms", 12)
        .field("share", 0.5)
        .field("open", false)
        .field("empty", "")
        .list("passed_over", {"coats-2", "Salt Lake"});
    log.flush();
    ASSERT_EQ(this->lines().size(), 1U);
    const std::string line = this->lines()[0];
    EXPECT_TRUE(line.starts_with("time=20")) << line;
    EXPECT_TRUE(line.ends_with(
        R"(Z level=info event=route daemon=vm-1 database=coats chosen=127.0.0.1:25001 reason="lag \"high\"\nnext=line")"
        R"( lag_ms=12 share=0.5 open=false empty="" passed_over=[coats-2,"Salt Lake"])"))
        << line;
}

// Guards against JSON lines that a log collector cannot parse.
TEST_F(DecisionLogTest, JsonLinesAreObjects)
{
    this->options.format = LogFormat::Json;
    const std::vector<std::string> passedOver{"a", "b \"c\"\x01"};
    DecisionLog log(this->options);
    log.line("promote", LogLevel::Warning)
        .field("database", "coats")
        .field("term", std::uint64_t{7})
        .field("gap", 1.0 / 0.0)
        .list("passed_over", passedOver);
    log.flush();
    ASSERT_EQ(this->lines().size(), 1U);
    const json::object line = json::parse(this->lines()[0]).as_object();
    EXPECT_EQ(line.at("level"), "warning");
    EXPECT_EQ(line.at("event"), "promote");
    EXPECT_EQ(line.at("term"), 7);
    EXPECT_EQ(line.at("gap"), "inf");
    EXPECT_EQ(line.at("passed_over").as_array().at(1), "b \"c\"\x01");
}

// Guards against writing lines below the configured level.
TEST_F(DecisionLogTest, LeavesOutLowerLevels)
{
    this->options.level = LogLevel::Warning;
    {
        DecisionLog log(this->options);
        EXPECT_FALSE(log.line("route").isActive());
        log.line("store", LogLevel::Error).field("reason", "timeout");
    }
    ASSERT_EQ(this->lines().size(), 1U);
    EXPECT_EQ(matching(this->lines(), "event=store").size(), 1U);
}

// Guards against a flood of one event that suppresses other events, and against lines that are dropped uncounted.
TEST_F(DecisionLogTest, CountsTheLinesAboveTheRateOfAnEvent)
{
    constexpr int Threads = 4;
    constexpr int LinesPerThread = 500;
    this->options.linesPerSecond = 20;
    const core::TimePoint start = core::Clock::now();
    DecisionLog log(this->options);
    std::vector<std::thread> threads;
    for (int thread = 0; thread < Threads; ++thread) {
        threads.emplace_back([&log] {
            for (int line = 0; line < LinesPerThread; ++line) {
                log.line("route").field("line", line);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    log.line("promote").field("database", "coats");
    log.flush();
    const double elapsed = std::chrono::duration<double>(core::Clock::now() - start).count();

    const std::vector<std::string> all = this->lines();
    const auto written = static_cast<int>(matching(all, "event=route").size());
    int suppressed = 0;
    for (const std::string &line : matching(all, "event=suppressed")) {
        EXPECT_NE(line.find("of=route "), std::string::npos) << line;
        suppressed += std::stoi(line.substr(line.find("lines=") + 6));
    }
    EXPECT_GE(written, 20);
    EXPECT_LE(written, 20 + 20 * elapsed + 1);
    EXPECT_EQ(written + suppressed, Threads * LinesPerThread);
    EXPECT_EQ(matching(all, "event=promote").size(), 1U);
}

// Guards against a workspace key in the log, in whole or in part, also where a long value is truncated.
TEST_F(DecisionLogTest, MasksWorkspaceKeys)
{
    const std::string key = "ek_0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    DecisionLog log(this->options);
    log.line("route")
        .field("reason", "bad header Bearer " + key + ", closed")
        .field("long", std::string(500, 'x') + key)
        .list("passed_over", {key, key});
    log.flush();
    ASSERT_EQ(this->lines().size(), 1U);
    const std::string line = this->lines()[0];
    EXPECT_EQ(line.find("0123"), std::string::npos) << line;
    EXPECT_NE(line.find("Bearer ek_***, closed"), std::string::npos) << line;
}

// Guards against a daemon that starts although its log file cannot be opened.
TEST_F(DecisionLogTest, RefusesAFileThatCannotBeOpened)
{
    this->options.output = testing::TempDir() + "no-such-folder/log.txt";
    try {
        DecisionLog log(this->options);
        ADD_FAILURE() << "the log should have been refused";
    } catch (const core::Error &error) {
        EXPECT_EQ(error.code, core::ResultCode::InvalidSetting);
    }
}

}
