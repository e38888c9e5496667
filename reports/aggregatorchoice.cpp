#include "reports/aggregatorchoice.h"

#include <algorithm>

namespace endiveshore::reports {

AggregatorChoice::AggregatorChoice(AggregatorChoiceOptions options)
    : options(options)
{
}

ReportPlan AggregatorChoice::plan(std::span<const std::string> candidates, std::string_view self, core::TimePoint now)
{
    std::erase_if(this->aggregators,
                  [&](const auto &entry) { return std::ranges::find(candidates, entry.first) == candidates.end(); });
    ReportPlan plan;
    bool isAnswered = false;
    for (const std::string &candidate : candidates) {
        if (candidate == self) {
            plan.aggregatesItself = !isAnswered;
            if (isAnswered) {
                // This daemon is the deputy.
                break;
            }
            isAnswered = true;
            continue;
        }
        if (isAnswered || plan.targets.size() == this->options.maximumAsked) {
            plan.targets.push_back({.daemon = candidate});
            break;
        }
        plan.targets.push_back({.daemon = candidate, .wantsDigest = true});
        isAnswered = !this->isOverdue(candidate, now);
    }
    return plan;
}

bool AggregatorChoice::isOverdue(const std::string &daemon, core::TimePoint now)
{
    const auto [found, isNew] = this->aggregators.try_emplace(daemon, Aggregator{.askedSince = now, .lastAsked = now});
    Aggregator &aggregator = found->second;
    if (now - aggregator.lastAsked > this->options.answerTimeout) {
        aggregator.askedSince = now;
    }
    aggregator.lastAsked = now;
    return now - std::max(aggregator.lastAnswer, aggregator.askedSince) > this->options.answerTimeout;
}

void AggregatorChoice::digestReceived(std::string_view daemon, core::TimePoint now)
{
    const auto found = this->aggregators.find(daemon);
    if (found != this->aggregators.end()) {
        found->second.lastAnswer = now;
    }
}

}
