#pragma once

#include "core/boottime.h"
#include "session/logposition.h"

#include <deque>
#include <optional>

namespace endiveshore::session {

/// True if @p left comes before @p right. Terms compare first, because a position of a newer term covers all entries of
/// older terms that survived the change of primary.
bool isBefore(LogPosition left, LogPosition right);

/// The later of both positions.
LogPosition laterOf(LogPosition left, LogPosition right);

/// Freshness proofs of the primary of one database. A proof taken at time t states that all commits acknowledged before
/// t are at or before its position.
class FreshnessProofs
{
public:
    /// Adds a proof taken at @p takenAt. Proofs may arrive in any order.
    void record(LogPosition position, core::BootTime takenAt);

    /// Earliest proved position that covers all commits acknowledged more than @p maximumAge before @p now;
    /// std::nullopt if all proofs are older than @p maximumAge. The earliest position lets replicas lag as far as the
    /// age allows.
    std::optional<LogPosition> earliestPositionWithin(core::Duration maximumAge, core::BootTime now) const;

    /// Age of the newest proof; std::nullopt without a proof.
    std::optional<core::Duration> age(core::BootTime now) const;

private:
    struct Proof
    {
        LogPosition position;
        core::BootTime takenAt;
    };

    /// Proofs taken at a shorter interval are merged, which bounds the number of stored proofs.
    static constexpr std::chrono::milliseconds Spacing{50};
    /// Age above which a proof is of no use to any route.
    static constexpr std::chrono::seconds Retention{10};

    std::deque<Proof> proofs; ///< In ascending order of time.
};

}
