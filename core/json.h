#pragma once

#include "core/error.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Lenient accessors for JSON messages between processes. Documents are validated strictly by the document library.
namespace endiveshore::core {

enum class TextBytes {
    Utf8, ///< Strings must be valid UTF-8.
    Any, ///< Strings may hold any bytes, for texts of callers and servers that are passed on.
};

/// Parses @p text as a JSON object. Fails with MalformedRequest for any other text.
boost::leaf::result<boost::json::object> parseJsonObject(std::string_view text, TextBytes bytes = TextBytes::Utf8);

/// Member @p name as text, or @p fallback if it is missing or of another type.
std::string jsonString(const boost::json::object &object, std::string_view name, std::string_view fallback = {});

/// Member @p name as an integer, or @p fallback if it is missing or not an exact integer.
std::int64_t jsonInteger(const boost::json::object &object, std::string_view name, std::int64_t fallback = 0);

/// Member @p name as a number, or @p fallback if it is missing or not a number.
double jsonNumber(const boost::json::object &object, std::string_view name, double fallback = 0);

/// Member @p name as a boolean, or @p fallback if it is missing or of another type.
bool jsonBool(const boost::json::object &object, std::string_view name, bool fallback = false);

/// Member @p name as an object, or nullptr.
const boost::json::object *jsonObject(const boost::json::object &object, std::string_view name);

/// Member @p name as an array, or nullptr.
const boost::json::array *jsonArray(const boost::json::object &object, std::string_view name);

}
