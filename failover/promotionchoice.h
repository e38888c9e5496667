#pragma once

#include "core/storepoint.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace endiveshore::failover {

/// Server that could be promoted, with the status that it reported.
struct PromotionCandidate
{
    std::string server;
    bool isPrimary = false;
    bool isLeaving = false;
    std::uint64_t term = 0;
    session::LogPosition received;
};

/// Chooses the candidate whose promotion loses the fewest commits: by the newest received term, then the highest
/// received position, then the highest id. Leaving servers come last. Null without candidates.
const PromotionCandidate *choosePromotion(std::span<const PromotionCandidate> candidates);

/// The candidate with the newest received term and the highest received position in that term, even if the
/// candidate is leaving. Null
/// without candidates.
const PromotionCandidate *mostAdvanced(std::span<const PromotionCandidate> candidates);

/// The candidate that reports itself as primary; if several do, the candidate of the newest term. Null if none does.
const PromotionCandidate *findPrimary(std::span<const PromotionCandidate> candidates);

/// Decides from the results of probes when a primary is considered dead.
class PrimarySuspicion
{
public:
    /// Records the result of a probe. The caller must not record a failure that another daemon's probe refutes.
    void record(bool answered, core::TimePoint now);

    /// Discards all results, for example those of a former primary.
    void reset();

    /// True once enough probes in a row have failed. A single failure may be due to a connection that was reset.
    bool isDead() const;

    /// Time of the first failure since the last answer; std::nullopt without a failure.
    std::optional<core::TimePoint> since() const;

private:
    static constexpr unsigned RequiredFailures = 2;

    unsigned failures = 0;
    std::optional<core::TimePoint> firstFailure;
};

/// Fencing tokens of one holder of the promotion duty. They rise with each decision, with each change of holder and
/// with each era of the metadata store.
class FenceCounter
{
public:
    /// @p election is the point of the store at which this daemon became the holder. Must be covered; see covers().
    explicit FenceCounter(core::StorePoint election);

    /// False if the tokens of a holder that was elected at @p election could reach those of a later era, or could
    /// overflow. Always true in era 0, whose tokens depend on the revision only.
    static bool covers(core::StorePoint election);

    /// Token for a new decision. An unanswered order is repeated with its original token instead.
    std::uint64_t next();

private:
    /// Bound on the decisions of one holder; the promotion service would take hours to carry out that many.
    static constexpr std::uint64_t TokensPerElection = 100'000;
    /// Tokens of each era. Tokens of eras up to 127 are exact also for a platform that reads them as doubles.
    static constexpr std::uint64_t TokensPerEra = std::uint64_t(1) << 46U;
    static constexpr std::uint64_t MaximumRevision = TokensPerEra / TokensPerElection - 1;
    static constexpr std::uint64_t MaximumEra = (std::uint64_t(1) << 17U) - 1;

    std::uint64_t last;
};

}
