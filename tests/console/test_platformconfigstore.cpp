#include "console/platformconfigstore.h"

#include "console/daemonpoller.h"
#include "core/hashing.h"
#include "core/json.h"
#include "memorystore.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace endiveshore::console {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t GatewayPort = 25300;
constexpr std::uint16_t ClosedPort = 25301;

net::TcpEndpoint loopback(std::uint16_t port)
{
    return {net::asio::ip::address_v4::loopback(), port};
}

/// HTTP server on its own thread that imitates etcd's v3 JSON gateway with a MemoryStore.
class StoreGateway
{
public:
    StoreGateway()
        : server(std::make_shared<net::HttpServer>(
            [this](net::HttpRequest request, net::HttpConnection &) -> net::awaitable<net::HttpResponse> {
                if (this->delay.load() > 0ms) {
                    net::asio::steady_timer timer(this->context, this->delay.load());
                    co_await timer.async_wait(net::asio::use_awaitable);
                }
                if (this->status != 200) {
                    co_return net::HttpResponse{.status = this->status};
                }
                co_return this->answer(request);
            }))
    {
        this->server->listen(this->context.get_executor(), loopback(GatewayPort));
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~StoreGateway()
    {
        this->context.stop();
        this->thread.join();
    }

    MemoryStore store;
    std::atomic<std::chrono::milliseconds> delay{0ms}; ///< Delay of each answer.
    std::atomic<int> status{200};

private:
    static json::object toJson(const StoredValue &value)
    {
        return {{"key", core::base64Encode(value.key)},
                {"value", core::base64Encode(value.value)},
                {"mod_revision", std::to_string(value.revision)}};
    }

    net::HttpResponse answer(const net::HttpRequest &request)
    {
        const json::object body = request.body.empty() ? json::object() : json::parse(request.body).as_object();
        json::object result;
        if (request.target == "/v3/kv/range") {
            result = this->range(body);
        } else if (request.target == "/v3/kv/txn") {
            result = this->transaction(body);
        } else if (request.target == "/admin/status") {
            result = {{"daemon", "vm-1"}, {"data_centre", "Oviedo"}, {"revision", 42}};
        }
        result["header"] = json::object{{"revision", std::to_string(this->store.revision)}};
        return net::jsonResponse(200, result);
    }

    json::object range(const json::object &body)
    {
        const std::string key = core::base64Decode(core::jsonString(body, "key"));
        const std::string end = core::base64Decode(core::jsonString(body, "range_end"));
        json::array values;
        for (const auto &[name, value] : this->store.values) {
            if (end.empty() ? name == key : name >= key && name < end) {
                values.push_back(toJson(value));
            }
        }
        return values.empty() ? json::object() : json::object{{"kvs", values}};
    }

    json::object transaction(const json::object &body)
    {
        const json::object &compare = body.at("compare").as_array().at(0).as_object();
        EXPECT_EQ(compare.at("target"), "MOD");
        EXPECT_EQ(compare.at("result"), "EQUAL");
        const std::string key = core::base64Decode(core::jsonString(compare, "key"));
        const std::int64_t base = std::stoll(core::jsonString(compare, "mod_revision"));
        const json::object &success = body.at("success").as_array().at(0).as_object();
        SwapResult swapped;
        if (const json::object *put = core::jsonObject(success, "request_put")) {
            swapped = this->store.compareAndSwap(key, base, core::base64Decode(core::jsonString(*put, "value")), 1s);
        } else {
            EXPECT_TRUE(success.contains("request_delete_range"));
            swapped = this->store.remove(key, base, 1s);
        }
        if (swapped.swapped) {
            return {{"succeeded", true}};
        }
        const json::object &read = body.at("failure").as_array().at(0).at("request_range").as_object();
        // etcd's gateway leaves out members whose value is false.
        return {{"responses", json::array{json::object{{"response_range", this->range(read)}}}}};
    }

    net::asio::io_context context;
    std::shared_ptr<net::HttpServer> server;
    std::thread thread;
};

core::Error errorOf(ConfigStore &store, core::Duration timeout)
{
    try {
        store.compareAndSwap("/endiveshore/services/a", 0, "{}", timeout);
    } catch (const core::Error &error) {
        return error;
    }
    return {core::ResultCode::Ok, {}};
}

}

// Guards against requests that the store's JSON gateway interprets differently than intended, and against results
// without the revision.
TEST(PlatformConfigStore, ComparesSwapsReadsAndRemoves)
{
    StoreGateway gateway;
    PlatformConfigStore store(loopback(GatewayPort));
    const std::string key = "/endiveshore/services/a";
    EXPECT_FALSE(store.get(key, 1s));
    const SwapResult created = store.compareAndSwap(key, 0, "{\"x\":\"\xc3\xb3\"}", 1s);
    EXPECT_TRUE(created.swapped);
    EXPECT_EQ(created.revision, 11);
    const SwapResult second = store.compareAndSwap(key, 0, "{}", 1s);
    EXPECT_FALSE(second.swapped);
    ASSERT_TRUE(second.current);
    EXPECT_EQ(second.current->value, "{\"x\":\"\xc3\xb3\"}");
    EXPECT_EQ(second.current->revision, 11);
    EXPECT_TRUE(store.compareAndSwap(key, 11, "{}", 1s).swapped);

    store.compareAndSwap("/endiveshore/servicesother", 0, "outside", 1s);
    const RangeResult range = store.range("/endiveshore/services/", 1s);
    ASSERT_EQ(range.values.size(), 1U);
    EXPECT_EQ(range.values[0].key, key);
    EXPECT_EQ(range.values[0].revision, 12);
    EXPECT_EQ(range.revision, 13);

    EXPECT_FALSE(store.remove(key, 11, 1s).swapped);
    EXPECT_EQ(store.remove(key, 12, 1s).revision, 14);
    const SwapResult absent = store.remove(key, 12, 1s);
    EXPECT_FALSE(absent.swapped);
    EXPECT_FALSE(absent.current);
}

// Guards against the outcome "not run" for a change that may have taken effect: after a 503 or a timeout the outcome is
// unknown, after a refused connection or a 404 the change was not run.
TEST(PlatformConfigStore, FailuresTellWhetherTheChangeMayHaveTakenEffect)
{
    PlatformConfigStore closed(loopback(ClosedPort));
    const core::Error refused = errorOf(closed, 1s);
    EXPECT_EQ(refused.code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(refused.outcome, core::Outcome::NotRun);

    StoreGateway gateway;
    PlatformConfigStore store(loopback(GatewayPort));
    gateway.status = 503;
    EXPECT_EQ(errorOf(store, 1s).outcome, core::Outcome::Unknown);
    gateway.status = 404;
    EXPECT_EQ(errorOf(store, 1s).outcome, core::Outcome::NotRun);
    gateway.status = 200;
    gateway.delay = 300ms;
    const core::Error slow = errorOf(store, 50ms);
    EXPECT_EQ(slow.code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(slow.outcome, core::Outcome::Unknown);
}

// Guards against an unreachable daemon that prevents the status of the other daemons from being reported.
TEST(HttpDaemonPoller, ReportsEveryDaemonInOrder)
{
    StoreGateway gateway;
    HttpDaemonPoller poller({loopback(ClosedPort), loopback(GatewayPort)});
    const std::vector<DaemonStatus> statuses = poller.poll(1s);
    ASSERT_EQ(statuses.size(), 2U);
    EXPECT_FALSE(statuses[0].reachable);
    EXPECT_FALSE(statuses[0].error.empty());
    EXPECT_TRUE(statuses[1].reachable);
    EXPECT_EQ(statuses[1].daemon, "vm-1");
    EXPECT_EQ(statuses[1].dataCentre, "Oviedo");
    EXPECT_EQ(statuses[1].revision, 42);
}

}
