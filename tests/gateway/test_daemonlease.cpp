#include "gateway/daemonlease.h"

#include "tests/gateway/eventloop.h"
#include "tests/gateway/fakemetadatastore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>

namespace endiveshore::gateway {

using namespace std::chrono_literals;

namespace {

class DaemonLeaseTest : public testing::Test
{
protected:
    struct Daemon
    {
        std::shared_ptr<DaemonLease> lease;
        std::uint64_t elected = 0;
        int lost = 0;
        bool mayCompete = true;
    };

    std::shared_ptr<Daemon> startDaemon(const std::string &id)
    {
        auto daemon = std::make_shared<Daemon>();
        DaemonLeaseCallbacks callbacks{.mayCompete = [daemon] { return daemon->mayCompete; },
                                       .onContact = [] {},
                                       .onElected = [daemon](std::uint64_t revision) { daemon->elected = revision; },
                                       .onDutyLost = [daemon](const std::string &) { ++daemon->lost; }};
        daemon->lease = std::make_shared<DaemonLease>(this->context.get_executor(),
                                                      this->store,
                                                      DaemonLeaseOptions{.daemonId = id, .registration = "{}"},
                                                      std::move(callbacks),
                                                      this->log);
        daemon->lease->onStoreRead();
        boost::asio::co_spawn(this->context, daemon->lease->run(), boost::asio::detached);
        return daemon;
    }

    /// Passes the current state of the duty's key to @p daemon, as the watch of the store does.
    void report(const Daemon &daemon)
    {
        const auto found = this->store->items.find(DaemonLease::dutyKey());
        OwnEntry entry{.key = DaemonLease::dutyKey(), .revision = this->store->revision, .isRemoved = true};
        if (found != this->store->items.end()) {
            entry = {.key = found->first, .value = found->second.value, .revision = found->second.revision};
        }
        daemon.lease->onDutyEntry(entry);
    }

    void runUntil(const std::function<bool()> &done)
    {
        gateway::runUntil(this->context, done);
    }

    boost::asio::io_context context;
    telemetry::DecisionLog log{telemetry::LogOptions{.level = telemetry::LogLevel::Error, .output = "stderr"}};
    std::shared_ptr<FakeMetadataStore> store = std::make_shared<FakeMetadataStore>();
};

}

// Guards against two holders of the promotion duty when two daemons compete for it at the same time.
TEST_F(DaemonLeaseTest, OneOfTwoDaemonsIsElected)
{
    const auto first = this->startDaemon("a");
    const auto second = this->startDaemon("b");
    this->runUntil([&] { return first->elected + second->elected > 0; });
    this->runUntil([start = core::Clock::now()] { return core::Clock::now() - start > 600ms; });
    EXPECT_NE(first->elected == 0, second->elected == 0);
    EXPECT_NE(first->lease->holdsDuty(), second->lease->holdsDuty());
}

// Guards against a duty without an active holder: if the answer to the election is lost, the elected daemon must
// recognise its own lease in the duty's key instead of waiting for the lease to expire.
TEST_F(DaemonLeaseTest, ElectionWithoutAnswerIsRecognisedByItsLease)
{
    this->store->loseAnswerOf = DaemonLease::dutyKey();
    const auto daemon = this->startDaemon("a");
    this->runUntil([&] { return this->store->items.contains(DaemonLease::dutyKey()); });
    EXPECT_EQ(daemon->elected, 0U);
    this->report(*daemon);
    EXPECT_EQ(daemon->elected, this->store->items.at(DaemonLease::dutyKey()).revision);
}

// Guards against elections in which every daemon of a large fleet calls the store: only relays compete.
TEST_F(DaemonLeaseTest, DaemonThatDoesNotCompeteLeavesTheDutyToOthers)
{
    const auto follower = this->startDaemon("a");
    follower->mayCompete = false;
    const auto relay = this->startDaemon("b");
    this->runUntil([&] { return relay->elected != 0; });
    EXPECT_EQ(follower->elected, 0U);
}

// Guards against a former holder that continues after its lease has ended, when a different daemon can be elected.
TEST_F(DaemonLeaseTest, HolderWhoseLeaseEndedLosesTheDuty)
{
    const auto daemon = this->startDaemon("a");
    this->runUntil([&] { return daemon->elected != 0; });
    this->store->expire(this->store->items.at(DaemonLease::dutyKey()).lease);
    this->runUntil([&] { return daemon->lost == 1; });
    EXPECT_FALSE(daemon->lease->holdsDuty());
}

// Guards against a holder that extends its lease although its renewals are not answered.
TEST_F(DaemonLeaseTest, HolderDoesNotOutlastItsLeaseWhileTheStoreIsUnreachable)
{
    const auto daemon = this->startDaemon("a");
    this->runUntil([&] { return daemon->elected != 0; });
    this->store->down = true;
    this->runUntil([&] { return !daemon->lease->holdsDuty(); });
    EXPECT_TRUE(daemon->lease->wasElected());
}

// Guards against an order that is carried out after the election of a different daemon, on platforms that do not check
// fences.
TEST_F(DaemonLeaseTest, ReserveIsPartOfTheLease)
{
    const auto daemon = this->startDaemon("a");
    this->runUntil([&] { return daemon->lease->holdsDuty(); });
    EXPECT_TRUE(daemon->lease->holdsDuty(500ms));
    EXPECT_FALSE(daemon->lease->holdsDuty(1min));
}

// Guards against a planned stop that leaves the duty without a holder until the lease expires.
TEST_F(DaemonLeaseTest, StoppingHolderReleasesTheDutyAtOnce)
{
    const auto daemon = this->startDaemon("a");
    this->runUntil([&] { return daemon->elected != 0; });
    boost::asio::co_spawn(this->context, daemon->lease->stop(), boost::asio::detached);
    this->runUntil([&] { return !this->store->items.contains(DaemonLease::dutyKey()); });
    EXPECT_EQ(daemon->lost, 1);
}

}
