#include "session/logposition.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace endiveshore::session {

Coverage coverage(LogPosition required, std::uint64_t appliedPosition, std::span<const TermStart> termStarts)
{
    if (required.position == 0) {
        return Coverage::Covered;
    }
    bool hasTerm = false;
    std::uint64_t firstTerm = std::numeric_limits<std::uint64_t>::max();
    std::optional<TermStart> next;
    for (const TermStart &entry : termStarts) {
        firstTerm = std::min(firstTerm, entry.term);
        hasTerm = hasTerm || entry.term == required.term;
        if (entry.term > required.term && (!next || entry.term < next->term)) {
            next = entry;
        }
    }
    if (!hasTerm && !next) {
        return Coverage::Behind;
    }
    const bool branchedOff = !hasTerm && firstTerm < required.term;
    if (next && (branchedOff || required.position > next->start)) {
        return Coverage::Diverged;
    }
    return required.position <= appliedPosition ? Coverage::Covered : Coverage::Behind;
}

}
