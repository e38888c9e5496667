#include "core/error.h"
#include "daemon/configservice.h"
#include "daemon/storeclientsource.h"
#include "standins/storestandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace endiveshore::daemon {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const net::TcpEndpoint StoreEndpoint(asio::ip::address_v4::loopback(), 21201);

// Key whose entry no daemon can use.
constexpr const char *UnusableKey = "/endiveshore/keys/unusable";

// Bound on the time until an accepted document or a withdrawn key takes effect on all daemons.
constexpr std::chrono::seconds PropagationBound{3};

net::awaitable<void> pauseFor(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Daemons with their store clients in one process. Exchanges between daemons are direct calls that can be delayed or
/// fail.
struct Fleet
{
    struct Daemon
    {
        bool relay = false;
        bool inOtherRegion = false;
        bool failing = false; ///< Exchanges with the daemon fail.
        core::Duration answerDelay{0};
        int exchanges = 0;
        int concurrent = 0;
        int maxConcurrent = 0;
        std::int64_t latestRevision = 0;
        std::shared_ptr<store::StoreClient> client;
        std::shared_ptr<ConfigurationService> service;
    };

    asio::io_context context;
    std::shared_ptr<standins::StoreStandin> store = std::make_shared<standins::StoreStandin>(
        context.get_executor(), standins::StoreStandinOptions{.progressInterval = 100ms});
    store::StoreClient operatorClient{context.get_executor(), {.endpoints = {StoreEndpoint}, .callTimeout = 500ms}};
    std::map<std::string, Daemon> daemons;

    void add(const std::string &id, bool relay)
    {
        Daemon &daemon = this->daemons[id];
        daemon.relay = relay;
        daemon.client = std::make_shared<store::StoreClient>(
            this->context.get_executor(),
            store::StoreClientOptions{.endpoints = {StoreEndpoint}, .callTimeout = 500ms});
        ConfigurationOptions options;
        options.watchSilence = 500ms;
        options.retryInterval = 100ms;
        options.checkInterval = 20ms;
        options.hedgeDelay = 100ms;
        ConfigurationCallbacks callbacks;
        callbacks.isRelay = [&daemon] { return daemon.relay; };
        callbacks.peers = [this, id] {
            std::vector<std::string> peers;
            for (const auto &[peer, state] : this->daemons) {
                if (peer != id) {
                    peers.push_back(peer);
                }
            }
            return peers;
        };
        callbacks.isInSameRegion
            = [this](std::string_view memberId) { return !this->daemons.at(std::string(memberId)).inOtherRegion; };
        callbacks.exchange = [this](std::string memberId, json::object request) {
            return this->exchange(std::move(memberId), std::move(request));
        };
        callbacks.revisionRaised = [&daemon](const confsync::EntryStore &entries) {
            EXPECT_GT(entries.revision(), daemon.latestRevision);
            daemon.latestRevision = entries.revision();
            if (entries.find(UnusableKey) != nullptr) {
                throw std::runtime_error("unusable entry");
            }
        };
        auto source = std::make_shared<StoreClientSource>(
            daemon.client, StoreClientSourceOptions{.watchSilence = options.watchSilence});
        daemon.service = std::make_shared<ConfigurationService>(
            this->context.get_executor(), std::move(source), std::move(options), std::move(callbacks));
        daemon.service->start();
    }

    net::awaitable<json::object> exchange(std::string memberId, json::object request)
    {
        Daemon &daemon = this->daemons.at(memberId);
        ++daemon.exchanges;
        daemon.maxConcurrent = std::max(daemon.maxConcurrent, ++daemon.concurrent);
        co_await pauseFor(daemon.answerDelay);
        --daemon.concurrent;
        if (daemon.failing) {
            throw core::Error(core::ResultCode::PeerUnreachable, "injected fault");
        }
        co_return daemon.service->answer(request);
    }

    ConfigurationService &service(const std::string &id)
    {
        return *this->daemons.at(id).service;
    }

    std::string value(const std::string &id, std::string_view key)
    {
        const confsync::Entry *entry = this->service(id).entries().find(key);
        return entry != nullptr ? entry->value : std::string();
    }

    void putDirectly(const std::string &key, const std::string &value)
    {
        this->store->data().apply({standins::PutOperation{.key = key, .value = value}});
        this->store->notifyWatches();
    }

    void removeDirectly(const std::string &key)
    {
        this->store->data().apply({standins::DeleteOperation{.range = {.key = key, .end = {}}}});
        this->store->notifyWatches();
    }
};

template<typename Condition>
net::awaitable<void> waitFor(Condition condition, core::Duration limit = PropagationBound)
{
    const core::TimePoint deadline = core::Clock::now() + limit;
    while (!condition() && core::Clock::now() < deadline) {
        co_await pauseFor(2ms);
    }
    EXPECT_TRUE(condition());
}

template<typename Body>
void runFleet(Body body)
{
    Fleet fleet;
    fleet.store->listen(StoreEndpoint);
    std::exception_ptr failure;
    bool finished = false;
    asio::co_spawn(fleet.context, body(fleet), [&](std::exception_ptr error) {
        failure = error;
        finished = true;
        for (auto &[id, daemon] : fleet.daemons) {
            daemon.service->stop();
        }
        fleet.store->stop();
        fleet.context.stop();
    });
    fleet.context.run_for(30s);
    EXPECT_TRUE(finished) << "the test did not end in time";
    if (failure) {
        std::rethrow_exception(failure);
    }
}

}

// Guards against a relay that misses a change reported by its watch, polls the store although the watch works, or
// applies keys outside the key ranges of the configuration.
TEST(ConfigurationService, RelayFollowsTheWatchWithoutPolling)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.putDirectly("/endiveshore/services/rota-db", "first");
        fleet.add("d1", true);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1; });
        const std::uint64_t callsAfterStart = fleet.store->calls().total();
        EXPECT_EQ(callsAfterStart, 3U);
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        fleet.putDirectly("/endiveshore/other", "ignored");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
        fleet.removeDirectly("/endiveshore/keys/abc");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc").empty(); });
        EXPECT_EQ(fleet.value("d1", "/endiveshore/services/rota-db"), "first");
        EXPECT_EQ(fleet.value("d1", "/endiveshore/other"), "");
        const core::TimePoint before = core::Clock::now();
        co_await waitFor([&] { return fleet.service("d1").lastStoreConfirmation() > before + 700ms; });
        EXPECT_EQ(fleet.store->calls().total(), callsAfterStart);
    });
}

// Guards against a store outage that discards the loaded configuration, keeps a new daemon from starting although its
// peer has the configuration, or hides a change made during the outage.
TEST(ConfigurationService, StoreOutageKeepsTheStateAndNewDaemonsLoadFromPeers)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        fleet.add("d1", true);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1; });
        fleet.store->setFaults({.down = true});
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.service("d2").loaded(); });
        EXPECT_EQ(fleet.value("d2", "/endiveshore/keys/abc"), "granted");
        EXPECT_EQ(fleet.service("d2").lastStoreConfirmation(), core::TimePoint::min());
        EXPECT_EQ(fleet.value("d1", "/endiveshore/keys/abc"), "granted");
        fleet.removeDirectly("/endiveshore/keys/abc");
        fleet.store->setFaults({});
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc").empty(); });
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc").empty(); });
    });
}

// Guards against a relay that keeps waiting on a watch whose connection went silent, or misses changes made during the
// silence.
TEST(ConfigurationService, SilentWatchIsReplaced)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1; });
        fleet.store->setFaults({.silent = true});
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] { return fleet.store->calls().watches >= 2; });
        EXPECT_EQ(fleet.value("d1", "/endiveshore/keys/abc"), "");
        fleet.store->setFaults({});
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
    });
}

// Guards against a deleted key that stays in force: the key is deleted during an outage and the store compacts that
// revision, so the new watch cannot report the deletion.
TEST(ConfigurationService, CompactedHistoryIsReplacedByASnapshot)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        fleet.add("d1", true);
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1 && fleet.service("d2").loaded(); });
        fleet.store->setFaults({.down = true});
        co_await waitFor([&] { return fleet.store->calls().openWatches == 0; });
        fleet.removeDirectly("/endiveshore/keys/abc");
        fleet.putDirectly("/endiveshore/services/rota-db", "later");
        fleet.store->data().compact(fleet.store->data().revision());
        fleet.store->setFaults({});
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/services/rota-db") == "later"; });
        EXPECT_EQ(fleet.value("d1", "/endiveshore/keys/abc"), "");
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.service("d2").revision() == fleet.service("d1").revision(); });
        EXPECT_EQ(fleet.value("d2", "/endiveshore/keys/abc"), "");
        EXPECT_EQ(fleet.value("d2", "/endiveshore/services/rota-db"), "later");
    });
}

// Guards against a compare-and-swap whose answer is lost after the store applied it: the retry must not apply the
// change again, and the change must still reach the daemons.
TEST(ConfigurationService, LostAnswerOfACompareAndSwapIsAppliedOnce)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1; });
        const std::string key = "/endiveshore/services/rota-db";
        const std::string document = "{\"operation\":\"op-1\"}";
        fleet.store->setFaults({.loseAnswers = 1});
        core::Outcome outcome = core::Outcome::Done;
        try {
            co_await fleet.operatorClient.compareAndSwap(key, 0, document);
        } catch (const core::Error &error) {
            outcome = error.outcome;
        }
        EXPECT_EQ(outcome, core::Outcome::Unknown);
        const store::SwapResult retry = co_await fleet.operatorClient.compareAndSwap(key, 0, document);
        EXPECT_FALSE(retry.swapped);
        EXPECT_EQ(retry.currentValue, document);
        co_await waitFor([&] { return fleet.value("d1", key) == document; });
        EXPECT_EQ(fleet.service("d1").entries().find(key)->version, retry.version);
    });
}

// Guards against a slow store that delays a change beyond the bound, or keeps a daemon from starting once store calls
// exceed their timeout.
TEST(ConfigurationService, SlowStore)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        fleet.store->setFaults({.delay = 200ms});
        fleet.add("d1", true);
        co_await waitFor([&] {
            return fleet.value("d1", "/endiveshore/keys/abc") == "granted" && fleet.store->calls().openWatches == 1;
        });
        fleet.removeDirectly("/endiveshore/keys/abc");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc").empty(); });
        // With a delay beyond the call timeout, a new daemon loads the configuration from its peer.
        fleet.store->setFaults({.delay = 2s});
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.service("d2").loaded(); });
        EXPECT_EQ(fleet.value("d2", "/endiveshore/keys/abc"), "");
    });
}

// Guards against repeated announcements of one revision that each start a pull of the same delta.
TEST(ConfigurationService, OnePullInFlightPerMember)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1 && fleet.service("d2").loaded(); });
        fleet.daemons.at("d1").answerDelay = 50ms;
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
        for (int repetition = 0; repetition < 20; ++repetition) {
            fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        }
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc") == "granted"; });
        EXPECT_EQ(fleet.daemons.at("d1").maxConcurrent, 1);
        EXPECT_EQ(fleet.daemons.at("d1").exchanges, 1);
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision() - 1);
        EXPECT_EQ(fleet.daemons.at("d1").exchanges, 1);
    });
}

// Guards against a daemon that pulls a delta from another region although a member of its own region announces the
// revision too, and against a daemon that never pulls from another region.
TEST(ConfigurationService, PullsAcrossRegionsOnlyWithoutLocalSource)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        fleet.add("d2", true);
        fleet.add("d3", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 2 && fleet.service("d3").loaded(); });
        fleet.daemons.at("d1").inOtherRegion = true;
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] {
            return fleet.value("d1", "/endiveshore/keys/abc") == "granted"
                && fleet.value("d2", "/endiveshore/keys/abc") == "granted";
        });
        fleet.service("d3").onRevisionAnnounced("d1", fleet.service("d1").revision());
        EXPECT_EQ(fleet.daemons.at("d1").exchanges, 0);
        fleet.service("d3").onRevisionAnnounced("d2", fleet.service("d2").revision());
        co_await waitFor([&] { return fleet.value("d3", "/endiveshore/keys/abc") == "granted"; });
        EXPECT_EQ(fleet.daemons.at("d1").exchanges, 0);
        EXPECT_EQ(fleet.daemons.at("d2").exchanges, 1);
        fleet.removeDirectly("/endiveshore/keys/abc");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc").empty(); });
        fleet.service("d3").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.value("d3", "/endiveshore/keys/abc").empty(); });
        EXPECT_EQ(fleet.daemons.at("d1").exchanges, 1);
    });
}

// Guards against a change that is lost because the member that announced its revision fails or does not answer.
TEST(ConfigurationService, PullIsRepeatedOnAnotherMember)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        fleet.add("d2", true);
        fleet.add("d3", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 2 && fleet.service("d3").loaded(); });
        fleet.daemons.at("d1").failing = true;
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc") == "granted"; });
        fleet.service("d3").onRevisionAnnounced("d1", fleet.service("d2").revision());
        co_await waitFor([&] { return fleet.value("d3", "/endiveshore/keys/abc") == "granted"; });
        fleet.daemons.at("d1").answerDelay = 10s;
        fleet.removeDirectly("/endiveshore/keys/abc");
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc").empty(); });
        fleet.service("d3").onRevisionAnnounced("d1", fleet.service("d2").revision());
        fleet.service("d3").onRevisionAnnounced("d2", fleet.service("d2").revision());
        co_await waitFor([&] { return fleet.value("d3", "/endiveshore/keys/abc").empty(); });
    });
}

// Guards against a daemon that stops following the store, or pulling from a member, since it could not use one entry.
TEST(ConfigurationService, AnEntryThatCannotBeAppliedDoesNotEndFollowing)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1 && fleet.service("d2").loaded(); });
        fleet.putDirectly(UnusableKey, "x");
        co_await waitFor([&] { return fleet.value("d1", UnusableKey) == "x"; });
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.value("d2", UnusableKey) == "x"; });
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc") == "granted"; });
    });
}

// Guards against a daemon that stays behind since it can pull from nobody, although it reaches the store itself.
TEST(ConfigurationService, DaemonThatCannotPullReadsTheStore)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", true);
        fleet.add("d2", false);
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1 && fleet.service("d2").loaded(); });
        fleet.daemons.at("d1").failing = true;
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
        fleet.service("d2").onRevisionAnnounced("d1", fleet.service("d1").revision());
        co_await waitFor([&] { return fleet.value("d2", "/endiveshore/keys/abc") == "granted"; });
        co_await waitFor([&] { return fleet.store->calls().openWatches == 1; });
    });
}

// Guards against a daemon that opens no watch when it becomes a relay, or keeps its watch after it loses the role.
TEST(ConfigurationService, RelayRoleChanges)
{
    runFleet([](Fleet &fleet) -> net::awaitable<void> {
        fleet.add("d1", false);
        co_await waitFor([&] { return fleet.service("d1").loaded(); });
        EXPECT_EQ(fleet.store->calls().watches, 0U);
        fleet.putDirectly("/endiveshore/keys/abc", "granted");
        fleet.daemons.at("d1").relay = true;
        co_await waitFor([&] { return fleet.value("d1", "/endiveshore/keys/abc") == "granted"; });
        fleet.daemons.at("d1").relay = false;
        co_await waitFor([&] { return fleet.store->calls().openWatches == 0; });
    });
}

}
