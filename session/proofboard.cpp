#include "session/proofboard.h"

namespace endiveshore::session {

namespace {

/// Age above which a proof is of no use to other daemons.
constexpr std::chrono::seconds Retention{4};

}

StampClock::StampClock(std::uint64_t process)
    : process(process)
{
}

ClockStamp StampClock::stamp(core::BootTime now) const
{
    return {.process = this->process,
            .milliseconds = std::chrono::floor<core::Milliseconds>(now.time_since_epoch()).count()};
}

std::optional<core::BootTime> StampClock::timeOf(const ClockStamp &stamp, core::BootTime now) const
{
    // A stamp ahead of the clock cannot come from this process.
    const bool isOwn = stamp.process == this->process && stamp.milliseconds <= this->stamp(now).milliseconds;
    return isOwn ? std::optional(core::BootTime(core::Milliseconds(stamp.milliseconds))) : std::nullopt;
}

void addYounger(AgedProofs &proofs, const AgedProofs &other)
{
    for (const auto &[service, proof] : other) {
        const auto [known, isNew] = proofs.emplace(service, proof);
        if (!isNew && proof.age < known->second.age) {
            known->second = proof;
        }
    }
}

void ProofBoard::record(std::string_view service, LogPosition position, core::BootTime takenAt)
{
    const auto found = this->proofs.find(service);
    if (found == this->proofs.end()) {
        this->proofs.emplace(service, Proof{.position = position, .takenAt = takenAt});
    } else if (found->second.takenAt < takenAt) {
        found->second = {.position = position, .takenAt = takenAt};
    }
}

void ProofBoard::record(const AgedProofs &aged, core::BootTime madeAfter)
{
    for (const auto &[service, proof] : aged) {
        this->record(service, proof.position, madeAfter - proof.age);
    }
}

AgedProofs ProofBoard::aged(core::BootTime now) const
{
    AgedProofs aged;
    for (const auto &[service, proof] : this->proofs) {
        const auto age = std::chrono::ceil<core::Milliseconds>(now - proof.takenAt);
        if (age <= Retention) {
            aged.emplace(service, AgedProof{.position = proof.position, .age = age});
        }
    }
    return aged;
}

}
