#pragma once

#include <cstdint>
#include <span>

/// Session consistency: positions in a database's log and the token that carries them between requests.
namespace endiveshore::session {

/// Position in the log of one database group, as reported by a server in term @p term.
struct LogPosition
{
    std::uint64_t term = 0; ///< 0 if nothing has been observed.
    std::uint64_t position = 0; ///< Number of the last log entry, counted from 1.

    bool operator==(const LogPosition &) const = default;
};

/// Start of one term in the log of a server. The entries of the term have positions above @p start.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0; ///< Position of the last entry before the term.

    bool operator==(const TermStart &) const = default;
};

/// Relation of a server's log to a required position.
enum class Coverage {
    Covered, ///< The server has applied the required entry.
    Behind, ///< The server may still receive the required entry.
    Diverged, ///< The server's history continues without the required entry; waiting does not help.
};

/// Tells whether a server that has applied its log up to @p appliedPosition holds the entry at @p required.
///
/// @p termStarts is the term history of the server, in any order. A server whose newest term is older than the required
/// term is Behind whatever its position, because the end of its log may be truncated when it follows the newer primary.
/// A server that has a newer term but not the required term is Diverged: an acknowledged write, or a read confirmed by
/// a majority, puts its term into every later history. If the required term is older than the first known term, the
/// history is taken as trimmed and only the start of the first known term decides.
Coverage coverage(LogPosition required, std::uint64_t appliedPosition, std::span<const TermStart> termStarts);

}
