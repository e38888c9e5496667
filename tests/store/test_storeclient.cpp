#include "core/error.h"
#include "standins/storestandin.h"
#include "standins/vmliststandin.h"
#include "store/storeclient.h"
#include "store/vmlistclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

namespace endiveshore::store {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const net::TcpEndpoint StoreEndpoint(asio::ip::address_v4::loopback(), 21101);
const net::TcpEndpoint RefusingEndpoint(asio::ip::address_v4::loopback(), 21102);
const net::TcpEndpoint ListEndpoint(asio::ip::address_v4::loopback(), 21103);

struct Fixture
{
    asio::io_context context;
    std::shared_ptr<standins::StoreStandin> store = std::make_shared<standins::StoreStandin>(
        context.get_executor(), standins::StoreStandinOptions{.progressInterval = 100ms});
    StoreClient client{context.get_executor(), {.endpoints = {StoreEndpoint}, .callTimeout = 300ms}};

    void setFaults(const standins::StoreFaults &faults)
    {
        this->store->setFaults(faults);
    }
};

template<typename Body>
void runWithStore(Body body)
{
    Fixture fixture;
    fixture.store->listen(StoreEndpoint);
    std::exception_ptr failure;
    bool finished = false;
    asio::co_spawn(fixture.context, body(fixture), [&](std::exception_ptr error) {
        failure = error;
        finished = true;
        fixture.store->stop();
        fixture.context.stop();
    });
    fixture.context.run_for(20s);
    EXPECT_TRUE(finished) << "the test did not end in time";
    if (failure) {
        std::rethrow_exception(failure);
    }
}

template<typename Condition>
net::awaitable<void> waitFor(Condition condition)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const core::TimePoint limit = core::Clock::now() + 5s;
    while (!condition() && core::Clock::now() < limit) {
        timer.expires_after(2ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    EXPECT_TRUE(condition());
}

// Outcome of a compare-and-swap that must fail.
net::awaitable<core::Outcome> failedSwap(StoreClient &client, std::string key)
{
    try {
        co_await client.compareAndSwap(key, 0, "value");
    } catch (const core::Error &error) {
        EXPECT_EQ(error.code, core::ResultCode::StoreUnavailable);
        co_return error.outcome;
    }
    ADD_FAILURE() << "the swap should have failed";
    co_return core::Outcome::Done;
}

}

// Guards against accepting the concurrent changes of two writers to one entry.
TEST(StoreClient, CompareAndSwapAcceptsOnlyTheExpectedVersion)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        const SwapResult created = co_await fixture.client.compareAndSwap("s/a", 0, "one");
        EXPECT_TRUE(created.swapped);
        const SwapResult rival = co_await fixture.client.compareAndSwap("s/a", 0, "two");
        EXPECT_FALSE(rival.swapped);
        EXPECT_EQ(rival.version, created.version);
        EXPECT_EQ(rival.currentValue, "one");
        const SwapResult stale = co_await fixture.client.remove("s/a", created.version + 1);
        EXPECT_FALSE(stale.swapped);
        const SwapResult removed = co_await fixture.client.remove("s/a", created.version);
        EXPECT_TRUE(removed.swapped);
        EXPECT_GT(removed.version, created.version);
        const std::optional<StoreEntry> afterRemoval = co_await fixture.client.get("s/a");
        EXPECT_FALSE(afterRemoval.has_value());
    });
}

// Guards against a snapshot that mixes revisions when a change happens between the reads of two pages.
TEST(StoreClient, RangeReadsAllPagesAtOneRevision)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        for (int index = 0; index < 25; ++index) {
            fixture.store->data().apply(
                {standins::PutOperation{.key = "s/" + std::to_string(100 + index), .value = "v"}});
        }
        fixture.store->data().apply({standins::PutOperation{.key = "t", .value = "outside the prefix"}});
        const StoreSnapshot newest = co_await fixture.client.range("s/", {.pageSize = 10});
        EXPECT_EQ(newest.entries.size(), 25U);
        EXPECT_EQ(newest.revision, 27);
        const StoreSnapshot older = co_await fixture.client.range("s/", {.pageSize = 4, .revision = 11});
        EXPECT_EQ(older.entries.size(), 10U);
        EXPECT_EQ(fixture.client.callCount(), 3U + 3U);
    });
}

// Guards against reporting a change as not run although it may have been applied, and the reverse.
TEST(StoreClient, FailedChangesReportWhetherTheyMayHaveRun)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        fixture.setFaults({.loseAnswers = 1});
        const core::Outcome lost = co_await failedSwap(fixture.client, "lost");
        EXPECT_EQ(lost, core::Outcome::Unknown);
        const std::optional<StoreEntry> applied = co_await fixture.client.get("lost");
        EXPECT_TRUE(applied.has_value());

        fixture.setFaults({.delay = 500ms});
        const core::Outcome slow = co_await failedSwap(fixture.client, "slow");
        EXPECT_EQ(slow, core::Outcome::Unknown);

        StoreClient unreachable(fixture.context.get_executor(), {.endpoints = {RefusingEndpoint}});
        const core::Outcome refused = co_await failedSwap(unreachable, "refused");
        EXPECT_EQ(refused, core::Outcome::NotRun);

        fixture.setFaults({});
        // On a slow machine, sending the large body may take longer than the timeout of the other cases.
        StoreClient longTimeoutClient(fixture.context.get_executor(),
                                      {.endpoints = {StoreEndpoint}, .callTimeout = 10s});
        const core::Outcome tooLarge = co_await [](StoreClient &client) -> net::awaitable<core::Outcome> {
            try {
                co_await client.compareAndSwap("large", 0, std::string(1024 * 1024 + 1, 'x'));
            } catch (const core::Error &error) {
                co_return error.outcome;
            }
            co_return core::Outcome::Done;
        }(longTimeoutClient);
        EXPECT_EQ(tooLarge, core::Outcome::NotRun);
    });
}

// Guards against a client that keeps using a store address that refuses connections.
TEST(StoreClient, TriesTheNextAddress)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        StoreClient client(fixture.context.get_executor(), {.endpoints = {RefusingEndpoint, StoreEndpoint}});
        const SwapResult result = co_await client.compareAndSwap("a", 0, "1");
        EXPECT_TRUE(result.swapped);
        EXPECT_EQ(fixture.store->calls().writes, 1U);
    });
}

// Guards against a read that fails because the store closed the idle connection.
TEST(StoreClient, ReadsSurviveAClosedIdleConnection)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        co_await fixture.client.compareAndSwap("a", 0, "1");
        fixture.setFaults({.down = true});
        bool failed = false;
        try {
            co_await fixture.client.get("a");
        } catch (const core::Error &error) {
            failed = error.outcome == core::Outcome::NotRun;
        }
        EXPECT_TRUE(failed);
        fixture.setFaults({});
        const std::optional<StoreEntry> entry = co_await fixture.client.get("a");
        EXPECT_TRUE(entry.has_value());
    });
}

// Guards against lost, repeated or reordered events, and against a watch that its callback cannot stop.
TEST(StoreClient, WatchReportsEveryChangeOnceInOrder)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        fixture.store->data().apply({standins::PutOperation{.key = "s/0", .value = "backlog"}});
        std::vector<std::int64_t> versions;
        std::int64_t confirmed = 0;
        bool running = true;
        std::optional<WatchEndReason> end;
        auto callback = [&](const std::vector<StoreEvent> &events, std::int64_t revision) {
            for (const StoreEvent &event : events) {
                versions.push_back(event.version);
            }
            confirmed = revision;
            return running;
        };
        asio::co_spawn(
            fixture.context,
            [&]() -> net::awaitable<void> {
                WatchOptions options{.prefix = "s/", .fromRevision = 2, .inactivityTimeout = 1s};
                end = co_await fixture.client.watch(std::move(options), callback);
            },
            asio::detached);
        co_await waitFor([&] { return versions.size() == 1; });
        for (int index = 1; index <= 3; ++index) {
            co_await fixture.client.compareAndSwap("s/" + std::to_string(index), 0, "new");
            co_await fixture.client.compareAndSwap("other/" + std::to_string(index), 0, "new");
        }
        co_await fixture.client.remove("s/1", 3);
        co_await waitFor([&] { return versions.size() == 5 && confirmed == 9; });
        EXPECT_EQ(versions, (std::vector<std::int64_t>{2, 3, 5, 7, 9}));
        running = false;
        co_await waitFor([&] { return end.has_value(); });
        EXPECT_EQ(*end, WatchEndReason::Stopped);
    });
}

// Guards against a watch that hangs on a connection without traffic, does not notice that the store has stopped, or
// hides that the store has discarded events.
TEST(StoreClient, WatchEndsWithTheRightReason)
{
    runWithStore([](Fixture &fixture) -> net::awaitable<void> {
        const auto watchWith = [&fixture](std::int64_t from, standins::StoreFaults faultsAfterOpen) {
            return fixture.client.watch({.prefix = "s/", .fromRevision = from, .inactivityTimeout = 300ms},
                                        [&fixture, faultsAfterOpen](const std::vector<StoreEvent> &, std::int64_t) {
                                            fixture.setFaults(faultsAfterOpen);
                                            return true;
                                        });
        };
        const WatchEndReason silent = co_await watchWith(2, {.silent = true});
        EXPECT_EQ(silent, WatchEndReason::TimedOut);
        fixture.setFaults({});
        const WatchEndReason lost = co_await watchWith(2, {.down = true});
        EXPECT_EQ(lost, WatchEndReason::ConnectionLost);
        const WatchEndReason refused = co_await watchWith(2, {.down = true});
        EXPECT_EQ(refused, WatchEndReason::ConnectionLost);
        fixture.setFaults({});
        for (int index = 0; index < 5; ++index) {
            fixture.store->data().apply({standins::PutOperation{.key = "s/1", .value = "v"}});
        }
        fixture.store->data().compact(4);
        const WatchEndReason compacted = co_await watchWith(2, {});
        EXPECT_EQ(compacted, WatchEndReason::Compacted);
    });
}

// Guards against accepting VM list entries of an unknown kind as members, and against taking an error for an empty
// list.
TEST(VmListClient, ReadsTheListAndSkipsUnknownKinds)
{
    asio::io_context context;
    const auto standin = std::make_shared<standins::VmListStandin>(0ms);
    standin->listen(context.get_executor(), ListEndpoint);
    const boost::json::value body = boost::json::parse(R"({"vms":[
        {"id":"d1","address":"127.0.0.1:1","data_centre":"oviedo","state":"live","kind":"daemon"},
        {"id":"b1","address":"127.0.0.1:2","data_centre":"gijon","state":"leaving","kind":"backend"},
        {"id":"x1","address":"127.0.0.1:3","data_centre":"gijon","state":"live","kind":"printer"}]})");
    standin->set(body.as_object(), core::Clock::now());
    VmList list;
    bool failed = false;
    asio::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            VmListClient client(ListEndpoint);
            list = co_await client.fetch();
            VmListClient unreachable(RefusingEndpoint);
            try {
                co_await unreachable.fetch();
            } catch (const core::Error &) {
                failed = true;
            }
        },
        [&](std::exception_ptr error) {
            EXPECT_EQ(error, nullptr);
            standin->stop();
            context.stop();
        });
    context.run_for(10s);
    EXPECT_TRUE(failed);
    ASSERT_EQ(list.vms.size(), 2U);
    EXPECT_EQ(list.revision, 1);
    EXPECT_EQ(list.vms[0].dataCentre, "oviedo");
    EXPECT_EQ(list.vms[1].kind, VmKind::Backend);
    EXPECT_TRUE(list.vms[1].leaving);
}

}
