#include "gateway/serversearch.h"

#include <algorithm>
#include <optional>

namespace endiveshore::gateway {

namespace {

/// Lower bound of the remaining time when a statement is sent to a server shortly before its deadline, for example
/// after a failover.
constexpr std::chrono::milliseconds MinimumQueueTimeout{60};

}

ServerSearch::ServerSearch(ServerSearchOptions options)
    : options(options)
{
}

SearchStep ServerSearch::tryAt(std::size_t candidate, core::Duration limit, core::TimePoint now) const
{
    const core::Duration remaining = std::max<core::Duration>(this->options.deadline - now, MinimumQueueTimeout);
    return {.kind = SearchStep::Kind::Try, .candidate = candidate, .queueTimeout = std::min(limit, remaining)};
}

SearchStep ServerSearch::next(std::span<const SearchCandidate> candidates, core::TimePoint now) const
{
    if (now >= this->options.deadline) {
        return {.kind = SearchStep::Kind::Refuse};
    }
    std::optional<std::size_t> first;
    std::optional<std::size_t> firstUntried;
    std::optional<std::size_t> lastResort;
    std::size_t usable = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const SearchCandidate &candidate = candidates[index];
        if (this->full.contains(candidate.server)) {
            continue;
        }
        if (candidate.isPenalised) {
            // A penalised replica is never tried; a penalised primary only if no other server is left.
            lastResort = candidate.isPrimary ? index : lastResort;
            continue;
        }
        ++usable;
        first = first.value_or(index);
        if (!firstUntried && !candidate.isBusy && !this->spilled.contains(candidate.server)) {
            firstUntried = index;
        }
    }
    if (firstUntried && usable > 1) {
        return this->tryAt(*firstUntried, this->options.spillTimeout, now);
    }
    const std::optional<std::size_t> chosen = first ? first : lastResort;
    if (chosen) {
        return this->tryAt(*chosen, core::Duration::max(), now);
    }
    return {.kind = this->full.empty() ? SearchStep::Kind::Wait : SearchStep::Kind::Refuse};
}

void ServerSearch::queueFull(std::string_view server, core::Duration queueTimeout)
{
    // After the spill timeout, the server may be tried again for the remaining time.
    (queueTimeout > this->options.spillTimeout ? this->full : this->spilled).emplace(server);
}

void ServerSearch::extend(core::TimePoint deadline)
{
    this->options.deadline = std::max(this->options.deadline, deadline);
}

}
