#include "confsync/deltamessage.h"

#include "core/hashing.h"
#include "core/json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace endiveshore::confsync {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::array<std::pair<DeltaKind, std::string_view>, 3> KindNames{{
    {DeltaKind::Changes, "changes"},
    {DeltaKind::Full, "full"},
    {DeltaKind::Same, "same"},
}};

std::string_view kindName(DeltaKind kind)
{
    return std::find_if(KindNames.begin(), KindNames.end(), [kind](const auto &item) { return item.first == kind; })
        ->second;
}

std::string digestText(std::uint64_t digest)
{
    std::array<char, 16> text{};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), digest, 16);
    return std::string(text.data(), written.ptr);
}

std::optional<std::uint64_t> digestOf(const json::object &message)
{
    const std::string text = core::jsonString(message, "digest");
    std::uint64_t digest = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), digest, 16);
    const bool valid = !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return valid ? std::optional(digest) : std::nullopt;
}

bool isUtf8(std::string_view text)
{
    // Uses the parser of the receiver, so that both sides agree on what is valid.
    json::error_code parseError;
    const json::value parsed = json::parse(json::serialize(json::string(text.data(), text.size())), parseError);
    return !parseError && parsed.is_string();
}

leaf::error_id malformed(std::string path, std::string message)
{
    return leaf::new_error(core::Failure{
        .code = core::ResultCode::MalformedRequest, .message = std::move(message), .path = std::move(path)});
}

leaf::result<EntryChange> changeFromJson(const json::value &item, const std::string &path, const Delta &delta)
{
    const json::object *object = item.if_object();
    if (object == nullptr) {
        return malformed(path, "an object is required");
    }
    EntryChange change{.key = core::jsonString(*object, "key"),
                       .value = {},
                       .version = core::jsonInteger(*object, "version"),
                       .deleted = core::jsonBool(*object, "deleted")};
    if (change.key.empty()) {
        return malformed(path + ".key", "a key is required");
    }
    if (change.version < 1 || change.version > delta.revision) {
        return malformed(path + ".version", "a version from 1 to the revision of the delta is required");
    }
    if (change.deleted) {
        if (delta.kind != DeltaKind::Changes) {
            return malformed(path + ".deleted", "a full delta holds only live entries");
        }
        return change;
    }
    if (object->contains("value_base64")) {
        const std::string text = core::jsonString(*object, "value_base64");
        change.value = core::base64Decode(text);
        if (change.value.empty()) {
            return malformed(path + ".value_base64", "a non-empty base64 string is required");
        }
        return change;
    }
    const json::value *value = object->if_contains("value");
    if (value == nullptr || !value->is_string()) {
        return malformed(path + ".value", "a string is required");
    }
    change.value.assign(value->as_string().data(), value->as_string().size());
    return change;
}

}

json::object deltaToJson(const Delta &delta)
{
    json::array entries;
    entries.reserve(delta.entries.size());
    for (const EntryChange &change : delta.entries) {
        json::object entry{{"key", change.key}, {"version", change.version}};
        if (change.deleted) {
            entry["deleted"] = true;
        } else if (isUtf8(change.value)) {
            entry["value"] = change.value;
        } else {
            entry["value_base64"] = core::base64Encode(change.value);
        }
        entries.push_back(std::move(entry));
    }
    json::object message{{"kind", kindName(delta.kind)},
                         {"since", delta.since},
                         {"revision", delta.revision},
                         {"entries", std::move(entries)}};
    if (delta.kind == DeltaKind::Same) {
        message["digest"] = digestText(delta.digest);
    }
    if (delta.kind == DeltaKind::Full) {
        message["unchanged"] = json::array(delta.unchangedKeys.begin(), delta.unchangedKeys.end());
    }
    return message;
}

leaf::result<Delta> deltaFromJson(const json::object &message)
{
    Delta delta{.since = core::jsonInteger(message, "since", -1),
                .revision = core::jsonInteger(message, "revision", -1)};
    const std::string kind = core::jsonString(message, "kind");
    const auto known
        = std::find_if(KindNames.begin(), KindNames.end(), [&kind](const auto &item) { return item.second == kind; });
    if (known == KindNames.end()) {
        return malformed("kind", "changes, full or same is required");
    }
    delta.kind = known->first;
    const json::array *items = core::jsonArray(message, "entries");
    if (delta.since < 0) {
        return malformed("since", "a revision is required");
    }
    if (delta.revision < 0) {
        return malformed("revision", "a revision is required");
    }
    if (items == nullptr) {
        return malformed("entries", "an array is required");
    }
    if (delta.kind == DeltaKind::Same) {
        const std::optional<std::uint64_t> digest = digestOf(message);
        if (!digest) {
            return malformed("digest", "a hexadecimal digest is required");
        }
        delta.digest = *digest;
    }
    if (delta.kind == DeltaKind::Full) {
        const json::array *unchanged = core::jsonArray(message, "unchanged");
        if (unchanged == nullptr) {
            return malformed("unchanged", "an array is required");
        }
        for (const json::value &key : *unchanged) {
            if (!key.is_string()) {
                return malformed("unchanged", "only strings are allowed");
            }
            delta.unchangedKeys.emplace_back(key.as_string().data(), key.as_string().size());
        }
    }
    delta.entries.reserve(items->size());
    for (std::size_t index = 0; index < items->size(); ++index) {
        const std::string path = "entries[" + std::to_string(index) + "]";
        BOOST_LEAF_AUTO(change, changeFromJson((*items)[index], path, delta));
        delta.entries.push_back(std::move(change));
    }
    return delta;
}

json::object deltaRequest(const EntryStore &store)
{
    return {{"since", store.revision()}, {"digest", digestText(store.digest())}};
}

leaf::result<json::object> answerDeltaRequest(const EntryStore &store, const json::object &request)
{
    const std::int64_t since = core::jsonInteger(request, "since", -1);
    if (since < 0) {
        return malformed("since", "a revision is required");
    }
    return deltaToJson(store.delta(since, digestOf(request)));
}

}
