#pragma once

#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace endiveshore::failover {

/// A server that could take over, as it answered.
struct PromotionCandidate
{
    std::string server;
    bool isPrimary = false;
    bool isLeaving = false;
    std::uint64_t term = 0;
    session::LogPosition received;
};

/// The candidate that loses the fewest commits: the newest term, then the last position received, then the id. Leaving
/// servers come last. Nothing without candidates.
const PromotionCandidate *choosePromotion(std::span<const PromotionCandidate> candidates);

/// The candidate with the newest term and the last position received, also if it is leaving. Nothing without
/// candidates.
const PromotionCandidate *mostAdvanced(std::span<const PromotionCandidate> candidates);

/// The candidate that leads, if one says so; with several, that of the newest term.
const PromotionCandidate *findPrimary(std::span<const PromotionCandidate> candidates);

/// Decides from probes when a primary counts as dead.
class PrimarySuspicion
{
public:
    /// Records the result of a probe that no other daemon could answer better.
    void record(bool answered, core::TimePoint now);

    /// Forgets all probes, for example of a former primary.
    void reset();

    /// True once enough probes in a row have failed. One alone may meet a connection that was reset.
    bool isDead() const;

    /// When the first of the failed probes was recorded.
    std::optional<core::TimePoint> since() const;

private:
    static constexpr unsigned RequiredFailures = 2;

    unsigned failures = 0;
    std::optional<core::TimePoint> firstFailure;
};

/// Fencing tokens of one holder of the promotion duty. They rise with each decision and with each change of holder.
class FenceCounter
{
public:
    /// @p electionRevision is the store revision that made this daemon the holder.
    explicit FenceCounter(std::uint64_t electionRevision);

    /// Token of a new decision. An unanswered order is repeated with the token that it had.
    std::uint64_t next();

private:
    /// Decisions of one holder. More than one second of the promotion service's capacity for hours.
    static constexpr std::uint64_t TokensPerElection = 100'000;

    std::uint64_t last;
};

}
