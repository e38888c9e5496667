#pragma once

#include "core/priority.h"
#include "limits/tokenbucket.h"

#include <array>
#include <optional>

namespace endiveshore::limits {

struct UrgencyBucketOptions
{
    core::Milliseconds demandPeriod{1'000}; ///< Time constant of the average of the demand.
    core::Milliseconds reservePeriod{500}; ///< The reserve covers the demand of the more urgent for this time.
    /// The reserve is complete once the demand exceeds rate and burst by what the rate yields in this time.
    core::Milliseconds overloadPeriod{250};
    /// Longest time in which a rank with refused operations is admitted none while the bucket holds a token.
    core::Milliseconds maximumStarvation{2'000};
};

/// Token bucket that is spent by urgency while the demand exceeds rate and burst. Does no I/O and reads no clock.
///
/// Answers a load in which less urgent operations ask for more than the rate leaves: an operation is admitted only if
/// the level stays above a reserve for the recent demand of the more urgent. The reserve rises with the excess of the
/// demand, so a workspace within rate and burst is refused nothing, and falls with the demand of the more urgent, so
/// that tokens they leave are given out. Operations of rank 0 are admitted as by a TokenBucket.
class UrgencyBucket
{
public:
    UrgencyBucket(ShareLimits limits, core::TimePoint now, UrgencyBucketOptions options = {});

    /// Books one operation of @p rank that may start within @p longestWait, and returns its wait; std::nullopt if it is
    /// refused. The longest wait of the less urgent shrinks as the reserve grows.
    std::optional<core::Duration> book(core::PriorityRank rank, core::Duration longestWait, core::TimePoint now);

    /// Returns @p tokens that were taken and not used; tokens above the burst are dropped.
    void returnTokens(double tokens);

    /// Changes the limits; tokens above the new burst are dropped.
    void setLimits(ShareLimits limits, core::TimePoint now);

    /// Drops all available tokens.
    void empty(core::TimePoint now);

    /// Available tokens. Negative while booked tokens have not been refilled yet.
    double level(core::TimePoint now);

    /// Tokens that operations of @p rank leave to the more urgent.
    double reserve(core::PriorityRank rank, core::TimePoint now);

private:
    void advance(core::TimePoint now);
    void recordDemand(core::PriorityRank rank, core::TimePoint now);
    /// Operations per second of the ranks more urgent than @p rank.
    double demandAbove(core::PriorityRank rank) const;
    /// Excess of the demand over rate and burst: 0 for none, 1 for the rate of `overloadPeriod` and more.
    double overload() const;
    double overloadTokens() const;
    bool isStarved(core::PriorityRank rank, core::TimePoint now);
    std::optional<core::Duration> bookOrdered(core::PriorityRank rank, core::Duration longestWait, core::TimePoint now);

    UrgencyBucketOptions options;
    ShareLimits limits;
    TokenBucket bucket;
    /// Level that the bucket would have if all operations had been admitted; at least -overloadTokens().
    double askedLevel;
    std::array<double, core::PriorityRanks> demand{}; ///< Decaying number of operations by rank.
    /// Time of the first refusal since the last admission, by rank.
    std::array<std::optional<core::TimePoint>, core::PriorityRanks> refusedSince{};
    core::TimePoint advancedAt;
};

}
