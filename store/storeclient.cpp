#include "store/storeclient.h"

#include "core/error.h"
#include "core/json.h"
#include "net/httpclient.h"
#include "net/httpstreamclient.h"
#include "store/storemessages.h"

#include <algorithm>

namespace endiveshore::store {

namespace json = boost::json;

namespace {

// A middlebox or the store may have dropped a connection that was idle for longer than this. A change sent over such a
// connection would end with an unknown outcome, so changes open a new connection instead.
constexpr std::chrono::seconds MaxIdleForChange{5};

constexpr int HttpOk = 200;
constexpr int FirstServerErrorStatus = 500;

enum class CallKind {
    Read,
    Change,
};

[[noreturn]] void throwUnavailable(core::Outcome outcome, const std::string &reason)
{
    core::Error error(core::ResultCode::StoreUnavailable, "store: " + reason);
    error.outcome = outcome;
    throw error;
}

struct WatchLine
{
    WatchEndReason end = WatchEndReason::Refused;
    bool valid = false; ///< If false, the watch ends with the reason `end`.
    bool report = true;
    std::vector<StoreEvent> events;
    std::int64_t revision = 0;
};

WatchLine readWatchLine(const std::string &line, std::int64_t fromRevision)
{
    WatchLine read;
    const boost::leaf::result<json::object> message = core::parseJsonObject(line);
    const json::object *result = message ? core::jsonObject(message.value(), "result") : nullptr;
    if (result == nullptr) {
        return read;
    }
    if (core::jsonBool(*result, "canceled")) {
        read.end
            = messageInteger(*result, "compact_revision") > 0 ? WatchEndReason::Compacted : WatchEndReason::Refused;
        return read;
    }
    read.valid = true;
    read.revision = messageRevision(*result);
    if (core::jsonBool(*result, "created")) {
        // Changes from fromRevision up to the header's revision may not have been sent yet.
        read.report = read.revision < fromRevision;
        return read;
    }
    read.events = messageEvents(*result);
    if (!read.events.empty()) {
        // The header may already show a later revision whose events follow in the next message.
        read.revision = 0;
        for (const StoreEvent &event : read.events) {
            read.revision = std::max(read.revision, event.version);
        }
    }
    return read;
}

}

struct StoreClient::Impl
{
    Impl(const net::Executor &executor, StoreClientOptions options)
        : executor(executor)
        , options(std::move(options))
    {
    }

    const net::TcpEndpoint &endpoint() const
    {
        return this->options.endpoints[this->endpointIndex % this->options.endpoints.size()];
    }

    std::unique_ptr<net::HttpClientConnection> takeIdle(CallKind kind)
    {
        if (kind == CallKind::Change && core::Clock::now() - this->idleSince > MaxIdleForChange) {
            this->idle.reset();
        }
        return std::exchange(this->idle, nullptr);
    }

    void keepIdle(std::unique_ptr<net::HttpClientConnection> connection)
    {
        if (connection->isOpen()) {
            this->idle = std::move(connection);
            this->idleSince = core::Clock::now();
        }
    }

    net::Executor executor;
    StoreClientOptions options;
    std::size_t endpointIndex = 0;
    std::unique_ptr<net::HttpClientConnection> idle;
    core::TimePoint idleSince;
    std::uint64_t calls = 0;
};

namespace {

// Sends one request. If a connection cannot be opened, the next endpoint is tried. A request that was sent is retried
// only if it is a read and the deadline has not passed.
template<typename Impl>
net::awaitable<json::object> callStore(std::shared_ptr<Impl> impl, std::string target, json::object body, CallKind kind)
{
    const core::TimePoint deadline = core::Clock::now() + impl->options.callTimeout;
    const std::size_t attempts = impl->options.endpoints.size() + 1;
    std::string reason = "the deadline passed before the first attempt";
    for (std::size_t attempt = 0; attempt < attempts && core::Clock::now() < deadline; ++attempt) {
        std::unique_ptr<net::HttpClientConnection> connection = impl->takeIdle(kind);
        net::HttpResponse response;
        bool failed = false;
        bool mayHaveRun = false;
        try {
            if (!connection) {
                connection = std::make_unique<net::HttpClientConnection>(impl->executor);
                const core::Duration left = deadline - core::Clock::now();
                co_await connection->connect(impl->endpoint(), std::min(impl->options.connectTimeout, left));
            }
            ++impl->calls;
            net::HttpRequest request = net::jsonRequest(target, body);
            response = co_await connection->exchange(std::move(request), deadline - core::Clock::now());
        } catch (const core::Error &error) {
            reason = error.message;
            failed = true;
            mayHaveRun = error.outcome != core::Outcome::NotRun;
        }
        if (failed) {
            ++impl->endpointIndex;
            if (mayHaveRun && kind == CallKind::Change) {
                throwUnavailable(core::Outcome::Unknown, reason);
            }
            continue;
        }
        impl->keepIdle(std::move(connection));
        boost::leaf::result<json::object> parsed = core::parseJsonObject(response.body);
        if (response.status == HttpOk && parsed) {
            co_return std::move(parsed.value());
        }
        reason = "status " + std::to_string(response.status) + ": "
            + (parsed ? core::jsonString(parsed.value(), "message") : "the response is not JSON");
        if (response.status != HttpOk && response.status < FirstServerErrorStatus) {
            throwUnavailable(core::Outcome::NotRun, reason);
        }
        ++impl->endpointIndex;
        impl->idle.reset();
        if (kind == CallKind::Change) {
            // After a server error, such as a timeout in the store, the change may or may not have been applied.
            throwUnavailable(core::Outcome::Unknown, reason);
        }
    }
    throwUnavailable(core::Outcome::NotRun, reason);
}

}

StoreClient::StoreClient(const net::Executor &executor, StoreClientOptions options)
    : impl(std::make_shared<Impl>(executor, std::move(options)))
{
    if (this->impl->options.endpoints.empty()) {
        throw core::Error(core::ResultCode::InvalidSetting, "the store client needs at least one address");
    }
}

StoreClient::~StoreClient() = default;

net::awaitable<StoreSnapshot> StoreClient::range(std::string prefix, RangeOptions options)
{
    const std::shared_ptr<Impl> state = this->impl;
    StoreSnapshot snapshot{.entries = {}, .revision = options.revision};
    std::string from = prefix;
    while (true) {
        json::object body = rangeMessage(prefix, from, options);
        const json::object response = co_await callStore(state, "/v3/kv/range", std::move(body), CallKind::Read);
        if (options.revision == 0) {
            // Later pages are read at the revision of the first page, so that the snapshot is consistent.
            options.revision = messageRevision(response);
            snapshot.revision = options.revision;
        }
        std::vector<StoreEntry> page = messageEntries(response);
        if (page.empty()) {
            co_return snapshot;
        }
        from = page.back().key + '\0';
        std::move(page.begin(), page.end(), std::back_inserter(snapshot.entries));
        if (!core::jsonBool(response, "more")) {
            co_return snapshot;
        }
    }
}

net::awaitable<std::optional<StoreEntry>> StoreClient::get(std::string key)
{
    json::object body = getMessage(key);
    const json::object response = co_await callStore(this->impl, "/v3/kv/range", std::move(body), CallKind::Read);
    const std::vector<StoreEntry> entries = messageEntries(response);
    co_return entries.empty() ? std::nullopt : std::optional<StoreEntry>(entries.front());
}

net::awaitable<SwapResult> StoreClient::compareAndSwap(std::string key, std::int64_t expectedVersion, std::string value)
{
    json::object body = swapMessage(key, expectedVersion, value);
    const json::object response = co_await callStore(this->impl, "/v3/kv/txn", std::move(body), CallKind::Change);
    co_return swapResult(response);
}

net::awaitable<SwapResult> StoreClient::remove(std::string key, std::int64_t expectedVersion)
{
    json::object body = removeMessage(key, expectedVersion);
    const json::object response = co_await callStore(this->impl, "/v3/kv/txn", std::move(body), CallKind::Change);
    co_return swapResult(response);
}

net::awaitable<WatchEndReason> StoreClient::watch(WatchOptions options, WatchCallback callback)
{
    const std::shared_ptr<Impl> state = this->impl;
    net::HttpStreamConnection connection(state->executor);
    net::HttpRequest request = net::jsonRequest("/v3/watch", watchMessage(options));
    // With this header, a store member that has lost its leader ends the watch instead of confirming outdated state.
    request.headers.emplace_back("Grpc-Metadata-hasleader", "true");
    core::TimePoint waitingSince = core::Clock::now();
    try {
        ++state->calls;
        const int status = co_await connection.open(state->endpoint(), std::move(request), options.inactivityTimeout);
        if (status != HttpOk) {
            ++state->endpointIndex;
            co_return WatchEndReason::Refused;
        }
        while (true) {
            waitingSince = core::Clock::now();
            const std::optional<std::string> line = co_await connection.nextLine(options.inactivityTimeout);
            if (!line) {
                break;
            }
            const WatchLine read = readWatchLine(*line, options.fromRevision);
            if (!read.valid) {
                co_return read.end;
            }
            if (read.report && !callback(read.events, read.revision)) {
                co_return WatchEndReason::Stopped;
            }
        }
    } catch (const core::Error &) {
        // Timeouts and lost connections are told apart below by the elapsed time.
    }
    ++state->endpointIndex;
    const bool timedOut = core::Clock::now() - waitingSince >= options.inactivityTimeout;
    co_return timedOut ? WatchEndReason::TimedOut : WatchEndReason::ConnectionLost;
}

std::uint64_t StoreClient::callCount() const
{
    return this->impl->calls;
}

}
