#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "net/httpclient.h"
#include "net/httpstreamclient.h"
#include "standins/storestandin.h"
#include "standins/vmliststandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace endiveshore::standins {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const net::TcpEndpoint StoreEndpoint(asio::ip::address_v4::loopback(), 21001);

std::string encode(std::string_view text)
{
    return core::base64Encode(text);
}

net::awaitable<json::object> call(std::string target, json::object body)
{
    net::HttpRequest request = net::jsonRequest(target, body);
    const net::HttpResponse response = co_await net::exchangeOnce(StoreEndpoint, std::move(request), 2s);
    EXPECT_EQ(response.status, 200) << response.body;
    co_return core::parseJsonObject(response.body).value();
}

net::awaitable<void> put(std::string key, std::string value)
{
    json::object body{{"key", encode(key)}, {"value", encode(value)}};
    co_await call("/v3/kv/put", std::move(body));
}

net::awaitable<json::object> watchLine(net::HttpStreamConnection &connection)
{
    const std::optional<std::string> line = co_await connection.nextLine(2s);
    EXPECT_TRUE(line.has_value());
    const json::object message = core::parseJsonObject(line.value_or("{}")).value();
    const json::object *result = core::jsonObject(message, "result");
    EXPECT_NE(result, nullptr);
    co_return result != nullptr ? *result : json::object();
}

template<typename Body>
void runWithStore(Body body)
{
    asio::io_context context;
    const auto store
        = std::make_shared<StoreStandin>(context.get_executor(), StoreStandinOptions{.progressInterval = 100ms});
    store->listen(StoreEndpoint);
    std::exception_ptr failure;
    bool finished = false;
    asio::co_spawn(context, body(*store), [&](std::exception_ptr error) {
        failure = error;
        finished = true;
        store->stop();
        context.stop();
    });
    context.run_for(20s);
    EXPECT_TRUE(finished) << "the test did not end in time";
    if (failure) {
        std::rethrow_exception(failure);
    }
}

}

// Guards against a stand-in whose compare-and-swap accepts a stale revision, or whose refused transaction raises the
// revision of the store.
TEST(StoreStandin, TransactionComparesModRevision)
{
    runWithStore([](StoreStandin &) -> net::awaitable<void> {
        json::object body = core::parseJsonObject(
                                R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],
            "success":[{"requestPut":{"key":"YQ==","value":"MQ=="}}],
            "failure":[{"requestRange":{"key":"YQ=="}}]})")
                                .value();
        const json::object first = co_await call("/v3/kv/txn", body);
        EXPECT_TRUE(core::jsonBool(first, "succeeded"));
        EXPECT_EQ(gatewayInteger(*core::jsonObject(first, "header"), "revision"), 2);
        const json::object second = co_await call("/v3/kv/txn", body);
        EXPECT_FALSE(core::jsonBool(second, "succeeded"));
        EXPECT_EQ(gatewayInteger(*core::jsonObject(second, "header"), "revision"), 2);
        const json::object &range = second.at("responses").as_array().at(0).at("response_range").as_object();
        EXPECT_EQ(core::jsonString(range.at("kvs").as_array().at(0).as_object(), "value"), "MQ==");
    });
}

// Guards against a watch that misses changes made before it opened, reports keys outside of its range, omits deletions,
// sends no progress notifications, or stays counted as open after the client has closed it.
TEST(StoreStandin, WatchStreamsBacklogNewChangesAndDeletions)
{
    runWithStore([](StoreStandin &store) -> net::awaitable<void> {
        co_await put("a/1", "old");
        co_await put("b/1", "other");
        net::HttpStreamConnection connection(co_await asio::this_coro::executor);
        const json::object create{
            {"key", encode("a/")}, {"range_end", encode("a0")}, {"start_revision", "2"}, {"progress_notify", true}};
        net::HttpRequest request = net::jsonRequest("/v3/watch", {{"create_request", create}});
        const int status = co_await connection.open(StoreEndpoint, std::move(request), 2s);
        EXPECT_EQ(status, 200);
        const json::object created = co_await watchLine(connection);
        EXPECT_TRUE(core::jsonBool(created, "created"));
        const json::object backlog = co_await watchLine(connection);
        EXPECT_EQ(backlog.at("events").as_array().size(), 1U);
        json::object deletion{{"key", encode("a/1")}};
        co_await call("/v3/kv/deleterange", std::move(deletion));
        json::object event = co_await watchLine(connection);
        while (!event.contains("events")) {
            event = co_await watchLine(connection);
        }
        const json::object &deleted = event.at("events").as_array().at(0).as_object();
        EXPECT_EQ(core::jsonString(deleted, "type"), "DELETE");
        EXPECT_EQ(gatewayInteger(deleted.at("kv").as_object(), "mod_revision"), 4);
        const json::object progress = co_await watchLine(connection);
        EXPECT_FALSE(progress.contains("events"));
        EXPECT_EQ(gatewayInteger(progress.at("header").as_object(), "revision"), 4);
        EXPECT_EQ(store.calls().openWatches, 1U);
        connection.close();
        while (store.calls().openWatches != 0) {
            asio::steady_timer pause(co_await asio::this_coro::executor, 5ms);
            co_await pause.async_wait(asio::use_awaitable);
        }
    });
}

// Guards against a change that is not applied although only its answer should be lost, and against a store that applies
// changes while it is down.
TEST(StoreStandin, FaultsLoseAnswersAndRefuseCalls)
{
    runWithStore([](StoreStandin &store) -> net::awaitable<void> {
        json::object control{{"lose_answers", 1}};
        co_await call("/standin/control", std::move(control));
        bool lost = false;
        try {
            co_await put("a", "1");
        } catch (const core::Error &error) {
            lost = error.outcome == core::Outcome::Unknown;
        }
        EXPECT_TRUE(lost);
        EXPECT_EQ(store.data().revision(), 2);
        json::object outage{{"down", true}};
        co_await call("/standin/control", std::move(outage));
        bool refused = false;
        try {
            co_await put("a", "2");
        } catch (const core::Error &) {
            refused = true;
        }
        EXPECT_TRUE(refused);
        EXPECT_EQ(store.data().revision(), 2);
        const json::object stats = co_await call("/standin/stats", {});
        EXPECT_EQ(core::jsonInteger(stats, "writes"), 2);
    });
}

// Guards against keys that stay in the store after their lease has expired, and against a lease that expires although
// it was renewed in time.
TEST(RevisionStore, ExpiredLeaseDeletesItsKeys)
{
    RevisionStore store;
    const core::TimePoint start{};
    const std::int64_t lease = store.grantLease(0, 2s, start);
    store.apply({PutOperation{.key = "a", .value = "1", .lease = lease}});
    EXPECT_TRUE(store.keepLeaseAlive(lease, start + 1s).has_value());
    EXPECT_FALSE(store.expireLeases(start + 2500ms));
    EXPECT_TRUE(store.expireLeases(start + 3s));
    EXPECT_EQ(store.range({.range = {.key = "a", .end = {}}}).count, 0);
    EXPECT_EQ(store.changes({.key = "a", .end = {}}, 3).size(), 1U);
}

// Guards against reads at an old revision that return newer values, and against a compaction that removes the current
// entries along with the history.
TEST(RevisionStore, RangeAtARevisionAndCompaction)
{
    RevisionStore store;
    store.apply({PutOperation{.key = "a", .value = "1"}});
    store.apply({PutOperation{.key = "a", .value = "2"}});
    store.apply({PutOperation{.key = "b", .value = "3"}});
    store.apply({DeleteOperation{.range = {.key = "b", .end = {}}}});
    const KeyRange all{.key = "a", .end = std::string("\0", 1)};
    EXPECT_EQ(store.range({.range = all, .revision = 2}).entries.at(0).value, "1");
    EXPECT_EQ(store.range({.range = all, .revision = 4}).count, 2);
    store.compact(5);
    EXPECT_EQ(store.range({.range = all}).entries.at(0).value, "2");
    EXPECT_EQ(store.range({.range = all}).count, 1);
}

// Guards against a VM list that shows a change before the lag has passed, or does not show it afterwards.
TEST(VmListStandin, ChangesShowAfterTheLag)
{
    VmListStandin list(500ms);
    const core::TimePoint start = core::Clock::now();
    list.set({{"vms", json::array{json::object{{"id", "vm-1"}}}}}, start);
    list.set({{"vms", json::array()}}, start + 1s);
    EXPECT_EQ(core::jsonInteger(list.visible(start), "revision"), 1);
    EXPECT_EQ(core::jsonInteger(list.visible(start + 1400ms), "revision"), 1);
    EXPECT_EQ(core::jsonInteger(list.visible(start + 1500ms), "revision"), 2);
}

}
