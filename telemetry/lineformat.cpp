#include "telemetry/lineformat.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <ctime>

namespace endiveshore::telemetry {

namespace {

constexpr std::size_t MaxValueBytes = 512;
// Prefix of generated workspace keys, the same as access::KeyPrefix; this library must not depend on access.
constexpr std::string_view KeyPrefix = "ek_";
constexpr std::string_view KeyMask = "ek_***";
constexpr std::string_view HexDigits = "0123456789abcdef";

bool isPlain(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || std::string_view("_-.:/@+%").find(character) != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line.push_back('"');
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (character == '\n') {
            line.append("\\n");
        } else if (byte < 0x20 || byte == 0x7f) {
            line.append("\\x").append(1, HexDigits[byte >> 4]).append(1, HexDigits[byte & 0x0f]);
        } else {
            line.push_back(character);
        }
    }
    line.push_back('"');
}

/// First MaxValueBytes bytes of @p value, without a partial UTF-8 character at the end.
std::string_view cutValue(std::string_view value)
{
    if (value.size() <= MaxValueBytes) {
        return value;
    }
    std::size_t end = MaxValueBytes;
    while (end > 0 && (static_cast<unsigned char>(value[end]) & 0xc0) == 0x80) {
        --end;
    }
    return value.substr(0, end);
}

}

std::string maskKeys(std::string_view value)
{
    std::string masked;
    std::size_t start = 0;
    for (std::size_t found = value.find(KeyPrefix); found != std::string_view::npos;
         found = value.find(KeyPrefix, start)) {
        masked.append(value.substr(start, found - start)).append(KeyMask);
        start = std::min(value.find_first_not_of(HexDigits, found + KeyPrefix.size()), value.size());
    }
    return masked.append(value.substr(start));
}

void beginLine(std::string &line, LogFormat format)
{
    if (format == LogFormat::Json) {
        line.push_back('{');
    }
}

void appendName(std::string &line, LogFormat format, std::string_view name)
{
    const bool first = line.empty() || line == "{";
    if (format == LogFormat::Json) {
        line.append(first ? "\"" : ",\"").append(name).append("\":");
        return;
    }
    line.append(first ? "" : " ").append(name).append("=");
}

void appendText(std::string &line, LogFormat format, std::string_view value)
{
    // Keys are masked before truncation, which could otherwise leave a part of a key that is too short to recognise.
    const std::string masked = maskKeys(value);
    const std::string_view cut = cutValue(masked);
    if (format == LogFormat::Json) {
        line.append(boost::json::serialize(boost::json::string_view(cut.data(), cut.size())));
        return;
    }
    if (!cut.empty() && std::all_of(cut.begin(), cut.end(), isPlain)) {
        line.append(cut);
        return;
    }
    appendQuoted(line, cut);
}

void appendRaw(std::string &line, std::string_view value)
{
    line.append(value);
}

void endLine(std::string &line, LogFormat format)
{
    if (format == LogFormat::Json) {
        line.push_back('}');
    }
}

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    const std::time_t seconds = static_cast<std::time_t>(sinceEpoch.count() / 1000);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &fields);
    std::string milliseconds = std::to_string(sinceEpoch.count() % 1000);
    milliseconds.insert(0, 3 - milliseconds.size(), '0');
    return std::string(text, length) + "." + milliseconds + "Z";
}

}
