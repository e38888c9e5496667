#include "daemon/shareservice.h"

#include "core/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <iostream>
#include <random>
#include <set>

namespace endiveshore::daemon {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using core::TimePoint;

constexpr std::size_t Daemons = 5;
constexpr limits::ShareLimits Limits{.ratePerSecond = 400, .burst = 60};

/// Share services in one process, connected by an exchange that delays and loses messages.
class Fleet
{
public:
    Fleet(asio::io_context &context, double loss)
        : context(context)
        , loss(loss)
        , random(17)
    {
        for (std::size_t index = 0; index < Daemons; ++index) {
            this->names.push_back("d" + std::to_string(index));
        }
        for (const std::string &name : this->names) {
            ShareServiceOptions options{.memberId = name, .leasePeriod = 300ms};
            options.allocator.tokenLifetime = 300ms;
            ShareServiceCallbacks callbacks{.exchange =
                                                [this](std::string member, json::object request) {
                                                    return this->exchange(std::move(member), std::move(request));
                                                },
                                            .allocatorOf = [this](std::string_view) { return this->allocator; },
                                            .seesMajority = [] { return true; },
                                            .members = [this] { return this->names; }};
            const auto service
                = std::make_shared<ShareService>(context.get_executor(), std::move(options), std::move(callbacks));
            service->setLimits({{"w", Limits}});
            service->start();
            this->services.emplace(name, service);
        }
    }

    net::awaitable<json::object> exchange(std::string member, json::object request)
    {
        co_await this->transmit(member);
        json::object answer = co_await this->services.at(member)->serve(std::move(request));
        co_await this->transmit(member);
        co_return answer;
    }

    net::awaitable<void> transmit(const std::string &member)
    {
        const bool lost
            = this->unreachable.contains(member) || std::uniform_real_distribution<double>()(this->random) < this->loss;
        asio::steady_timer timer(this->context, lost ? 100ms : std::chrono::milliseconds(1 + this->random() % 4));
        co_await timer.async_wait(asio::use_awaitable);
        if (lost) {
            throw core::Error(core::ResultCode::PeerUnreachable, "injected message loss");
        }
    }

    /// Starts calls at daemon @p name until @p end, at @p ratePerSecond on average and at random intervals.
    net::awaitable<void> offer(std::string name, double ratePerSecond, TimePoint end)
    {
        std::exponential_distribution<double> gap(ratePerSecond);
        TimePoint next = core::Clock::now();
        asio::steady_timer timer(this->context);
        while (next < end) {
            next += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gap(this->random)));
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            ++this->offered;
            asio::co_spawn(this->context, this->call(name), asio::detached);
        }
    }

    net::awaitable<void> call(std::string name)
    {
        try {
            co_await this->services.at(name)->acquire("w", core::Clock::now() + 500ms);
            this->spent.push_back(core::Clock::now());
        } catch (const core::Error &error) {
            EXPECT_EQ(error.code, core::ResultCode::RateExceeded);
            ++this->refused;
        }
    }

    void stop()
    {
        for (const auto &[name, service] : this->services) {
            service->stop();
        }
    }

    /// Highest level of a leaky bucket that each spent token fills by 1 and that drains at the rate. A level above the
    /// burst means that more tokens were spent in some time window than the limits allow.
    double highestLevel() const
    {
        double level = 0;
        double highest = 0;
        TimePoint last;
        for (const TimePoint time : this->spent) {
            level = std::max(0.0, level - limits::tokensIn(Limits.ratePerSecond, time - last)) + 1;
            last = time;
            highest = std::max(highest, level);
        }
        return highest;
    }

    asio::io_context &context;
    double loss;
    std::mt19937_64 random;
    std::vector<std::string> names;
    std::map<std::string, std::shared_ptr<ShareService>> services;
    std::set<std::string> unreachable;
    std::string allocator = "d0";
    std::vector<TimePoint> spent;
    int offered = 0;
    int refused = 0;
};

// Callers record a token slightly after it was spent, so a time window may appear shorter than it was.
constexpr double RecordingSlack = 0.02 * Limits.ratePerSecond;
// Time until the first tokens: two lease periods and one token lifetime of this test, the clock margin, and the delays
// of a few messages.
constexpr auto StartTime = 1200ms;

}

// Guards against refusals below the rate, and spending above the rate, when services share a rate and messages are
// lost.
TEST(ShareService, SharesARateOverALossyExchange)
{
    asio::io_context context;
    Fleet fleet(context, 0.02);
    context.run_for(StartTime);
    const TimePoint end = core::Clock::now() + 4s;
    asio::co_spawn(context, fleet.offer("d1", 0.7 * Limits.ratePerSecond, end), asio::detached);
    asio::co_spawn(context, fleet.offer("d2", 0.2 * Limits.ratePerSecond, end), asio::detached);
    context.run_for(5s);
    std::cout << "offered " << fleet.offered << ", refused " << fleet.refused << ", highest window "
              << fleet.highestLevel() << " of " << Limits.burst << '\n';
    EXPECT_GT(fleet.offered, 1000);
    EXPECT_EQ(fleet.refused, 0);
    EXPECT_LE(fleet.highestLevel(), Limits.burst + RecordingSlack);
    fleet.stop();
    context.run_for(200ms);
}

// Guards against a rate that is exceeded, or no longer granted, after the allocator dies under overload and another
// daemon replaces it.
TEST(ShareService, AllocatorIsReplaced)
{
    asio::io_context context;
    Fleet fleet(context, 0.02);
    context.run_for(StartTime);
    const TimePoint end = core::Clock::now() + 6s;
    asio::co_spawn(context, fleet.offer("d1", 2 * Limits.ratePerSecond, end), asio::detached);
    asio::co_spawn(context, fleet.offer("d2", 1 * Limits.ratePerSecond, end), asio::detached);
    context.run_for(1500ms);
    fleet.unreachable.insert("d0");
    fleet.services.at("d0")->stop();
    fleet.allocator = "d3";
    context.run_for(StartTime);
    const std::size_t before = fleet.spent.size();
    context.run_for(3s);
    const std::size_t after = fleet.spent.size();
    std::cout << "spent " << before << " up to the replacement, " << after - before
              << " in 3 s after it, highest window " << fleet.highestLevel() << " of " << Limits.burst << '\n';
    EXPECT_GT(after - before, 0.8 * 3 * Limits.ratePerSecond);
    EXPECT_LE(fleet.highestLevel(), Limits.burst + RecordingSlack);
    fleet.stop();
    context.run_for(800ms);
}

// Guards against callers that wait forever when the service stops or has stopped, and against crashes on malformed
// messages.
TEST(ShareService, RefusesWithoutRateAfterStopAndMalformed)
{
    asio::io_context context;
    Fleet fleet(context, 0);
    context.run_for(50ms);
    const auto service = fleet.services.at("d1");
    EXPECT_THROW(service->handle({{"other", 1}}), core::Error);
    EXPECT_THROW(service->handle({{"share", json::object{{"workspace", "w"}}}}), core::Error);
    const json::object unknown
        = service->handle({{"share", json::object{{"workspace", "x"}, {"holder", "h"}, {"sequence", 1}, {"held", 0}}}});
    EXPECT_TRUE(unknown.at("grant").at("refused").as_bool());
    asio::co_spawn(context, fleet.call("d1"), asio::detached);
    context.run_for(20ms);
    EXPECT_EQ(service->status().at("w").at("waiting").as_uint64(), 1U);
    service->stop();
    context.run_for(20ms);
    EXPECT_EQ(fleet.refused, 1);
    asio::co_spawn(context, fleet.call("d1"), asio::detached);
    context.run_for(20ms);
    EXPECT_EQ(fleet.refused, 2);
    fleet.stop();
    context.run_for(400ms);
}

}
