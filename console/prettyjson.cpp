#include "console/prettyjson.h"

#include <boost/json.hpp>

namespace endiveshore::console {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxInlineLength = 100;
constexpr std::size_t IndentWidth = 2;

void append(std::string &text, const json::value &value, std::size_t depth);

/// Appends the separator from the previous item, a line break and the indentation.
void startItem(std::string &text, std::size_t depth, bool first)
{
    text.append(first ? "\n" : ",\n").append(depth * IndentWidth, ' ');
}

void appendObject(std::string &text, const json::object &object, std::size_t depth)
{
    text.push_back('{');
    bool first = true;
    for (const auto &member : object) {
        startItem(text, depth + 1, first);
        text.append(json::serialize(member.key())).append(": ");
        append(text, member.value(), depth + 1);
        first = false;
    }
    text.append("\n").append(depth * IndentWidth, ' ').push_back('}');
}

void appendArray(std::string &text, const json::array &array, std::size_t depth)
{
    text.push_back('[');
    bool first = true;
    for (const json::value &element : array) {
        startItem(text, depth + 1, first);
        append(text, element, depth + 1);
        first = false;
    }
    text.append("\n").append(depth * IndentWidth, ' ').push_back(']');
}

void append(std::string &text, const json::value &value, std::size_t depth)
{
    const std::string compact = json::serialize(value);
    if (value.is_primitive() || depth * IndentWidth + compact.size() <= MaxInlineLength) {
        text.append(compact);
        return;
    }
    if (value.is_object()) {
        appendObject(text, value.get_object(), depth);
        return;
    }
    appendArray(text, value.get_array(), depth);
}

}

std::string prettyJson(const json::value &value)
{
    std::string text;
    append(text, value, 0);
    return text;
}

}
