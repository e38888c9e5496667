#pragma once

#include "core/boottime.h"
#include "session/logposition.h"

#include <deque>
#include <optional>

namespace endiveshore::session {

/// True if @p left comes before @p right. The position of a newer term covers everything of older terms that survived
/// the change of primary, so terms compare first.
bool isBefore(LogPosition left, LogPosition right);

/// The later of both positions.
LogPosition laterOf(LogPosition left, LogPosition right);

/// Positions that the primary of one database has proved. A proof taken at time t says that all commits acknowledged
/// before t are at or before its position.
class FreshnessProofs
{
public:
    /// Adds a proof taken at @p takenAt. Proofs may arrive in any order.
    void record(LogPosition position, core::BootTime takenAt);

    /// The earliest position that covers all commits acknowledged more than @p maximumAge before @p now; nothing if no
    /// proof is young enough. The earliest one lets replicas lag as far as the age allows.
    std::optional<LogPosition> earliestPositionWithin(core::Duration maximumAge, core::BootTime now) const;

    /// Age of the youngest proof; nothing without a proof.
    std::optional<core::Duration> age(core::BootTime now) const;

private:
    struct Proof
    {
        LogPosition position;
        core::BootTime takenAt;
    };

    /// Two proofs closer together than this are merged, which bounds the number kept.
    static constexpr std::chrono::milliseconds Spacing{50};
    /// Proofs older than this serve no route.
    static constexpr std::chrono::seconds Retention{10};

    std::deque<Proof> proofs; ///< By rising time.
};

}
