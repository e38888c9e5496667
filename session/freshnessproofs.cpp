#include "session/freshnessproofs.h"

#include <algorithm>
#include <tuple>

namespace endiveshore::session {

bool isBefore(LogPosition left, LogPosition right)
{
    return std::tie(left.term, left.position) < std::tie(right.term, right.position);
}

LogPosition laterOf(LogPosition left, LogPosition right)
{
    return isBefore(left, right) ? right : left;
}

void FreshnessProofs::record(LogPosition position, core::BootTime takenAt)
{
    while (!this->proofs.empty() && this->proofs.front().takenAt + Retention < takenAt) {
        this->proofs.pop_front();
    }
    if (this->proofs.empty()) {
        this->proofs.push_back({.position = position, .takenAt = takenAt});
        return;
    }
    if (takenAt <= this->proofs.back().takenAt) {
        return;
    }
    // While the two newest stored proofs are less than Spacing apart, the new proof replaces the newer of the two. The
    // first proof of each interval and the latest time are therefore always kept.
    const bool replacesNewest = this->proofs.size() >= 2
        && this->proofs.back().takenAt - this->proofs[this->proofs.size() - 2].takenAt < Spacing;
    const Proof proof{.position = laterOf(position, this->proofs.back().position), .takenAt = takenAt};
    if (replacesNewest) {
        this->proofs.back() = proof;
    } else {
        this->proofs.push_back(proof);
    }
}

std::optional<LogPosition> FreshnessProofs::earliestPositionWithin(core::Duration maximumAge, core::BootTime now) const
{
    const auto admissible
        = std::ranges::find_if(this->proofs, [&](const Proof &proof) { return proof.takenAt + maximumAge >= now; });
    if (admissible == this->proofs.end()) {
        return std::nullopt;
    }
    return admissible->position;
}

std::optional<core::Duration> FreshnessProofs::age(core::BootTime now) const
{
    if (this->proofs.empty()) {
        return std::nullopt;
    }
    return now - this->proofs.back().takenAt;
}

}
