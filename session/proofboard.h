#pragma once

#include "core/boottime.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::session {

/// Time on the clock of one process, as sent in its messages. Other processes only send it back.
struct ClockStamp
{
    std::uint64_t process = 0; ///< Drawn at random at the start of the process; 0 for no stamp.
    std::int64_t milliseconds = 0;

    bool operator==(const ClockStamp &) const = default;
};

/// Makes the stamps of this process and reads those that come back. A message that carries a stamp back was made after
/// the stamp, which bounds its age from above without any knowledge of the sender's clock or of the way that it took.
class StampClock
{
public:
    /// @p process must not be 0 and must differ from that of earlier processes.
    explicit StampClock(std::uint64_t process);

    ClockStamp stamp(core::BootTime now) const;

    /// Time of a stamp of this process, rounded down; nothing for any other stamp.
    std::optional<core::BootTime> timeOf(const ClockStamp &stamp, core::BootTime now) const;

private:
    std::uint64_t process;
};

/// Freshness proof in a message: all commits acknowledged more than `age` before the message was made are at or before
/// `position`.
struct AgedProof
{
    LogPosition position;
    core::Milliseconds age{};

    bool operator==(const AgedProof &) const = default;
};

using AgedProofs = std::map<std::string, AgedProof, std::less<>>;

/// Adds the proofs of @p other that are younger than those of @p proofs for the same service.
void addYounger(AgedProofs &proofs, const AgedProofs &other);

/// Newest freshness proof of the primary of each service.
class ProofBoard
{
public:
    void record(std::string_view service, LogPosition position, core::BootTime takenAt);

    /// Records the proofs of a message that was made after @p madeAfter.
    void record(const AgedProofs &proofs, core::BootTime madeAfter);

    /// The proofs for a message that is made @p now, without those of no use to any route. Ages are rounded up.
    AgedProofs aged(core::BootTime now) const;

private:
    struct Proof
    {
        LogPosition position;
        core::BootTime takenAt;
    };

    std::map<std::string, Proof, std::less<>> proofs;
};

}
