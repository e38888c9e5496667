#include "failover/promotionchoice.h"

#include <tuple>

namespace endiveshore::failover {

namespace {

auto promotionRank(const PromotionCandidate &candidate)
{
    return std::make_tuple(
        !candidate.isLeaving, candidate.received.term, candidate.received.position, std::string_view(candidate.server));
}

}

const PromotionCandidate *choosePromotion(std::span<const PromotionCandidate> candidates)
{
    const PromotionCandidate *best = nullptr;
    for (const PromotionCandidate &candidate : candidates) {
        if (best == nullptr || promotionRank(*best) < promotionRank(candidate)) {
            best = &candidate;
        }
    }
    return best;
}

const PromotionCandidate *leadingCandidate(std::span<const PromotionCandidate> candidates)
{
    const PromotionCandidate *leading = nullptr;
    for (const PromotionCandidate &candidate : candidates) {
        if (candidate.isPrimary && (leading == nullptr || leading->term < candidate.term)) {
            leading = &candidate;
        }
    }
    return leading;
}

void PrimarySuspicion::record(bool answered, core::TimePoint now)
{
    if (answered) {
        this->reset();
        return;
    }
    ++this->failures;
    if (!this->firstFailure) {
        this->firstFailure = now;
    }
}

void PrimarySuspicion::reset()
{
    this->failures = 0;
    this->firstFailure.reset();
}

bool PrimarySuspicion::isDead() const
{
    return this->failures >= RequiredFailures;
}

std::optional<core::TimePoint> PrimarySuspicion::since() const
{
    return this->firstFailure;
}

FenceCounter::FenceCounter(std::uint64_t electionRevision)
    : last(electionRevision * TokensPerElection)
{
}

std::uint64_t FenceCounter::next()
{
    return ++this->last;
}

}
