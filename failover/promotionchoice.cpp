#include "failover/promotionchoice.h"

#include <algorithm>
#include <tuple>

namespace endiveshore::failover {

namespace {

auto advanceRank(const PromotionCandidate &candidate)
{
    return std::make_tuple(
        candidate.received.term, candidate.received.position, !candidate.isLeaving, std::string_view(candidate.server));
}

auto promotionRank(const PromotionCandidate &candidate)
{
    return std::make_pair(!candidate.isLeaving, advanceRank(candidate));
}

}

const PromotionCandidate *choosePromotion(std::span<const PromotionCandidate> candidates)
{
    const auto best = std::ranges::max_element(candidates, {}, promotionRank);
    return best == candidates.end() ? nullptr : &*best;
}

const PromotionCandidate *mostAdvanced(std::span<const PromotionCandidate> candidates)
{
    const auto best = std::ranges::max_element(candidates, {}, advanceRank);
    return best == candidates.end() ? nullptr : &*best;
}

const PromotionCandidate *findPrimary(std::span<const PromotionCandidate> candidates)
{
    const PromotionCandidate *primary = nullptr;
    for (const PromotionCandidate &candidate : candidates) {
        if (candidate.isPrimary && (primary == nullptr || primary->term < candidate.term)) {
            primary = &candidate;
        }
    }
    return primary;
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

FenceCounter::FenceCounter(core::StorePoint election)
    : last(election.era * TokensPerEra + election.revision * TokensPerElection)
{
}

bool FenceCounter::covers(core::StorePoint election)
{
    return election.era == 0 || (election.era <= MaximumEra && election.revision < MaximumRevision);
}

std::uint64_t FenceCounter::next()
{
    return ++this->last;
}

}
