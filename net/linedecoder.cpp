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
    this->reallocate(this->needed());
    this->buffer.resize(this->end + space);
    return {this->buffer.data() + this->end, space};
}

std::size_t LineDecoder::needed() const
{
    const std::size_t received = this->end - this->begin;
    const std::size_t size = received + std::clamp(received, SmallestRead, LargestRead);
    const std::size_t held = this->held();
    // Doubling keeps the number of copies low; no buffer needs more than the largest line and one read.
    return size <= held ? held : std::max(size, std::min(2 * held, this->maximumBytes + LargestRead));
}

std::size_t LineDecoder::held() const
{
    return this->buffer.capacity();
}

void LineDecoder::shrink(std::size_t keptBytes)
{
    const std::size_t received = this->end - this->begin;
    if (this->held() <= keptBytes || this->held() / 2 < received) {
        return;
    }
    // Moving a short string would keep the larger buffer.
    std::string(this->buffer, this->begin, received).swap(this->buffer);
    this->searched -= this->begin;
    this->end = received;
    this->begin = 0;
}

void LineDecoder::clear()
{
    std::string().swap(this->buffer);
    this->begin = this->end = this->searched = 0;
}

void LineDecoder::reallocate(std::size_t size)
{
    if (size <= this->held()) {
        return;
    }
    std::string larger;
    larger.reserve(size);
    larger.append(this->buffer, 0, this->end);
    this->buffer.swap(larger);
}

void LineDecoder::commit(std::size_t count)
{
    this->end += count;
}

LineDecoder::Step LineDecoder::find()
{
    const std::string_view received(this->buffer.data(), this->end);
    const std::size_t terminator = received.find(LineEnd, this->searched);
    const std::size_t found = terminator == std::string_view::npos ? this->end : terminator + LineEnd.size();
    if (found - this->begin > this->maximumBytes) {
        return Step::TooLong;
    }
    if (terminator == std::string_view::npos) {
        // The last byte received may be the first one of a terminator.
        this->searched = std::max(this->begin, this->end == 0 ? 0 : this->end - 1);
        return Step::NeedMore;
    }
    this->lineEnd = found;
    this->searched = terminator;
    return Step::Line;
}

std::size_t LineDecoder::lineBytes() const
{
    return this->lineEnd - this->begin;
}

void LineDecoder::drop()
{
    this->begin = this->searched = this->lineEnd;
}

LineDecoder::Step LineDecoder::next(std::string &line)
{
    const Step step = this->find();
    if (step == Step::Line) {
        line.assign(this->buffer, this->begin, this->lineBytes() - LineEnd.size());
        this->drop();
    }
    return step;
}

bool LineDecoder::empty() const
{
    return this->begin == this->end;
}

}
