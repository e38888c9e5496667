#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::net {

/// Appends @p text and CR LF to @p out. Line feeds inside @p text lose the carriage returns before them, so that the
/// result is always one line.
void appendLine(std::string &out, std::string_view text);

/// Splits a stream of bytes into lines that end with CR LF. A carriage return or a line feed alone belongs to its line.
/// Bytes are received into prepare() and added with commit().
class LineDecoder
{
public:
    enum class Step {
        Line, ///< The next line was returned.
        NeedMore, ///< The next line is not complete.
        TooLong, ///< The next line exceeds the limit; its end, and so the next line, cannot be found.
    };

    /// @p maximumBytes is the largest length of a line in bytes, with its terminator.
    explicit LineDecoder(std::size_t maximumBytes);

    /// Space for bytes to be received. Valid until the next call.
    std::span<char> prepare();

    /// Adds the first @p count bytes of the space that prepare() returned.
    void commit(std::size_t count);

    /// Size of the buffer after the next call of prepare(), which is allocated anew if it exceeds held().
    std::size_t needed() const;

    /// Size of the buffer.
    std::size_t held() const;

    /// Frees the part of the buffer that the bytes received do not need, if it is larger than @p keptBytes.
    void shrink(std::size_t keptBytes);

    /// Drops all bytes received and frees the buffer.
    void clear();

    /// Looks for the end of the next line.
    Step find();

    /// Length of the line that find() has found, with its terminator.
    std::size_t lineBytes() const;

    /// Drops the line that find() has found.
    void drop();

    /// Takes the next line, without its terminator, into @p line.
    Step next(std::string &line);

    /// True if no byte waits to be taken.
    bool empty() const;

private:
    void reallocate(std::size_t size);

    std::size_t maximumBytes;
    std::string buffer;
    std::size_t begin = 0; ///< Offset of the first byte that was not taken.
    std::size_t end = 0; ///< Offset behind the last byte received.
    std::size_t lineEnd = 0; ///< Offset behind the line that was found.
    std::size_t searched = 0; ///< Offset up to which no terminator begins.
};

}
