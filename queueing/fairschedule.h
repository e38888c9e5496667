#pragma once

#include "core/priority.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Fair queueing of statements by workspace, and accounting of a backend server's slots.
namespace endiveshore::queueing {

/// Slot time of a statement.
using Cost = std::chrono::microseconds;

/// Index of a workspace in a FairSchedule.
using FlowId = std::size_t;

/// Priority classes, most urgent first.
enum class Priority {
    TransactionInProgress, ///< The transaction holds a connection and locks.
    Write,
    Read,
    StaleRead, ///< A read that may be stale, so that another server can answer it.
};

inline constexpr std::size_t PriorityCount = 4;

/// Urgency of an item: its class and, where operators rank routes, the rank of its route. Ranked items are ordered by
/// rank and within a rank by class, but statements of open transactions come first whatever their rank.
struct Urgency
{
    Priority priority = Priority::Read;
    std::optional<core::PriorityRank> rank;

    /// Order within one workspace; lower is more urgent.
    std::size_t level() const;

    /// Part of the urgency lead by which the item may go ahead of the turn of its workspace. Halves with each rank, so
    /// that the most urgent ranks are told apart best.
    double lead() const;
};

struct FairScheduleOptions
{
    unsigned slots = 1;
    Cost initialCost{5000}; ///< Estimate for a workspace without completed statements.
    double costSmoothing = 0.1; ///< Weight of a new sample in the moving average of the cost.
    Cost urgencyLead{20000}; ///< Maximum slot time by which the most urgent class is served ahead of its turn.
};

/// Start-time fair queueing over workspaces: accounts for the slot time of each workspace and chooses the workspace to
/// serve. The caller holds the queued items.
///
/// Every workspace has a start tag in virtual time that grows by slot time divided by weight. The backlogged workspace
/// with the lowest tag is served next. The estimated cost of an item is charged at dispatch and corrected at
/// completion. A workspace that was idle starts at the current virtual time and so has no credit. An urgent item lowers
/// the tag of its workspace for the choice by at most `urgencyLead` but is charged in full, so priority classes change
/// the order and not the shares.
class FairSchedule
{
public:
    explicit FairSchedule(FairScheduleOptions options);

    /// Flow of @p workspace, created with weight 1 if the workspace is new.
    FlowId flow(std::string_view workspace);

    const std::string &workspace(FlowId flow) const;
    std::size_t flowCount() const;

    /// Weights that are not positive count as 1.
    void setWeight(FlowId flow, double weight);

    /// Number of slots that the owner may use now. Zero disables wait estimates.
    void setSlots(unsigned slots);

    /// Expected slot time of the next statement of @p flow.
    Cost estimatedCost(FlowId flow) const;

    void enqueue(FlowId flow, Cost cost);

    /// Removes a queued item that was not dispatched.
    void withdraw(FlowId flow, Cost cost);

    /// Sets the urgency of the item that @p flow dispatches next; std::nullopt if the flow has no queued item.
    void setHead(FlowId flow, std::optional<Urgency> head);

    /// Flow to serve next. A flow whose items in flight fill its share of the slots waits while a flow below its share
    /// is backlogged. If only flows that fill their shares are backlogged, these flows are served.
    std::optional<FlowId> choose() const;

    /// Moves one item of @p flow from the queue to the slots.
    void dispatch(FlowId flow, Cost cost);

    /// Replaces the charge of a dispatched item by its actual slot time. Zero means that the item was not sent; such
    /// an item does not enter the average cost.
    void complete(FlowId flow, Cost charged, Cost actual);

    /// Optimistic estimate of the wait of a new item of @p flow behind @p ownCost of the flow's own queued slot time:
    /// the estimate assumes that no other item arrives and that the items in flight end at once.
    Cost estimatedWait(FlowId flow, Cost ownCost) const;

    unsigned inFlight(FlowId flow) const;

private:
    struct Flow
    {
        std::string workspace;
        double weight = 1;
        double tag = 0; ///< Start tag of the next item, in microseconds of slot time per unit of weight.
        double queuedCost = 0;
        std::size_t queued = 0;
        unsigned inFlight = 0;
        double averageCost = 0;
        double lead = 0; ///< Urgency::lead() of the next item.
    };

    double shareOfSlots(const Flow &flow, double activeWeight) const;
    double choiceTag(const Flow &flow) const;

    FairScheduleOptions options;
    std::vector<Flow> flows;
    std::map<std::string, FlowId, std::less<>> index;
    double virtualTime = 0;
};

}
