#include "confsync/deltamessage.h"

#include "core/hashing.h"
#include "core/json.h"

#include <boost/json.hpp>

namespace endiveshore::confsync {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

bool isUtf8(std::string_view text)
{
    // The parser of the receiving side decides what is valid.
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
        if (delta.full) {
            return malformed(path + ".deleted", "a full delta holds only live entries");
        }
        return change;
    }
    if (object->contains("value_base64")) {
        const std::string text = core::jsonString(*object, "value_base64");
        change.value = core::base64Decode(text);
        if (change.value.empty()) {
            return malformed(path + ".value_base64", "base64 is required");
        }
        return change;
    }
    const json::value *value = object->if_contains("value");
    if (value == nullptr || !value->is_string()) {
        return malformed(path + ".value", "a text is required");
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
    return {
        {"since", delta.since}, {"revision", delta.revision}, {"full", delta.full}, {"entries", std::move(entries)}};
}

leaf::result<Delta> deltaFromJson(const json::object &message)
{
    Delta delta{.since = core::jsonInteger(message, "since", -1),
                .revision = core::jsonInteger(message, "revision", -1),
                .full = core::jsonBool(message, "full"),
                .entries = {}};
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
    delta.entries.reserve(items->size());
    for (std::size_t index = 0; index < items->size(); ++index) {
        const std::string path = "entries[" + std::to_string(index) + "]";
        BOOST_LEAF_AUTO(change, changeFromJson((*items)[index], path, delta));
        delta.entries.push_back(std::move(change));
    }
    return delta;
}

}
