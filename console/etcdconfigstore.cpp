#include "console/etcdconfigstore.h"

#include "console/blockinghttp.h"
#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"

#include <boost/json.hpp>

namespace endiveshore::console {

namespace json = boost::json;

namespace {

constexpr int HttpOk = 200;
constexpr int FirstServerError = 500;

/// The gateway writes 64-bit integers as text and leaves out zeros.
std::int64_t integerMember(const json::object &object, std::string_view name)
{
    const std::string text = core::jsonString(object, name);
    return text.empty() ? core::jsonInteger(object, name) : std::strtoll(text.c_str(), nullptr, 10);
}

json::object parseAnswer(std::string_view body)
{
    json::error_code parseError;
    json::value value = json::parse({body.data(), body.size()}, parseError);
    if (parseError || !value.is_object()) {
        // The call may have taken effect although its answer is damaged.
        throw core::Error(core::ResultCode::StoreUnavailable, "the store's answer is not a JSON object");
    }
    return std::move(value.as_object());
}

std::int64_t headerRevision(const json::object &answer)
{
    const json::object *header = core::jsonObject(answer, "header");
    return header == nullptr ? 0 : integerMember(*header, "revision");
}

std::vector<StoredValue> parseValues(const json::object &answer)
{
    std::vector<StoredValue> values;
    const json::array *entries = core::jsonArray(answer, "kvs");
    if (entries == nullptr) {
        return values;
    }
    for (const json::value &entry : *entries) {
        if (!entry.is_object()) {
            continue;
        }
        const json::object &object = entry.get_object();
        values.push_back({.key = core::base64Decode(core::jsonString(object, "key")),
                          .value = core::base64Decode(core::jsonString(object, "value")),
                          .revision = integerMember(object, "mod_revision")});
    }
    return values;
}

/// Smallest key after all keys with @p prefix.
std::string rangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

}

EtcdConfigStore::EtcdConfigStore(net::TcpEndpoint endpoint)
    : endpoint(std::move(endpoint))
{
}

std::string EtcdConfigStore::call(net::HttpRequest request, core::Duration timeout)
{
    const std::vector<HttpResult> results = exchangeWithAll({&this->endpoint, 1}, request, timeout);
    if (const auto *transportError = std::get_if<core::Error>(&results.front())) {
        core::Error error(core::ResultCode::StoreUnavailable, "store: " + transportError->message);
        error.outcome = transportError->outcome;
        throw error;
    }
    const auto &response = std::get<net::HttpResponse>(results.front());
    if (response.status != HttpOk) {
        core::Error error(core::ResultCode::StoreUnavailable,
                          "the store answered with HTTP status " + std::to_string(response.status));
        // After a server error, for example a time-out between the store's members, the change may still take effect.
        error.outcome = response.status >= FirstServerError ? core::Outcome::Unknown : core::Outcome::NotRun;
        throw error;
    }
    return response.body;
}

std::optional<StoredValue> EtcdConfigStore::get(std::string_view key, core::Duration timeout)
{
    const json::object request{{"key", core::base64Encode(key)}};
    const json::object answer = parseAnswer(this->call(net::jsonRequest("/v3/kv/range", request), timeout));
    std::vector<StoredValue> values = parseValues(answer);
    if (values.empty()) {
        return std::nullopt;
    }
    return std::move(values.front());
}

RangeResult EtcdConfigStore::range(std::string_view prefix, core::Duration timeout)
{
    const json::object request{{"key", core::base64Encode(prefix)},
                               {"range_end", core::base64Encode(rangeEnd(prefix))}};
    const json::object answer = parseAnswer(this->call(net::jsonRequest("/v3/kv/range", request), timeout));
    return {.values = parseValues(answer), .revision = headerRevision(answer)};
}

SwapResult EtcdConfigStore::transact(std::string_view key,
                                     std::int64_t base,
                                     std::string_view operationJson,
                                     core::Duration timeout)
{
    const std::string encodedKey = core::base64Encode(key);
    const json::value operation = json::parse({operationJson.data(), operationJson.size()});
    // A key that does not exist has the modification revision 0.
    const json::object compare{
        {"key", encodedKey}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(base)}};
    const json::object read{{"request_range", json::object{{"key", encodedKey}}}};
    const json::object request{
        {"compare", json::array{compare}}, {"success", json::array{operation}}, {"failure", json::array{read}}};
    const json::object answer = parseAnswer(this->call(net::jsonRequest("/v3/kv/txn", request), timeout));
    SwapResult result{.swapped = core::jsonBool(answer, "succeeded"), .revision = headerRevision(answer)};
    const json::array *responses = core::jsonArray(answer, "responses");
    if (result.swapped || responses == nullptr || responses->empty() || !responses->front().is_object()) {
        return result;
    }
    const json::object *range = core::jsonObject(responses->front().get_object(), "response_range");
    if (range == nullptr) {
        return result;
    }
    std::vector<StoredValue> values = parseValues(*range);
    if (!values.empty()) {
        result.current = std::move(values.front());
    }
    return result;
}

SwapResult
EtcdConfigStore::compareAndSwap(std::string_view key, std::int64_t base, std::string_view value, core::Duration timeout)
{
    const json::object put{{"key", core::base64Encode(key)}, {"value", core::base64Encode(value)}};
    return this->transact(key, base, json::serialize(json::object{{"request_put", put}}), timeout);
}

SwapResult EtcdConfigStore::remove(std::string_view key, std::int64_t base, core::Duration timeout)
{
    const json::object removal{{"key", core::base64Encode(key)}};
    return this->transact(key, base, json::serialize(json::object{{"request_delete_range", removal}}), timeout);
}

}
