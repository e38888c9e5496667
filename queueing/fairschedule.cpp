#include "queueing/fairschedule.h"

#include <algorithm>
#include <cmath>

namespace endiveshore::queueing {

namespace {

double toDouble(Cost cost)
{
    return static_cast<double>(cost.count());
}

Cost toCost(double microseconds)
{
    return Cost(static_cast<Cost::rep>(std::llround(microseconds)));
}

}

std::size_t Urgency::level() const
{
    if (this->priority == Priority::TransactionInProgress) {
        return 0;
    }
    return this->rank.value_or(0) * (PriorityCount - 1) + static_cast<std::size_t>(this->priority);
}

double Urgency::lead() const
{
    if (this->priority == Priority::TransactionInProgress || !this->rank) {
        // 1 for the most urgent class, 0 for the least urgent class.
        return 1.0 - static_cast<double>(this->priority) / static_cast<double>(PriorityCount - 1);
    }
    return std::ldexp(1.0, -static_cast<int>(*this->rank));
}

FairSchedule::FairSchedule(FairScheduleOptions options)
    : options(options)
{
}

FlowId FairSchedule::flow(std::string_view workspace)
{
    const auto found = this->index.find(workspace);
    if (found != this->index.end()) {
        return found->second;
    }
    const FlowId created = this->flows.size();
    this->flows.push_back(
        Flow{.workspace = std::string(workspace), .averageCost = toDouble(this->options.initialCost)});
    this->index.emplace(workspace, created);
    return created;
}

const std::string &FairSchedule::workspace(FlowId flow) const
{
    return this->flows[flow].workspace;
}

std::size_t FairSchedule::flowCount() const
{
    return this->flows.size();
}

void FairSchedule::setWeight(FlowId flow, double weight)
{
    this->flows[flow].weight = weight > 0 ? weight : 1;
}

void FairSchedule::setSlots(unsigned slots)
{
    this->options.slots = slots;
}

Cost FairSchedule::estimatedCost(FlowId flow) const
{
    return toCost(this->flows[flow].averageCost);
}

void FairSchedule::enqueue(FlowId flow, Cost cost)
{
    Flow &entry = this->flows[flow];
    if (entry.queued == 0) {
        entry.tag = std::max(entry.tag, this->virtualTime);
    }
    ++entry.queued;
    entry.queuedCost += toDouble(cost);
}

void FairSchedule::withdraw(FlowId flow, Cost cost)
{
    Flow &entry = this->flows[flow];
    --entry.queued;
    entry.queuedCost = entry.queued == 0 ? 0 : entry.queuedCost - toDouble(cost);
}

void FairSchedule::setHead(FlowId flow, std::optional<Urgency> head)
{
    this->flows[flow].lead = head ? head->lead() : 0;
}

std::optional<FlowId> FairSchedule::choose() const
{
    double activeWeight = 0;
    for (const Flow &flow : this->flows) {
        activeWeight += flow.queued > 0 || flow.inFlight > 0 ? flow.weight : 0;
    }
    std::optional<FlowId> best;
    bool bestBelowShare = false;
    for (FlowId id = 0; id < this->flows.size(); ++id) {
        const Flow &flow = this->flows[id];
        if (flow.queued == 0) {
            continue;
        }
        const bool belowShare = flow.inFlight < this->shareOfSlots(flow, activeWeight);
        const bool better = !best || (belowShare && !bestBelowShare)
            || (belowShare == bestBelowShare && this->choiceTag(flow) < this->choiceTag(this->flows[*best]));
        if (better) {
            best = id;
            bestBelowShare = belowShare;
        }
    }
    return best;
}

void FairSchedule::dispatch(FlowId flow, Cost cost)
{
    double lowestTag = this->flows[flow].tag;
    for (const Flow &entry : this->flows) {
        if (entry.queued > 0) {
            lowestTag = std::min(lowestTag, entry.tag);
        }
    }
    this->virtualTime = std::max(this->virtualTime, lowestTag);
    this->withdraw(flow, cost);
    Flow &entry = this->flows[flow];
    entry.tag += toDouble(cost) / entry.weight;
    ++entry.inFlight;
}

void FairSchedule::complete(FlowId flow, Cost charged, Cost actual)
{
    Flow &entry = this->flows[flow];
    if (entry.inFlight > 0) {
        --entry.inFlight;
    }
    entry.tag += toDouble(actual - charged) / entry.weight;
    if (actual == Cost::zero()) {
        return;
    }
    entry.averageCost += this->options.costSmoothing * (toDouble(actual) - entry.averageCost);
}

Cost FairSchedule::estimatedWait(FlowId flow, Cost ownCost) const
{
    if (this->options.slots == 0) {
        return Cost::zero();
    }
    const Flow &own = this->flows[flow];
    const double ownTag = own.queued > 0 ? own.tag : std::max(own.tag, this->virtualTime);
    const double startTag = ownTag + toDouble(ownCost) / own.weight;
    double workAhead = toDouble(ownCost);
    for (FlowId id = 0; id < this->flows.size(); ++id) {
        const Flow &other = this->flows[id];
        if (id == flow || other.queued == 0) {
            continue;
        }
        workAhead += std::clamp((startTag - other.tag) * other.weight, 0.0, other.queuedCost);
    }
    return toCost(workAhead / this->options.slots);
}

unsigned FairSchedule::inFlight(FlowId flow) const
{
    return this->flows[flow].inFlight;
}

double FairSchedule::shareOfSlots(const Flow &flow, double activeWeight) const
{
    // Rounded up, so that the limit is never below the fractional share of a workspace.
    return std::max(1.0, std::ceil(this->options.slots * flow.weight / activeWeight - 1e-9));
}

double FairSchedule::choiceTag(const Flow &flow) const
{
    return flow.tag - flow.lead * toDouble(this->options.urgencyLead) / flow.weight;
}

}
