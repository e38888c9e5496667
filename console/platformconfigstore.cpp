#include "console/platformconfigstore.h"

#include "core/error.h"
#include "store/storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>

namespace endiveshore::console {

namespace {

/// Blocks until @p call, a member function of store::StoreClient, completes, and returns its result.
template<typename Result, typename... Parameters, typename... Arguments>
Result runCall(const net::TcpEndpoint &endpoint,
               core::Duration timeout,
               net::awaitable<Result> (store::StoreClient::*call)(Parameters...),
               Arguments... arguments)
{
    net::asio::io_context context;
    store::StoreClientOptions options{.endpoints = {endpoint}};
    options.connectTimeout = std::min(options.connectTimeout, timeout);
    options.callTimeout = timeout;
    store::StoreClient client(context.get_executor(), std::move(options));
    std::exception_ptr failure;
    Result result;
    net::asio::co_spawn(
        context, (client.*call)(std::move(arguments)...), [&](std::exception_ptr thrown, Result returned) {
            failure = thrown;
            result = std::move(returned);
        });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

StoredValue toValue(store::StoreEntry entry)
{
    return {.key = std::move(entry.key), .value = std::move(entry.value), .revision = entry.version};
}

SwapResult toSwapResult(std::string_view key, store::SwapResult result)
{
    SwapResult converted{.swapped = result.swapped, .revision = result.swapped ? result.version : 0};
    if (!result.swapped && result.version != 0) {
        converted.current
            = StoredValue{.key = std::string(key), .value = std::move(result.currentValue), .revision = result.version};
    }
    return converted;
}

}

PlatformConfigStore::PlatformConfigStore(net::TcpEndpoint endpoint)
    : endpoint(std::move(endpoint))
{
}

std::optional<StoredValue> PlatformConfigStore::get(std::string_view key, core::Duration timeout)
{
    std::optional<store::StoreEntry> entry
        = runCall(this->endpoint, timeout, &store::StoreClient::get, std::string(key));
    return entry ? std::optional<StoredValue>(toValue(std::move(*entry))) : std::nullopt;
}

RangeResult PlatformConfigStore::range(std::string_view prefix, core::Duration timeout)
{
    store::StoreSnapshot snapshot
        = runCall(this->endpoint, timeout, &store::StoreClient::range, std::string(prefix), store::RangeOptions());
    RangeResult result{.revision = snapshot.revision};
    for (store::StoreEntry &entry : snapshot.entries) {
        result.values.push_back(toValue(std::move(entry)));
    }
    return result;
}

SwapResult PlatformConfigStore::compareAndSwap(std::string_view key,
                                               std::int64_t base,
                                               std::string_view value,
                                               core::Duration timeout)
{
    return toSwapResult(
        key,
        runCall(
            this->endpoint, timeout, &store::StoreClient::compareAndSwap, std::string(key), base, std::string(value)));
}

SwapResult PlatformConfigStore::remove(std::string_view key, std::int64_t base, core::Duration timeout)
{
    return toSwapResult(key, runCall(this->endpoint, timeout, &store::StoreClient::remove, std::string(key), base));
}

std::int64_t PlatformConfigStore::removalRevision(std::string_view key, std::int64_t after, core::Duration timeout)
{
    std::int64_t revision = 0;
    store::WatchOptions options{.prefix = std::string(key), .fromRevision = after + 1, .inactivityTimeout = timeout};
    store::WatchCallback onEvents = [&revision, key](const std::vector<store::StoreEvent> &events, std::int64_t) {
        for (const store::StoreEvent &event : events) {
            if (event.deleted && event.key == key && revision == 0) {
                revision = event.version;
            }
        }
        // The watch calls back without events once all changes up to the store's current revision are delivered.
        return revision == 0 && !events.empty();
    };
    runCall(this->endpoint, timeout, &store::StoreClient::watch, std::move(options), std::move(onEvents));
    if (revision == 0) {
        core::Error error(core::ResultCode::StoreUnavailable, "store: no removal found in the history of a key");
        error.outcome = core::Outcome::NotRun;
        throw error;
    }
    return revision;
}

}
