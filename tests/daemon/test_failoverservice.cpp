#include "backend/serverclient.h"
#include "daemon/failoverservice.h"
#include "tests/support/databasegroup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <set>

namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr int BasePort = 23500;

net::awaitable<void> pause(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Three failover services, one per server, that exchange requests by direct calls.
struct Fleet
{
    explicit Fleet(const net::Executor &executor, const tests::DatabaseGroup &group)
        : executor(executor)
    {
        failover::GroupDescription description{.database = "rota", .servers = {}, .initialPrimary = "s1"};
        for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
            const std::string id = tests::DatabaseGroup::id(index);
            description.servers.push_back({.id = id, .address = group.address(index), .dataCentre = "centre-" + id});
        }
        for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
            FailoverCallbacks callbacks;
            callbacks.exchange = [this](std::string member, json::object request) {
                return this->exchange(std::move(member), std::move(request));
            };
            callbacks.primaryChanged
                = [this, index](const std::string &, std::int64_t term, const std::string &server, bool mustAnnounce) {
                      if (term > this->term) {
                          this->term = term;
                          this->primary = server;
                      }
                      if (mustAnnounce) {
                          this->announce(index, term, server);
                      }
                  };
            callbacks.decisionMade = [this, index](const std::string &, const failover::LogDecision &decision) {
                this->log += "home-" + std::to_string(index + 1) + ": " + decision.decision + " (" + decision.reason
                    + "; " + decision.alternatives + ")\n";
            };
            const std::string own = std::to_string(index + 1);
            this->services[static_cast<std::size_t>(index)]
                = std::make_unique<FailoverService>(executor, "home-" + own, "centre-s" + own, callbacks);
        }
        for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
            std::vector<failover::PeerHome> peers;
            for (int other = 0; other < tests::DatabaseGroup::Size; ++other) {
                const std::string number = std::to_string(other + 1);
                if (other != index) {
                    peers.push_back(
                        {.daemon = "home-" + number, .dataCentre = "centre-s" + number, .servers = {"s" + number}});
                }
            }
            this->services[static_cast<std::size_t>(index)]->setGroup(
                description, {tests::DatabaseGroup::id(index)}, peers);
        }
    }

    net::awaitable<json::object> exchange(std::string member, json::object request)
    {
        co_await pause(5ms);
        const std::size_t index = static_cast<std::size_t>(member.back() - '1');
        const json::object answer = co_await this->services[index]->handleSuspect(request);
        co_return answer;
    }

    void announce(int from, std::int64_t term, const std::string &server)
    {
        for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
            if (index != from) {
                this->services[static_cast<std::size_t>(index)]->onPrimaryAnnounced("rota", term, server);
            }
        }
    }

    net::Executor executor;
    std::array<std::unique_ptr<FailoverService>, 3> services;
    std::int64_t term = 0;
    std::string primary;
    std::string log;
};

net::awaitable<backend::ServerStatus> statusOf(std::string address)
{
    backend::ServerClient client(co_await asio::this_coro::executor);
    co_await client.connect(net::parseEndpoint(address), 500ms);
    const backend::ServerStatus status = co_await client.status(500ms);
    co_return status;
}

net::awaitable<bool> isUp(std::string address)
{
    try {
        co_await statusOf(address);
        co_return true;
    } catch (const core::Error &) {
        co_return false;
    }
}

net::awaitable<void> setFault(std::string controlAddress, std::string change)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = std::move(change);
    const net::TcpEndpoint endpoint = net::parseEndpoint(controlAddress);
    const net::HttpResponse response = co_await net::exchangeOnce(endpoint, request, 1s);
    EXPECT_EQ(response.status, 200) << response.body;
}

/// Writes once at the fleet's primary and returns true once a replica has received the write.
net::awaitable<bool> writeConfirmed(Fleet &fleet, const tests::DatabaseGroup &group)
{
    try {
        const int index = fleet.primary.back() - '1';
        const std::int64_t term = fleet.term;
        backend::ServerClient primary(fleet.executor);
        const std::string address = group.address(index);
        co_await primary.connect(net::parseEndpoint(address), 100ms);
        backend::StatementCall call;
        call.term = term;
        call.statement = {{"op", "add"}, {"key", "k"}, {"amount", 1}};
        const backend::StatementResult result = co_await primary.statement(call, 200ms);
        for (int other = 0; other < tests::DatabaseGroup::Size; ++other) {
            if (other == index) {
                continue;
            }
            backend::ServerClient replica(fleet.executor);
            const std::string replicaAddress = group.address(other);
            bool reached = false;
            try {
                co_await replica.connect(net::parseEndpoint(replicaAddress), 100ms);
                const backend::WaitResult waited = co_await replica.wait(term, result.position, 100ms, 200ms);
                reached = waited.reached;
            } catch (const core::Error &) {
                reached = false;
            }
            if (reached) {
                co_return true;
            }
        }
        co_return false;
    } catch (const core::Error &) {
        co_return false;
    }
}

net::awaitable<core::Milliseconds>
measureGap(Fleet &fleet, const tests::DatabaseGroup &group, core::TimePoint start, std::int64_t oldTerm)
{
    while (core::Clock::now() - start < 8s) {
        const bool written = fleet.term > oldTerm && co_await writeConfirmed(fleet, group);
        if (written) {
            break;
        }
        co_await pause(5ms);
    }
    co_return std::chrono::duration_cast<core::Milliseconds>(core::Clock::now() - start);
}

template<typename Body>
void run(Body body)
{
    tests::DatabaseGroup group(BasePort, {"--replication-delay-ms", "2"});
    asio::io_context context(1);
    std::unique_ptr<Fleet> fleet;
    std::exception_ptr failure;
    bool ended = false;
    const auto fullTest = [&]() -> net::awaitable<void> {
        for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
            const std::string address = group.address(index);
            for (int attempt = 0; attempt < 200; ++attempt) {
                const bool up = co_await isUp(address);
                if (up) {
                    break;
                }
                co_await pause(10ms);
            }
        }
        fleet = std::make_unique<Fleet>(context.get_executor(), group);
        for (int attempt = 0; attempt < 100; ++attempt) {
            const bool ready = co_await writeConfirmed(*fleet, group);
            if (ready) {
                break;
            }
            co_await pause(10ms);
        }
        co_await pause(400ms);
        co_await body(*fleet, group);
    };
    asio::co_spawn(context, fullTest(), [&](std::exception_ptr exception) {
        failure = exception;
        ended = true;
        context.stop();
    });
    context.run_for(60s);
    EXPECT_TRUE(ended) << "the test did not end in time";
    if (fleet != nullptr && testing::Test::HasFailure()) {
        std::cout << fleet->log;
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

net::awaitable<void> expectAllFollow(Fleet &fleet, const tests::DatabaseGroup &group)
{
    for (int index = 0; index < tests::DatabaseGroup::Size; ++index) {
        std::int64_t term = 0;
        const std::string address = group.address(index);
        for (int attempt = 0; attempt < 300 && term != fleet.term; ++attempt) {
            try {
                const backend::ServerStatus status = co_await statusOf(address);
                term = status.termStarts.back().term;
            } catch (const core::Error &) {
                term = 0;
            }
            co_await pause(10ms);
        }
        EXPECT_EQ(term, fleet.term) << "server " << index;
    }
}

}

// Guards against a failover after the death of the primary that takes longer than the design page allows, and against
// a former primary that does not follow the new primary after its restart.
TEST(FailoverService, KilledPrimaryIsReplacedAndFollowsAfterItsRestart)
{
    run([](Fleet &fleet, tests::DatabaseGroup &group) -> net::awaitable<void> {
        const core::TimePoint start = core::Clock::now();
        group.server(0).kill();
        const core::Milliseconds gap = co_await measureGap(fleet, group, start, 1);
        std::cout << "killed: " << gap.count() << " ms\n";
        EXPECT_LT(gap, 6s);
        EXPECT_NE(fleet.primary, "s1");
        // The restarted server has its former role and term, so a home must tell it to follow the new primary.
        group.restart(0);
        co_await expectAllFollow(fleet, group);
    });
}

// Guards against a paused primary that is not replaced, or that does not follow the new primary when it resumes.
TEST(FailoverService, PausedPrimaryIsReplacedAndFollowsWhenItReturns)
{
    run([](Fleet &fleet, tests::DatabaseGroup &group) -> net::awaitable<void> {
        const core::TimePoint start = core::Clock::now();
        group.server(0).pause();
        const core::Milliseconds gap = co_await measureGap(fleet, group, start, 1);
        std::cout << "paused: " << gap.count() << " ms\n";
        EXPECT_LT(gap, 6s);
        group.server(0).resume();
        co_await expectAllFollow(fleet, group);
    });
}

// Guards against network cuts to the primary, in one or both directions, that are not detected, and against a group
// whose servers do not all follow the new primary after the cut.
TEST(FailoverService, CutPrimaryIsReplacedAndFollowsWhenTheCutEnds)
{
    run([](Fleet &fleet, tests::DatabaseGroup &group) -> net::awaitable<void> {
        static constexpr std::string_view Cuts[] = {"both", "to_target", "from_target"};
        for (const std::string_view cut : Cuts) {
            const std::int64_t oldTerm = fleet.term;
            const std::string route = std::string(1, static_cast<char>(fleet.primary.back() - 1));
            const std::string fault = R"({"route":)" + route + R"(,"cut":")" + std::string(cut) + R"("})";
            const core::TimePoint start = core::Clock::now();
            co_await setFault(group.controlAddress(), fault);
            const core::Milliseconds gap = co_await measureGap(fleet, group, start, oldTerm);
            std::cout << "cut " << cut << ": " << gap.count() << " ms\n";
            EXPECT_LT(gap, 6s);
            const std::string heal = R"({"route":"all","cut":"none"})";
            co_await setFault(group.controlAddress(), heal);
            co_await expectAllFollow(fleet, group);
        }
    });
}

// Guards against the replacement of a working primary when only its open connections have gone silent and new
// connections work.
TEST(FailoverService, SilentConnectionsDoNotReplaceThePrimary)
{
    run([](Fleet &fleet, tests::DatabaseGroup &group) -> net::awaitable<void> {
        for (int round = 0; round < 3; ++round) {
            const std::string fault = R"({"route":"all","silence_open":true})";
            co_await setFault(group.controlAddress(), fault);
            co_await pause(1'500ms);
        }
        EXPECT_EQ(fleet.term, 1);
        const std::optional<GroupStatus> status = fleet.services[0]->status("rota");
        EXPECT_TRUE(status && !status->primarySuspected);
        const bool written = co_await writeConfirmed(fleet, group);
        EXPECT_TRUE(written);
    });
}

// Guards against a home that opens more than the two connections per server that the design allows for probes and
// control calls.
TEST(FailoverService, UsesAtMostTwoConnectionsPerServer)
{
    run([](Fleet &, tests::DatabaseGroup &group) -> net::awaitable<void> {
        const std::string fault = R"({"route":0,"cut":"both"})";
        co_await setFault(group.controlAddress(), fault);
        co_await pause(2'500ms);
        const std::string address = group.directAddress(1);
        const backend::ServerStatus status = co_await statusOf(address);
        EXPECT_LE(status.connections, 3 * 2 + 1);
    });
}

}
