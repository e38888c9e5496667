#pragma once

#include "core/time.h"
#include "queueing/fairschedule.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>

namespace endiveshore::queueing {

struct FairQueueOptions
{
    FairScheduleOptions schedule;
    std::size_t maximumPerWorkspace = 512; ///< Maximum number of queued items of one workspace.
    /// Maximum number of items of more urgent classes that overtake a waiting class of the same workspace before an
    /// item of that class is served.
    unsigned maximumOvertakes = 8;
    /// An item is refused early if the estimated wait is more than this multiple of the time to its deadline. An
    /// estimate that is too high by chance refuses an item that could have run: in simulations, the queue of the
    /// workspace ran empty after 1 of 1,321 refusals with 1.25 and after none of 1,173 with 1.5.
    double refusalMargin = 1.5;
};

enum class PushResult {
    Queued,
    QueueFull, ///< The workspace has too many queued items.
    DeadlineTooSoon, ///< The item is not expected to start by its deadline.
};

/// Scheduling parameters of an item.
struct QueueTicket
{
    std::string_view workspace;
    Priority priority = Priority::Read;
    std::optional<core::PriorityRank> rank; ///< Rank of the route where operators rank routes.
    core::TimePoint deadline; ///< Latest start; the caller subtracts the time needed after the start.
    std::optional<Cost> estimatedCost; ///< Expected slot time; absent to use the average of the workspace.
};

/// Charge for a dispatched item, to be passed to FairQueue::complete().
struct QueueCharge
{
    FlowId flow = 0;
    Cost charged{};
};

/// Fair queue of one backend server. Reads no clock: the owner passes the time and calls pop() when a slot is free.
template<typename Item>
class FairQueue
{
public:
    struct Dispatched
    {
        Item item;
        QueueCharge charge;
        core::Duration waited{};
    };

    explicit FairQueue(FairQueueOptions options = {})
        : options(options)
        , schedule(options.schedule)
    {
    }

    void setWeight(std::string_view workspace, double weight)
    {
        this->schedule.setWeight(this->flowOf(workspace), weight);
    }

    void setSlots(unsigned slots)
    {
        this->schedule.setSlots(slots);
    }

    /// Queues @p item. Moves from @p item only if the result is Queued.
    PushResult push(Item &&item, const QueueTicket &ticket, core::TimePoint now)
    {
        const FlowId flow = this->flowOf(ticket.workspace);
        WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        if (workspaceQueue.length >= this->options.maximumPerWorkspace) {
            return PushResult::QueueFull;
        }
        const Urgency urgency{.priority = ticket.priority, .rank = ticket.rank};
        if (this->isHopeless(flow, urgency.level(), ticket.deadline, now)) {
            return PushResult::DeadlineTooSoon;
        }
        const Cost cost = ticket.estimatedCost.value_or(this->schedule.estimatedCost(flow));
        Level &level = workspaceQueue.levels[urgency.level()];
        level.urgency = urgency;
        level.items.push_back(
            Entry{.item = std::move(item), .deadline = ticket.deadline, .queuedAt = now, .cost = cost});
        level.queuedCost += cost;
        ++workspaceQueue.length;
        ++this->length;
        this->schedule.enqueue(flow, cost);
        if (ticket.rank) {
            this->refuseOvertaken(flow, urgency.level(), now);
        }
        this->schedule.setHead(flow, this->headUrgency(workspaceQueue));
        return PushResult::Queued;
    }

    /// Next item to run, or std::nullopt. Items whose deadline has passed are kept for takeExpired().
    std::optional<Dispatched> pop(core::TimePoint now)
    {
        while (const std::optional<FlowId> flow = this->schedule.choose()) {
            WorkspaceQueue &workspaceQueue = this->workspaceQueues[*flow];
            const auto head = this->headOf(workspaceQueue);
            Entry entry = std::move(head->second.items.front());
            head->second.items.pop_front();
            this->accountRemoval(workspaceQueue, head->second, entry.cost);
            if (entry.deadline < now) {
                this->schedule.withdraw(*flow, entry.cost);
                this->schedule.setHead(*flow, this->headUrgency(workspaceQueue));
                this->removed.push_back(std::move(entry.item));
                continue;
            }
            this->countOvertakes(workspaceQueue, head);
            workspaceQueue.rate.add(now, entry.cost, workspaceQueue.length > 0);
            this->schedule.dispatch(*flow, entry.cost);
            this->schedule.setHead(*flow, this->headUrgency(workspaceQueue));
            return Dispatched{.item = std::move(entry.item),
                              .charge = {.flow = *flow, .charged = entry.cost},
                              .waited = now - entry.queuedAt};
        }
        return std::nullopt;
    }

    /// Replaces the charge of a dispatched item by its actual slot time, or by zero if the item was never sent.
    void complete(const QueueCharge &charge, Cost actual)
    {
        this->schedule.complete(charge.flow, charge.charged, actual);
    }

    /// Removes and returns all items whose deadline has passed, and the ranked items that can no longer start by their
    /// deadline because more urgent items came after them.
    std::vector<Item> takeExpired(core::TimePoint now)
    {
        for (FlowId flow = 0; flow < this->workspaceQueues.size(); ++flow) {
            this->removeIf(flow, [now](const Entry &entry) { return entry.deadline < now; });
        }
        return std::exchange(this->removed, {});
    }

    /// Removes and returns all items, for example when the server moves to another home.
    std::vector<Item> takeAll()
    {
        for (FlowId flow = 0; flow < this->workspaceQueues.size(); ++flow) {
            this->removeIf(flow, [](const Entry &) { return true; });
        }
        return std::exchange(this->removed, {});
    }

    /// Earliest deadline of a queued item.
    std::optional<core::TimePoint> nextDeadline() const
    {
        std::optional<core::TimePoint> earliest;
        for (const WorkspaceQueue &workspaceQueue : this->workspaceQueues) {
            for (const auto &[number, level] : workspaceQueue.levels) {
                for (const Entry &entry : level.items) {
                    earliest = earliest ? std::min(*earliest, entry.deadline) : entry.deadline;
                }
            }
        }
        return earliest;
    }

    /// Estimated wait of a new item of @p workspace.
    Cost estimatedWait(std::string_view workspace, Urgency urgency)
    {
        return this->estimatedWait(this->flowOf(workspace), urgency.level());
    }

    std::size_t size() const
    {
        return this->length;
    }

    bool empty() const
    {
        return this->length == 0;
    }

private:
    struct Entry
    {
        Item item;
        core::TimePoint deadline;
        core::TimePoint queuedAt;
        Cost cost{};
    };

    /// Recent rate at which a backlogged workspace is served: slot time per elapsed time.
    struct ServiceRate
    {
        std::optional<core::TimePoint> previous; ///< Last dispatch, if the queue was not empty after it.
        double elapsed = 0;
        double served = 0;
        unsigned samples = 0;

        void add(core::TimePoint now, Cost cost, bool itemsLeft)
        {
            // Averages about the last hundred dispatches. Fewer dispatches make the estimate, and so the refusals, too
            // noisy.
            constexpr double Decay = 0.99;
            if (this->previous) {
                const std::chrono::duration<double, std::micro> interval = now - *this->previous;
                this->elapsed = Decay * this->elapsed + interval.count();
                this->served = Decay * this->served + static_cast<double>(cost.count());
                ++this->samples;
            }
            this->previous = itemsLeft ? std::optional(now) : std::nullopt;
            if (!itemsLeft) {
                // The rate at which the next backlog is served depends on the other workspaces at that time.
                *this = {};
            }
        }

        Cost waitBehind(Cost ahead) const
        {
            constexpr unsigned MinimumSamples = 20;
            if (this->samples < MinimumSamples || this->served <= 0) {
                return Cost::zero();
            }
            return Cost(static_cast<Cost::rep>(static_cast<double>(ahead.count()) * this->elapsed / this->served));
        }
    };

    /// Queued items of one workspace and urgency, in order of arrival.
    struct Level
    {
        Urgency urgency;
        std::deque<Entry> items;
        Cost queuedCost{};
        unsigned overtaken = 0;
    };

    using Levels = std::map<std::size_t, Level>; ///< By Urgency::level(); only those that were used.

    struct WorkspaceQueue
    {
        Levels levels;
        ServiceRate rate;
        std::size_t length = 0;
    };

    FlowId flowOf(std::string_view workspace)
    {
        const FlowId flow = this->schedule.flow(workspace);
        if (flow >= this->workspaceQueues.size()) {
            this->workspaceQueues.resize(flow + 1);
        }
        return flow;
    }

    /// Level to serve next: the most urgent level with items, unless a less urgent one has been overtaken too often.
    /// The end of the levels if there is no item.
    typename Levels::iterator headOf(WorkspaceQueue &workspaceQueue) const
    {
        auto head = workspaceQueue.levels.end();
        for (auto level = workspaceQueue.levels.begin(); level != workspaceQueue.levels.end(); ++level) {
            if (level->second.items.empty()) {
                continue;
            }
            if (head == workspaceQueue.levels.end() || level->second.overtaken >= this->options.maximumOvertakes) {
                head = level;
            }
        }
        return head;
    }

    std::optional<Urgency> headUrgency(WorkspaceQueue &workspaceQueue) const
    {
        const auto head = this->headOf(workspaceQueue);
        return head == workspaceQueue.levels.end() ? std::nullopt : std::optional(head->second.urgency);
    }

    /// The larger of two estimates: the wait if no other item arrives, and the wait at the workspace's recent service
    /// rate. The first estimate alone is far too low while other workspaces have short queues but keep sending.
    Cost estimatedWait(FlowId flow, std::size_t level) const
    {
        const WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        Cost ahead{};
        for (const auto &[number, other] : workspaceQueue.levels) {
            ahead += number <= level ? other.queuedCost : Cost::zero();
        }
        return std::max(this->schedule.estimatedWait(flow, ahead), workspaceQueue.rate.waitBehind(ahead));
    }

    bool isHopeless(FlowId flow, std::size_t level, core::TimePoint deadline, core::TimePoint now) const
    {
        return deadline < now || this->estimatedWait(flow, level) > this->options.refusalMargin * (deadline - now);
    }

    /// Refuses the latest items of less urgent levels than @p added that can no longer start by their deadline, least
    /// urgent first, so that their callers do not wait in vain.
    void refuseOvertaken(FlowId flow, std::size_t added, core::TimePoint now)
    {
        WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        for (auto level = workspaceQueue.levels.rbegin(); level != workspaceQueue.levels.rend(); ++level) {
            if (level->first <= added) {
                return;
            }
            std::deque<Entry> &items = level->second.items;
            while (!items.empty() && this->isHopeless(flow, level->first, items.back().deadline, now)) {
                Entry entry = std::move(items.back());
                items.pop_back();
                this->accountRemoval(workspaceQueue, level->second, entry.cost);
                this->schedule.withdraw(flow, entry.cost);
                this->removed.push_back(std::move(entry.item));
            }
        }
    }

    void accountRemoval(WorkspaceQueue &workspaceQueue, Level &level, Cost cost)
    {
        level.queuedCost -= cost;
        --workspaceQueue.length;
        --this->length;
    }

    void countOvertakes(WorkspaceQueue &workspaceQueue, typename Levels::iterator served)
    {
        served->second.overtaken = 0;
        for (auto lower = std::next(served); lower != workspaceQueue.levels.end(); ++lower) {
            lower->second.overtaken += lower->second.items.empty() ? 0 : 1;
        }
    }

    template<typename Predicate>
    void removeIf(FlowId flow, Predicate remove)
    {
        WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        for (auto &[number, level] : workspaceQueue.levels) {
            std::deque<Entry> &queue = level.items;
            const auto firstRemoved = std::stable_partition(queue.begin(), queue.end(), std::not_fn(remove));
            for (auto entry = firstRemoved; entry != queue.end(); ++entry) {
                this->accountRemoval(workspaceQueue, level, entry->cost);
                this->schedule.withdraw(flow, entry->cost);
                this->removed.push_back(std::move(entry->item));
            }
            queue.erase(firstRemoved, queue.end());
        }
        this->schedule.setHead(flow, this->headUrgency(workspaceQueue));
    }

    FairQueueOptions options;
    FairSchedule schedule;
    std::vector<WorkspaceQueue> workspaceQueues;
    std::vector<Item> removed; ///< Returned by the next takeExpired() or takeAll().
    std::size_t length = 0;
};

}
