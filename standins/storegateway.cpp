#include "standins/storegateway.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"

#include <array>

namespace endiveshore::standins {

namespace json = boost::json;

namespace {

[[noreturn]] void throwMalformedRequest(std::string message)
{
    throw core::Error(core::ResultCode::MalformedRequest, std::move(message));
}

std::string base64Member(const json::object &object, std::string_view name)
{
    const std::string text = core::jsonString(object, name);
    std::string bytes = core::base64Decode(text);
    if (bytes.empty() && !text.empty()) {
        throwMalformedRequest("invalid base64 in " + std::string(name));
    }
    return bytes;
}

// etcd's gateway accepts a member under its protobuf name or under the camel-case form of that name.
const json::object *objectByEitherName(const json::object &object, std::string_view name, std::string_view camelName)
{
    const json::object *found = core::jsonObject(object, name);
    return found != nullptr ? found : core::jsonObject(object, camelName);
}

KeyRange parseKeyRange(const json::object &body)
{
    KeyRange range{.key = base64Member(body, "key"), .end = base64Member(body, "range_end")};
    if (range.key.empty()) {
        throwMalformedRequest("etcdserver: key is not provided");
    }
    return range;
}

template<typename Value, std::size_t Size>
Value enumMember(const json::object &object,
                 std::string_view name,
                 const std::array<std::pair<std::string_view, Value>, Size> &names,
                 Value fallback)
{
    const std::string text = core::jsonString(object, name);
    if (text.empty()) {
        return fallback;
    }
    for (const auto &[label, value] : names) {
        if (label == text) {
            return value;
        }
    }
    throwMalformedRequest("unknown value of " + std::string(name) + ": " + text);
}

constexpr std::array<std::pair<std::string_view, CompareTarget>, 4> TargetNames{{
    {"VERSION", CompareTarget::Version},
    {"CREATE", CompareTarget::Create},
    {"MOD", CompareTarget::Mod},
    {"VALUE", CompareTarget::Value},
}};

constexpr std::array<std::pair<std::string_view, CompareResult>, 4> ResultNames{{
    {"EQUAL", CompareResult::Equal},
    {"GREATER", CompareResult::Greater},
    {"LESS", CompareResult::Less},
    {"NOT_EQUAL", CompareResult::NotEqual},
}};

Compare parseCompare(const json::object &object)
{
    Compare compare{
        .key = base64Member(object, "key"),
        .target = enumMember(object, "target", TargetNames, CompareTarget::Version),
        .result = enumMember(object, "result", ResultNames, CompareResult::Equal),
    };
    switch (compare.target) {
    case CompareTarget::Version:
        compare.number = gatewayInteger(object, "version");
        break;
    case CompareTarget::Create:
        compare.number = gatewayInteger(object, "create_revision");
        break;
    case CompareTarget::Mod:
        compare.number = gatewayInteger(object, "mod_revision");
        break;
    case CompareTarget::Value:
        compare.value = base64Member(object, "value");
        break;
    }
    return compare;
}

std::vector<Operation> parseOperations(const json::object &body, std::string_view name)
{
    std::vector<Operation> operations;
    const json::array *items = core::jsonArray(body, name);
    if (items == nullptr) {
        return operations;
    }
    for (const json::value &item : *items) {
        if (!item.is_object()) {
            throwMalformedRequest("an operation must be an object");
        }
        const json::object &object = item.as_object();
        if (const json::object *range = objectByEitherName(object, "request_range", "requestRange")) {
            operations.emplace_back(parseRange(*range));
        } else if (const json::object *put = objectByEitherName(object, "request_put", "requestPut")) {
            operations.emplace_back(parsePut(*put));
        } else if (const json::object *deletion
                   = objectByEitherName(object, "request_delete_range", "requestDeleteRange")) {
            operations.emplace_back(parseDelete(*deletion));
        } else {
            throwMalformedRequest("unknown operation in " + std::string(name));
        }
    }
    return operations;
}

void setInteger(json::object &object, std::string_view name, std::int64_t value)
{
    if (value != 0) {
        object[json::string_view(name.data(), name.size())] = std::to_string(value);
    }
}

}

std::int64_t gatewayInteger(const json::object &object, std::string_view name)
{
    const std::string text = core::jsonString(object, name);
    if (text.empty()) {
        return core::jsonInteger(object, name);
    }
    try {
        return std::stoll(text);
    } catch (const std::exception &) {
        throwMalformedRequest("not an integer: " + std::string(name));
    }
}

RangeOperation parseRange(const json::object &body)
{
    return {.range = parseKeyRange(body),
            .limit = gatewayInteger(body, "limit"),
            .revision = gatewayInteger(body, "revision")};
}

PutOperation parsePut(const json::object &body)
{
    const KeyRange range = parseKeyRange(body);
    return {.key = range.key, .value = base64Member(body, "value"), .lease = gatewayInteger(body, "lease")};
}

DeleteOperation parseDelete(const json::object &body)
{
    return {.range = parseKeyRange(body)};
}

Transaction parseTransaction(const json::object &body)
{
    Transaction transaction{
        .compares = {}, .success = parseOperations(body, "success"), .failure = parseOperations(body, "failure")};
    if (const json::array *compares = core::jsonArray(body, "compare")) {
        for (const json::value &item : *compares) {
            if (!item.is_object()) {
                throwMalformedRequest("a comparison must be an object");
            }
            transaction.compares.push_back(parseCompare(item.as_object()));
        }
    }
    return transaction;
}

WatchRequest parseWatch(const json::object &body)
{
    const json::object *request = objectByEitherName(body, "create_request", "createRequest");
    if (request == nullptr) {
        throwMalformedRequest("only create_request is supported");
    }
    return {.range = parseKeyRange(*request),
            .startRevision = gatewayInteger(*request, "start_revision"),
            .progressNotify = core::jsonBool(*request, "progress_notify")};
}

json::object headerJson(std::int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

json::object keyJson(const KeyRevision &entry)
{
    json::object object{{"key", core::base64Encode(entry.key)}};
    setInteger(object, "create_revision", entry.createRevision);
    setInteger(object, "mod_revision", entry.modRevision);
    setInteger(object, "version", entry.version);
    setInteger(object, "lease", entry.lease);
    if (!entry.value.empty()) {
        object["value"] = core::base64Encode(entry.value);
    }
    return object;
}

json::object rangeJson(const RangeResult &result, std::int64_t revision)
{
    json::object object{{"header", headerJson(revision)}};
    if (!result.entries.empty()) {
        json::array entries;
        for (const KeyRevision &entry : result.entries) {
            entries.push_back(keyJson(entry));
        }
        object["kvs"] = std::move(entries);
    }
    if (static_cast<std::int64_t>(result.entries.size()) < result.count) {
        object["more"] = true;
    }
    setInteger(object, "count", result.count);
    return object;
}

json::object putJson(std::int64_t revision)
{
    return {{"header", headerJson(revision)}};
}

json::object deleteJson(const OperationResult &result, std::int64_t revision)
{
    json::object object{{"header", headerJson(revision)}};
    setInteger(object, "deleted", result.deleted);
    return object;
}

json::object transactionJson(bool succeeded,
                             const std::vector<Operation> &operations,
                             const std::vector<OperationResult> &results,
                             std::int64_t revision)
{
    json::array responses;
    for (std::size_t index = 0; index < operations.size(); ++index) {
        json::object response;
        if (std::holds_alternative<RangeOperation>(operations[index])) {
            response["response_range"] = rangeJson(results[index].range, revision);
        } else if (std::holds_alternative<PutOperation>(operations[index])) {
            response["response_put"] = putJson(revision);
        } else {
            response["response_delete_range"] = deleteJson(results[index], revision);
        }
        responses.push_back(std::move(response));
    }
    json::object object{{"header", headerJson(revision)}};
    if (succeeded) {
        object["succeeded"] = true;
    }
    if (!responses.empty()) {
        object["responses"] = std::move(responses);
    }
    return object;
}

json::object eventJson(const KeyRevision &entry)
{
    json::object event;
    if (entry.deleted()) {
        event["type"] = "DELETE";
    }
    event["kv"] = keyJson(entry);
    return event;
}

}
