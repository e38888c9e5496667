#include "core/json.h"

namespace endiveshore::core {

namespace json = boost::json;

boost::leaf::result<json::object> parseJsonObject(std::string_view text, TextBytes bytes)
{
    json::error_code parseError;
    json::parse_options options;
    options.allow_invalid_utf8 = bytes == TextBytes::Any;
    json::value value = json::parse(json::string_view(text.data(), text.size()), parseError, {}, options);
    if (parseError) {
        return boost::leaf::new_error(
            Failure{.code = ResultCode::MalformedRequest, .message = "invalid JSON: " + parseError.message()});
    }
    if (!value.is_object()) {
        return boost::leaf::new_error(
            Failure{.code = ResultCode::MalformedRequest, .message = "a JSON object is required"});
    }
    return std::move(value.as_object());
}

std::string jsonString(const json::object &object, std::string_view name, std::string_view fallback)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_string()) {
        return std::string(fallback);
    }
    return std::string(value->as_string().data(), value->as_string().size());
}

std::int64_t jsonInteger(const json::object &object, std::string_view name, std::int64_t fallback)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_number()) {
        return fallback;
    }
    json::error_code conversionError;
    const std::int64_t number = value->to_number<std::int64_t>(conversionError);
    return conversionError ? fallback : number;
}

double jsonNumber(const json::object &object, std::string_view name, double fallback)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_number()) {
        return fallback;
    }
    json::error_code conversionError;
    const double number = value->to_number<double>(conversionError);
    return conversionError ? fallback : number;
}

bool jsonBool(const json::object &object, std::string_view name, bool fallback)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

const json::object *jsonObject(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr ? value->if_object() : nullptr;
}

const json::array *jsonArray(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr ? value->if_array() : nullptr;
}

}
