#include "store/storemessages.h"

#include "core/hashing.h"
#include "core/json.h"

#include <charconv>

namespace endiveshore::store {

namespace json = boost::json;

namespace {

json::object conditionalTransaction(std::string_view key, std::int64_t expectedVersion, json::object success)
{
    const std::string encodedKey = core::base64Encode(key);
    json::object compare{
        {"key", encodedKey}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expectedVersion)}};
    json::object read{{"request_range", json::object{{"key", encodedKey}}}};
    return {{"compare", json::array{std::move(compare)}},
            {"success", json::array{std::move(success)}},
            {"failure", json::array{std::move(read)}}};
}

StoreEntry parseEntry(const json::object &object)
{
    return {.key = core::base64Decode(core::jsonString(object, "key")),
            .value = core::base64Decode(core::jsonString(object, "value")),
            .version = messageInteger(object, "mod_revision")};
}

}

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty()) {
        if (static_cast<unsigned char>(end.back()) != 0xff) {
            ++end.back();
            return end;
        }
        end.pop_back();
    }
    // etcd reads a range end of one zero byte as "all keys from the start of the range on".
    return std::string(1, '\0');
}

json::object rangeMessage(std::string_view prefix, std::string_view from, const RangeOptions &options)
{
    // Without sort options etcd returns entries in ascending order of their keys.
    json::object message{{"key", core::base64Encode(from)},
                         {"range_end", core::base64Encode(prefixEnd(prefix))},
                         {"limit", std::to_string(options.pageSize)}};
    if (options.revision != 0) {
        message["revision"] = std::to_string(options.revision);
    }
    return message;
}

json::object getMessage(std::string_view key)
{
    return {{"key", core::base64Encode(key)}};
}

json::object swapMessage(std::string_view key, std::int64_t expectedVersion, std::string_view value)
{
    json::object put{{"key", core::base64Encode(key)}, {"value", core::base64Encode(value)}};
    return conditionalTransaction(key, expectedVersion, {{"request_put", std::move(put)}});
}

json::object removeMessage(std::string_view key, std::int64_t expectedVersion)
{
    json::object deletion{{"key", core::base64Encode(key)}};
    return conditionalTransaction(key, expectedVersion, {{"request_delete_range", std::move(deletion)}});
}

json::object watchMessage(const WatchOptions &options)
{
    json::object request{{"key", core::base64Encode(options.prefix)},
                         {"range_end", core::base64Encode(prefixEnd(options.prefix))},
                         {"start_revision", std::to_string(options.fromRevision)},
                         {"progress_notify", true}};
    return {{"create_request", std::move(request)}};
}

std::int64_t messageInteger(const json::object &object, std::string_view name)
{
    const std::string text = core::jsonString(object, name);
    if (text.empty()) {
        return core::jsonInteger(object, name);
    }
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? number : 0;
}

std::int64_t messageRevision(const json::object &response)
{
    const json::object *header = core::jsonObject(response, "header");
    return header != nullptr ? messageInteger(*header, "revision") : 0;
}

std::vector<StoreEntry> messageEntries(const json::object &response)
{
    std::vector<StoreEntry> entries;
    const json::array *items = core::jsonArray(response, "kvs");
    if (items == nullptr) {
        return entries;
    }
    for (const json::value &item : *items) {
        if (item.is_object()) {
            entries.push_back(parseEntry(item.as_object()));
        }
    }
    return entries;
}

SwapResult swapResult(const json::object &response)
{
    if (core::jsonBool(response, "succeeded")) {
        return {.swapped = true, .version = messageRevision(response), .currentValue = {}};
    }
    SwapResult result;
    const json::array *responses = core::jsonArray(response, "responses");
    if (responses == nullptr || responses->empty() || !responses->front().is_object()) {
        return result;
    }
    const json::object *range = core::jsonObject(responses->front().as_object(), "response_range");
    if (range == nullptr) {
        return result;
    }
    const std::vector<StoreEntry> found = messageEntries(*range);
    if (!found.empty()) {
        result.version = found.front().version;
        result.currentValue = found.front().value;
    }
    return result;
}

std::vector<StoreEvent> messageEvents(const json::object &result)
{
    std::vector<StoreEvent> events;
    const json::array *items = core::jsonArray(result, "events");
    if (items == nullptr) {
        return events;
    }
    for (const json::value &item : *items) {
        const json::object *event = item.if_object();
        const json::object *entry = event != nullptr ? core::jsonObject(*event, "kv") : nullptr;
        if (entry == nullptr) {
            continue;
        }
        const StoreEntry decoded = parseEntry(*entry);
        events.push_back({.key = decoded.key,
                          .value = decoded.value,
                          .version = decoded.version,
                          .deleted = core::jsonString(*event, "type") == "DELETE"});
    }
    return events;
}

}
