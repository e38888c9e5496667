#include "document/fieldreaders.h"

#include "core/settingsaddress.h"
#include "document/documentparser.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace endiveshore::document {

namespace json = boost::json;

namespace {

// Longer values are cut in error messages, so that the reason of the refusal remains visible.
constexpr std::size_t MaxQuotedBytes = 40;

bool isAsciiAlphanumeric(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z');
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
}

std::string_view textOf(const json::string &text)
{
    return {text.data(), text.size()};
}

std::string formatNumber(double number)
{
    std::ostringstream stream;
    stream.precision(12);
    stream << number;
    return stream.str();
}

std::string unitSuffix(std::string_view unit)
{
    return unit.empty() ? std::string() : " " + std::string(unit);
}

}

ReadResult refuse(std::string path, std::string message)
{
    return boost::leaf::new_error(core::Failure{
        .code = core::ResultCode::InvalidDocument, .message = std::move(message), .path = std::move(path)});
}

std::string describeValue(const json::value &value)
{
    switch (value.kind()) {
    case json::kind::null:
        return "null";
    case json::kind::bool_:
        return value.get_bool() ? "true" : "false";
    case json::kind::object:
        return "an object";
    case json::kind::array:
        return "a list";
    case json::kind::string: {
        std::string text(textOf(value.get_string()).substr(0, MaxQuotedBytes));
        std::replace_if(text.begin(), text.end(), isControl, '?');
        return "the text \"" + text + (value.get_string().size() > MaxQuotedBytes ? "...\"" : "\"");
    }
    case json::kind::int64:
    case json::kind::uint64:
    case json::kind::double_:
        break;
    }
    return json::serialize(value);
}

std::string memberPath(const std::string &path, std::string_view name)
{
    std::string member(name.substr(0, MaxNameBytes));
    std::replace_if(member.begin(), member.end(), isControl, '?');
    return path.empty() ? member : path + "." + member;
}

std::string elementPath(const std::string &path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes && isAsciiAlphanumeric(text.front())
        && std::all_of(text.begin(), text.end(), [](char character) {
               return isAsciiAlphanumeric(character) || character == '-' || character == '_' || character == '.';
           });
}

ReadResult readIdentifier(const json::value &value, const std::string &path, std::string &target)
{
    if (!value.is_string() || !isIdentifier(textOf(value.get_string()))) {
        return refuse(path,
                      "a name of 1 to " + std::to_string(MaxNameBytes)
                          + " letters, digits, '-', '_' or '.' that starts with a letter or digit is required, not "
                          + describeValue(value));
    }
    target = textOf(value.get_string());
    return {};
}

ReadResult readLabel(const json::value &value, const std::string &path, std::string &target)
{
    const bool accepted = value.is_string() && !value.get_string().empty() && value.get_string().size() <= MaxNameBytes
        && value.get_string().front() != ' ' && value.get_string().back() != ' '
        && std::none_of(value.get_string().begin(), value.get_string().end(), isControl);
    if (!accepted) {
        return refuse(path,
                      "a name of 1 to " + std::to_string(MaxNameBytes)
                          + " bytes without control characters or surrounding blanks is required, not "
                          + describeValue(value));
    }
    target = textOf(value.get_string());
    return {};
}

ReadResult readAddress(const json::value &value, const std::string &path, std::string &target)
{
    if (!value.is_string() || !core::parseIpAddress(textOf(value.get_string()))) {
        return refuse(path, "an IPv4 address of the form ip:port is required, not " + describeValue(value));
    }
    target = textOf(value.get_string());
    return {};
}

ReadResult readBoolean(const json::value &value, const std::string &path, bool &target)
{
    if (!value.is_bool()) {
        return refuse(path, "true or false is required, not " + describeValue(value));
    }
    target = value.get_bool();
    return {};
}

ReadResult
readInteger(const json::value &value, const std::string &path, const IntegerRange &range, std::int64_t &target)
{
    // to_number() would also accept 5.0, which other programs that read the document may refuse.
    const bool accepted = value.is_int64() && value.get_int64() >= range.minimum && value.get_int64() <= range.maximum;
    if (!accepted) {
        return refuse(path,
                      "a whole number" + (range.unit.empty() ? std::string() : " of " + std::string(range.unit))
                          + " from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum)
                          + " is required, not " + describeValue(value));
    }
    target = value.get_int64();
    return {};
}

ReadResult readNumber(const json::value &value, const std::string &path, const NumberRange &range, double &target)
{
    double number = std::numeric_limits<double>::quiet_NaN();
    if (value.is_number()) {
        number = value.to_number<double>();
    }
    // The negated condition also refuses NaN.
    if (!(number >= range.minimum && number <= range.maximum)) {
        return refuse(path,
                      "a number from " + formatNumber(range.minimum) + " to " + formatNumber(range.maximum)
                          + unitSuffix(range.unit) + " is required, not " + describeValue(value));
    }
    target = number;
    return {};
}

ReadResult checkCount(const json::value &value, const std::string &path, const CountRange &range)
{
    if (!value.is_array()) {
        return refuse(path, "a list is required, not " + describeValue(value));
    }
    const std::size_t count = value.get_array().size();
    if (count < range.minimum || count > range.maximum) {
        return refuse(path,
                      "from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum) + " "
                          + std::string(range.noun) + " are required, not " + std::to_string(count));
    }
    return {};
}

}
