#include "net/linedecoder.h"

#include <algorithm>

namespace endiveshore::net {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t SmallestRead = 1024;
constexpr std::size_t LargestRead = 64 * 1024;

}

void appendLine(std::string &out, std::string_view text)
{
    for (std::size_t end = text.find(LineEnd); end != std::string_view::npos; end = text.find(LineEnd)) {
        std::string_view part = text.substr(0, end);
        while (part.ends_with('\r')) {
            part.remove_suffix(1);
        }
        out += part;
        text.remove_prefix(end + 1);
    }
    out += text;
    out += LineEnd;
}

LineDecoder::LineDecoder(std::size_t maximumBytes)
    : maximumBytes(maximumBytes)
{
}

std::span<char> LineDecoder::prepare()
{
    if (this->begin > 0) {
        this->buffer.erase(0, this->begin);
        this->end -= this->begin;
        this->searched -= this->begin;
        this->begin = 0;
    }
    const std::size_t space = std::clamp(this->end, SmallestRead, LargestRead);
    this->buffer.resize(this->end + space);
    return {this->buffer.data() + this->end, space};
}

void LineDecoder::commit(std::size_t count)
{
    this->end += count;
}

LineDecoder::Step LineDecoder::next(std::string &line)
{
    const std::string_view received(this->buffer.data(), this->end);
    const std::size_t terminator = received.find(LineEnd, this->searched);
    const std::size_t lineEnd = terminator == std::string_view::npos ? this->end : terminator + LineEnd.size();
    if (lineEnd - this->begin > this->maximumBytes) {
        return Step::TooLong;
    }
    if (terminator == std::string_view::npos) {
        // The last byte received may be the first one of a terminator.
        this->searched = std::max(this->begin, this->end == 0 ? 0 : this->end - 1);
        return Step::NeedMore;
    }
    line.assign(received.substr(this->begin, terminator - this->begin));
    this->begin = this->searched = lineEnd;
    return Step::Line;
}

bool LineDecoder::empty() const
{
    return this->begin == this->end;
}

}
