#include "standins/storestandin.h"

#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxValueBytes = 1024 * 1024;
// Above MaxValueBytes, because a transaction may carry several values in base64.
constexpr std::size_t MaxRequestBytes = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds LeaseCheckInterval{50};

// gRPC status codes that etcd's gateway puts into its error responses.
constexpr int GrpcInvalidArgument = 3;
constexpr int GrpcNotFound = 5;
constexpr int GrpcOutOfRange = 11;

net::HttpResponse gatewayError(int status, int code, std::string_view message)
{
    return net::jsonResponse(status, {{"error", message}, {"code", code}, {"message", message}});
}

net::HttpResponse compactedError()
{
    return gatewayError(400, GrpcOutOfRange, "etcdserver: mvcc: required revision has been compacted");
}

std::string streamLine(json::object result)
{
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

bool containsChange(const std::vector<Operation> &operations)
{
    for (const Operation &operation : operations) {
        if (!std::holds_alternative<RangeOperation>(operation)) {
            return true;
        }
    }
    return false;
}

}

struct StoreStandin::Route
{
    std::string_view path;
    Call call;
    std::uint64_t StoreCalls::*counter; ///< Null for the stand-in's own paths, which no fault affects.
};

StoreStandin::StoreStandin(const net::Executor &executor, StoreStandinOptions options)
    : executor(executor)
    , options(options)
{
}

void StoreStandin::listen(const net::TcpEndpoint &endpoint)
{
    const std::shared_ptr<StoreStandin> self = this->shared_from_this();
    net::HttpServerOptions serverOptions;
    serverOptions.maxBodyBytes = MaxRequestBytes;
    this->server = std::make_shared<net::HttpServer>(
        [self](net::HttpRequest request, net::HttpConnection &) { return self->handle(std::move(request)); },
        serverOptions);
    this->server->listen(this->executor, endpoint);
    asio::co_spawn(
        this->executor, [self]() -> net::awaitable<void> { co_await self->expireLeases(); }, asio::detached);
}

void StoreStandin::stop()
{
    this->stopped = true;
    if (this->server) {
        this->server->stop();
        // The server and this object own each other through the handler; the reset breaks the cycle, which would leak
        // both.
        this->server.reset();
    }
    this->notifyWatches();
}

RevisionStore &StoreStandin::data()
{
    return this->store;
}

const StoreCalls &StoreStandin::calls() const
{
    return this->counts;
}

const StoreFaults &StoreStandin::faults() const
{
    return this->activeFaults;
}

void StoreStandin::setFaults(const StoreFaults &faults)
{
    this->activeFaults = faults;
    this->notifyWatches();
}

void StoreStandin::notifyWatches()
{
    for (asio::steady_timer *wakeTimer : this->wakeTimers) {
        wakeTimer->cancel();
    }
}

net::awaitable<net::HttpResponse> StoreStandin::handle(net::HttpRequest request)
{
    static constexpr Route Routes[] = {
        {"/v3/kv/range", &StoreStandin::range, &StoreCalls::reads},
        {"/v3/kv/put", &StoreStandin::put, &StoreCalls::writes},
        {"/v3/kv/deleterange", &StoreStandin::deleteRange, &StoreCalls::writes},
        {"/v3/kv/txn", &StoreStandin::transact, &StoreCalls::writes},
        {"/v3/kv/compaction", &StoreStandin::compact, &StoreCalls::writes},
        {"/v3/lease/grant", &StoreStandin::grantLease, &StoreCalls::writes},
        {"/v3/lease/keepalive", &StoreStandin::keepLeaseAlive, &StoreCalls::writes},
        {"/v3/lease/revoke", &StoreStandin::revokeLease, &StoreCalls::writes},
        {"/v3/watch", &StoreStandin::watch, &StoreCalls::watches},
        {"/standin/control", &StoreStandin::control, nullptr},
        {"/standin/stats", &StoreStandin::stats, nullptr},
    };
    for (const Route &route : Routes) {
        if (route.path != request.target) {
            continue;
        }
        if (route.counter != nullptr) {
            ++(this->counts.*route.counter);
            co_await this->applyFaults();
        }
        json::object body;
        if (!request.body.empty()) {
            boost::leaf::result<json::object> parsed = core::parseJsonObject(request.body);
            if (!parsed) {
                co_return gatewayError(400, GrpcInvalidArgument, "a JSON object is required");
            }
            body = std::move(parsed.value());
        }
        std::string refusal;
        try {
            net::HttpResponse response = co_await (this->*route.call)(std::move(body));
            co_return response;
        } catch (const core::Error &error) {
            refusal = error.message;
        }
        co_return gatewayError(400, GrpcInvalidArgument, refusal);
    }
    co_return gatewayError(404, GrpcNotFound, "Not Found");
}

net::awaitable<void> StoreStandin::waitForWake(core::Duration limit)
{
    asio::steady_timer timer(this->executor, limit);
    this->wakeTimers.insert(&timer);
    // Erases the timer also if the coroutine is cancelled or destroyed while it waits.
    const auto erase = [this](asio::steady_timer *wakeTimer) { this->wakeTimers.erase(wakeTimer); };
    const std::unique_ptr<asio::steady_timer, decltype(erase)> guard(&timer, erase);
    auto waited = co_await timer.async_wait(UseTuple);
    static_cast<void>(waited);
}

net::awaitable<void> StoreStandin::applyFaults()
{
    if (this->activeFaults.delay.count() > 0) {
        asio::steady_timer timer(this->executor, this->activeFaults.delay);
        auto waited = co_await timer.async_wait(UseTuple);
        static_cast<void>(waited);
    }
    while (this->activeFaults.silent && !this->stopped) {
        co_await this->waitForWake(std::chrono::seconds(60));
    }
    if (this->activeFaults.down || this->stopped) {
        throw net::ConnectionAbandoned{};
    }
}

std::vector<OperationResult> StoreStandin::applyChange(const std::vector<Operation> &operations)
{
    this->checkPutOperations(operations);
    std::vector<OperationResult> results = this->store.apply(operations);
    this->notifyWatches();
    if (containsChange(operations)) {
        this->loseAnswerIfFaultActive();
    }
    return results;
}

void StoreStandin::loseAnswerIfFaultActive()
{
    if (this->activeFaults.loseAnswers > 0) {
        --this->activeFaults.loseAnswers;
        throw net::ConnectionAbandoned{};
    }
}

void StoreStandin::checkPutOperations(const std::vector<Operation> &operations) const
{
    for (const Operation &operation : operations) {
        const auto *put = std::get_if<PutOperation>(&operation);
        if (put == nullptr) {
            continue;
        }
        if (put->value.size() > MaxValueBytes) {
            throw core::Error(core::ResultCode::MalformedRequest, "etcdserver: request is too large");
        }
        if (put->lease != 0 && !this->store.hasLease(put->lease)) {
            throw core::Error(core::ResultCode::MalformedRequest, "etcdserver: requested lease not found");
        }
    }
}

net::awaitable<net::HttpResponse> StoreStandin::range(json::object body)
{
    const RangeOperation operation = parseRange(body);
    if (operation.revision != 0 && operation.revision < this->store.compactedRevision()) {
        co_return compactedError();
    }
    if (operation.revision > this->store.revision()) {
        co_return gatewayError(400, GrpcOutOfRange, "etcdserver: mvcc: required revision is a future revision");
    }
    RangeResult result = this->store.range(operation);
    if (core::jsonBool(body, "count_only")) {
        result.entries.clear();
    }
    if (core::jsonBool(body, "keys_only")) {
        for (KeyRevision &entry : result.entries) {
            entry.value.clear();
        }
    }
    co_return net::jsonResponse(200, rangeJson(result, this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::put(json::object body)
{
    this->applyChange({parsePut(body)});
    co_return net::jsonResponse(200, putJson(this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::deleteRange(json::object body)
{
    const std::vector<OperationResult> results = this->applyChange({parseDelete(body)});
    co_return net::jsonResponse(200, deleteJson(results.front(), this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::transact(json::object body)
{
    const Transaction transaction = parseTransaction(body);
    const bool succeeded = this->store.satisfies(transaction.compares);
    const std::vector<Operation> &operations = succeeded ? transaction.success : transaction.failure;
    const std::vector<OperationResult> results = this->applyChange(operations);
    co_return net::jsonResponse(200, transactionJson(succeeded, operations, results, this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::compact(json::object body)
{
    this->store.compact(gatewayInteger(body, "revision"));
    co_return net::jsonResponse(200, putJson(this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::grantLease(json::object body)
{
    const std::chrono::seconds timeToLive(gatewayInteger(body, "TTL"));
    if (timeToLive.count() <= 0) {
        co_return gatewayError(400, GrpcInvalidArgument, "etcdserver: invalid lease TTL");
    }
    const std::int64_t id = this->store.grantLease(gatewayInteger(body, "ID"), timeToLive, core::Clock::now());
    this->loseAnswerIfFaultActive();
    const json::object answer{{"header", headerJson(this->store.revision())},
                              {"ID", std::to_string(id)},
                              {"TTL", std::to_string(timeToLive.count())}};
    co_return net::jsonResponse(200, answer);
}

net::awaitable<net::HttpResponse> StoreStandin::keepLeaseAlive(json::object body)
{
    const std::int64_t id = gatewayInteger(body, "ID");
    const std::optional<core::Milliseconds> timeToLive = this->store.keepLeaseAlive(id, core::Clock::now());
    json::object result{{"header", headerJson(this->store.revision())}, {"ID", std::to_string(id)}};
    // etcd's gateway answers an unknown lease with a time to live of zero, and leaves out members whose value is zero.
    if (timeToLive) {
        result["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(*timeToLive).count());
    }
    const json::object answer{{"result", std::move(result)}};
    co_return net::jsonResponse(200, answer);
}

net::awaitable<net::HttpResponse> StoreStandin::revokeLease(json::object body)
{
    if (!this->store.revokeLease(gatewayInteger(body, "ID"))) {
        co_return gatewayError(404, GrpcNotFound, "etcdserver: requested lease not found");
    }
    this->notifyWatches();
    this->loseAnswerIfFaultActive();
    co_return net::jsonResponse(200, putJson(this->store.revision()));
}

net::awaitable<net::HttpResponse> StoreStandin::watch(json::object body)
{
    const WatchRequest request = parseWatch(body);
    net::HttpResponse response{.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = {}};
    response.stream = [self = this->shared_from_this(), request](net::HttpStreamWriter &writer) {
        return self->streamWatch(request, writer);
    };
    co_return response;
}

net::awaitable<void> StoreStandin::streamWatch(WatchRequest request, net::HttpStreamWriter &writer)
{
    struct OpenWatch
    {
        explicit OpenWatch(std::uint64_t &count)
            : count(count)
        {
            ++this->count;
        }
        ~OpenWatch()
        {
            --this->count;
        }
        std::uint64_t &count;
    };
    const OpenWatch open(this->counts.openWatches);

    json::object created{{"header", headerJson(this->store.revision())}, {"created", true}};
    const std::string createdLine = streamLine(std::move(created));
    const bool createdSent = co_await writer.write(createdLine);
    if (!createdSent) {
        co_return;
    }
    std::int64_t next = request.startRevision > 0 ? request.startRevision : this->store.revision() + 1;
    if (next <= this->store.compactedRevision()) {
        json::object canceled{{"header", headerJson(this->store.revision())},
                              {"canceled", true},
                              {"compact_revision", std::to_string(this->store.compactedRevision())}};
        const std::string canceledLine = streamLine(std::move(canceled));
        co_await writer.write(canceledLine);
        co_return;
    }
    core::TimePoint progressDue = core::Clock::now() + this->options.progressInterval;
    while (!this->stopped) {
        if (this->activeFaults.down) {
            throw std::runtime_error("the store is down");
        }
        const core::TimePoint now = core::Clock::now();
        json::object result{{"header", headerJson(this->store.revision())}};
        bool due = request.progressNotify && now >= progressDue;
        json::array events;
        for (const KeyRevision &entry : this->store.changes(request.range, next)) {
            events.push_back(eventJson(entry));
        }
        if (!events.empty()) {
            result["events"] = std::move(events);
            due = true;
        }
        if (this->activeFaults.silent || !due) {
            const core::Duration left = progressDue > now ? progressDue - now : this->options.progressInterval;
            co_await this->waitForWake(left);
            continue;
        }
        next = std::max(next, this->store.revision() + 1);
        progressDue = now + this->options.progressInterval;
        const std::string line = streamLine(std::move(result));
        const bool sent = co_await writer.write(line);
        if (!sent) {
            co_return;
        }
    }
}

net::awaitable<void> StoreStandin::expireLeases()
{
    asio::steady_timer timer(this->executor);
    while (!this->stopped) {
        timer.expires_after(LeaseCheckInterval);
        auto waited = co_await timer.async_wait(UseTuple);
        static_cast<void>(waited);
        if (this->store.expireLeases(core::Clock::now())) {
            this->notifyWatches();
        }
    }
}

net::awaitable<net::HttpResponse> StoreStandin::control(json::object body)
{
    StoreFaults faults = this->activeFaults;
    faults.down = core::jsonBool(body, "down", faults.down);
    faults.silent = core::jsonBool(body, "silent", faults.silent);
    faults.delay = std::chrono::milliseconds(core::jsonInteger(body, "delay_ms", faults.delay.count()));
    faults.loseAnswers = core::jsonInteger(body, "lose_answers", faults.loseAnswers);
    this->setFaults(faults);
    const json::object answer{{"down", faults.down},
                              {"silent", faults.silent},
                              {"delay_ms", faults.delay.count()},
                              {"lose_answers", faults.loseAnswers}};
    co_return net::jsonResponse(200, answer);
}

net::awaitable<net::HttpResponse> StoreStandin::stats(json::object)
{
    const json::object answer{{"reads", this->counts.reads},
                              {"writes", this->counts.writes},
                              {"watches", this->counts.watches},
                              {"open_watches", this->counts.openWatches},
                              {"calls_total", this->counts.total()},
                              {"revision", this->store.revision()}};
    co_return net::jsonResponse(200, answer);
}

}
