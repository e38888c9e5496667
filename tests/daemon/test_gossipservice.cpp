#include "daemon/gossipservice.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace endiveshore::daemon {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t FirstPort = 22100;

/// Gossip services on loopback addresses in one thread.
struct Fleet
{
    explicit Fleet(std::size_t count)
    {
        this->events.resize(count);
        this->revisions.resize(count);
        this->terms.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            GossipServiceOptions options{
                .listen = {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(FirstPort + index)}};
            options.gossip.id = "vm-" + std::to_string(index);
            options.gossip.address = net::formatEndpoint(options.listen);
            options.gossip.dataCentre = index % 2 == 0 ? "oviedo" : "santander";
            options.gossip.region = index % 2 == 0 ? "asturias" : "cantabria";
            options.gossip.seed = index + 1;
            options.gossip.seeds = {"127.0.0.1:" + std::to_string(FirstPort)};
            GossipCallbacks callbacks;
            callbacks.onMember
                = [this, index](const membership::MemberEvent &event) { this->events[index].push_back(event); };
            callbacks.onRevision = [this, index](const membership::RevisionUpdate &update) {
                this->revisions[index] = std::max(this->revisions[index], update.revision);
            };
            callbacks.onState
                = [this, index](const membership::StateUpdate &update) { this->terms[index] = update.value.number; };
            this->services.push_back(std::make_shared<GossipService>(this->context.get_executor(), options, callbacks));
            this->services.back()->start();
        }
    }

    ~Fleet()
    {
        for (const std::shared_ptr<GossipService> &service : this->services) {
            service->stop();
        }
    }

    bool runUntil(core::Duration limit, const std::function<bool()> &done)
    {
        const core::TimePoint end = core::Clock::now() + limit;
        while (!done() && core::Clock::now() < end) {
            this->context.run_for(10ms);
        }
        return done();
    }

    std::size_t count(std::size_t index, membership::MemberEventKind kind) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->events[index].begin(), this->events[index].end(), [kind](const membership::MemberEvent &event) {
                return event.kind == kind;
            }));
    }

    bool allSaw(std::size_t except, membership::MemberEventKind kind, std::size_t times) const
    {
        for (std::size_t index = 0; index < this->services.size(); ++index) {
            if (index != except && this->count(index, kind) < times) {
                return false;
            }
        }
        return true;
    }

    boost::asio::io_context context;
    std::vector<std::shared_ptr<GossipService>> services;
    std::vector<std::vector<membership::MemberEvent>> events;
    std::vector<std::uint64_t> revisions;
    std::vector<std::int64_t> terms;
};

}

// Guards against a service that does not join over real sockets, or whose revision notifications and application state
// do not reach the other members.
TEST(GossipService, JoinsAndSpreadsRevisionsAndState)
{
    Fleet fleet(5);
    ASSERT_TRUE(fleet.runUntil(5s, [&] { return fleet.allSaw(99, membership::MemberEventKind::Joined, 4); }));
    ASSERT_TRUE(fleet.runUntil(2s, [&] { return fleet.services[4]->membership().hasJoined(); }));
    EXPECT_TRUE(fleet.services[4]->membership().seesMajority(core::Clock::now()));
    fleet.services[0]->setConfigRevision(17, true);
    EXPECT_TRUE(fleet.runUntil(200ms, [&] { return fleet.revisions[2] == 17 && fleet.revisions[4] == 17; }));
    fleet.services[3]->setState("rota", {4, "server-1", 4});
    EXPECT_TRUE(fleet.runUntil(3s, [&] {
        return fleet.revisions[1] == 17 && fleet.revisions[3] == 17 && fleet.terms[0] == 4 && fleet.terms[1] == 4;
    }));
    EXPECT_GT(fleet.services[1]->counters().bytesIn, 0U);
    EXPECT_GT(fleet.services[1]->counters().bytesOut, 0U);
}

// Guards against a stopped daemon that is not declared dead in time for the failover bound, and against a daemon that
// left as planned but is declared dead.
TEST(GossipService, DetectsDeathsRefusalsAndDepartures)
{
    Fleet fleet(5);
    ASSERT_TRUE(fleet.runUntil(5s, [&] { return fleet.allSaw(99, membership::MemberEventKind::Joined, 4); }));
    fleet.services[4]->leave();
    EXPECT_TRUE(fleet.runUntil(1s, [&] { return fleet.allSaw(4, membership::MemberEventKind::Left, 1); }));
    fleet.services[3]->stop();
    const core::TimePoint start = core::Clock::now();
    fleet.services[0]->reportRefused({boost::asio::ip::address_v4::loopback(), FirstPort + 3});
    EXPECT_TRUE(fleet.runUntil(2s, [&] { return fleet.count(0, membership::MemberEventKind::Dead) == 1; }));
    EXPECT_LE(core::Clock::now() - start, 800ms);
    fleet.services[2]->stop();
    EXPECT_TRUE(fleet.runUntil(4s, [&] {
        return fleet.count(0, membership::MemberEventKind::Dead) == 2
            && fleet.count(1, membership::MemberEventKind::Dead) == 2;
    }));
    EXPECT_EQ(fleet.count(0, membership::MemberEventKind::Left), 1U);
}

}
