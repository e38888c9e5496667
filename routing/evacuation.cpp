#include "routing/evacuation.h"

namespace endiveshore::routing {

namespace {

/// Parts of the bound, in percent, after which a stage begins. A handover takes well under a second if a replica
/// elsewhere is close behind.
constexpr int ClosedAfterPercent = 40;
constexpr int SilentAfterPercent = 60;
constexpr int WholePercent = 100;

constexpr core::TimePoint LongAgo = core::TimePoint::min();

}

std::string_view stageName(EvacuationStage stage)
{
    switch (stage) {
    case EvacuationStage::None:
        return "none";
    case EvacuationStage::Draining:
        return "draining";
    case EvacuationStage::Closed:
        return "closed";
    case EvacuationStage::Silent:
        return "silent";
    }
    return {};
}

bool mayRunStatements(EvacuationStage stage)
{
    return stage < EvacuationStage::Closed;
}

bool mayQueryStatus(EvacuationStage stage)
{
    return stage < EvacuationStage::Silent;
}

EvacuationStage stageOf(const EvacuationStages &stages, std::string_view dataCentre)
{
    const auto found = stages.find(dataCentre);
    return found == stages.end() ? EvacuationStage::None : found->second;
}

EvacuationSchedule::EvacuationSchedule(core::Duration bound)
    : bound(bound)
{
}

void EvacuationSchedule::request(std::string_view dataCentre, core::TimePoint now)
{
    this->requestedAt.try_emplace(std::string(dataCentre), now);
}

void EvacuationSchedule::requestInForce(std::string_view dataCentre)
{
    this->requestedAt.insert_or_assign(std::string(dataCentre), LongAgo);
}

void EvacuationSchedule::withdraw(std::string_view dataCentre)
{
    const auto found = this->requestedAt.find(dataCentre);
    if (found != this->requestedAt.end()) {
        this->requestedAt.erase(found);
    }
}

EvacuationStages EvacuationSchedule::stages(core::TimePoint now) const
{
    EvacuationStages result;
    for (const auto &[dataCentre, requested] : this->requestedAt) {
        const EvacuationStage stage
            = requested == LongAgo ? EvacuationStage::Silent : this->stageAfter(now - requested);
        result.emplace(dataCentre, stage);
    }
    return result;
}

EvacuationStage EvacuationSchedule::stageAfter(core::Duration elapsed) const
{
    if (elapsed * WholePercent >= this->bound * SilentAfterPercent) {
        return EvacuationStage::Silent;
    }
    return elapsed * WholePercent >= this->bound * ClosedAfterPercent ? EvacuationStage::Closed
                                                                      : EvacuationStage::Draining;
}

}
