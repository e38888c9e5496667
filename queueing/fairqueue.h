#pragma once

#include "core/time.h"
#include "queueing/fairschedule.h"

#include <algorithm>
#include <array>
#include <deque>
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
        const auto priority = static_cast<std::size_t>(ticket.priority);
        const Cost wait = this->estimatedWait(flow, priority);
        if (ticket.deadline < now || wait > this->options.refusalMargin * (ticket.deadline - now)) {
            return PushResult::DeadlineTooSoon;
        }
        const Cost cost = ticket.estimatedCost.value_or(this->schedule.estimatedCost(flow));
        workspaceQueue.classes[priority].push_back(
            Entry{.item = std::move(item), .deadline = ticket.deadline, .queuedAt = now, .cost = cost});
        workspaceQueue.queuedCost[priority] += cost;
        ++workspaceQueue.length;
        ++this->length;
        this->schedule.enqueue(flow, cost);
        this->schedule.setHead(flow, this->headOf(workspaceQueue));
        return PushResult::Queued;
    }

    /// Next item to run, or std::nullopt. Items whose deadline has passed are kept for takeExpired().
    std::optional<Dispatched> pop(core::TimePoint now)
    {
        while (const std::optional<FlowId> flow = this->schedule.choose()) {
            WorkspaceQueue &workspaceQueue = this->workspaceQueues[*flow];
            const Priority head = *this->headOf(workspaceQueue);
            Entry entry = this->takeFront(workspaceQueue, head);
            if (entry.deadline < now) {
                this->schedule.withdraw(*flow, entry.cost);
                this->schedule.setHead(*flow, this->headOf(workspaceQueue));
                this->removed.push_back(std::move(entry.item));
                continue;
            }
            this->countOvertakes(workspaceQueue, head);
            workspaceQueue.rate.add(now, entry.cost, workspaceQueue.length > 0);
            this->schedule.dispatch(*flow, entry.cost);
            this->schedule.setHead(*flow, this->headOf(workspaceQueue));
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

    /// Removes and returns all items whose deadline has passed.
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
            for (const std::deque<Entry> &queue : workspaceQueue.classes) {
                for (const Entry &entry : queue) {
                    earliest = earliest ? std::min(*earliest, entry.deadline) : entry.deadline;
                }
            }
        }
        return earliest;
    }

    /// Estimated wait of a new item of @p workspace.
    Cost estimatedWait(std::string_view workspace, Priority priority)
    {
        return this->estimatedWait(this->flowOf(workspace), static_cast<std::size_t>(priority));
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

    /// Queues of one workspace, one for each priority class.
    struct WorkspaceQueue
    {
        std::array<std::deque<Entry>, PriorityCount> classes;
        std::array<Cost, PriorityCount> queuedCost{};
        std::array<unsigned, PriorityCount> overtaken{};
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

    /// Priority class to serve next: the most urgent class with items, unless a less urgent class has been overtaken
    /// too often.
    std::optional<Priority> headOf(const WorkspaceQueue &workspaceQueue) const
    {
        std::optional<Priority> head;
        for (std::size_t index = 0; index < PriorityCount; ++index) {
            if (workspaceQueue.classes[index].empty()) {
                continue;
            }
            if (!head || workspaceQueue.overtaken[index] >= this->options.maximumOvertakes) {
                head = static_cast<Priority>(index);
            }
        }
        return head;
    }

    static Cost costAhead(const WorkspaceQueue &workspaceQueue, std::size_t priority)
    {
        Cost ahead{};
        for (std::size_t index = 0; index <= priority; ++index) {
            ahead += workspaceQueue.queuedCost[index];
        }
        return ahead;
    }

    /// The larger of two estimates: the wait if no other item arrives, and the wait at the workspace's recent service
    /// rate. The first estimate alone is far too low while other workspaces have short queues but keep sending.
    Cost estimatedWait(FlowId flow, std::size_t priority) const
    {
        const WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        Cost ahead{};
        for (std::size_t index = 0; index <= priority; ++index) {
            ahead += workspaceQueue.queuedCost[index];
        }
        return std::max(this->schedule.estimatedWait(flow, ahead), workspaceQueue.rate.waitBehind(ahead));
    }

    Entry takeFront(WorkspaceQueue &workspaceQueue, Priority priority)
    {
        const auto index = static_cast<std::size_t>(priority);
        Entry entry = std::move(workspaceQueue.classes[index].front());
        workspaceQueue.classes[index].pop_front();
        this->accountRemoval(workspaceQueue, index, entry.cost);
        return entry;
    }

    void accountRemoval(WorkspaceQueue &workspaceQueue, std::size_t index, Cost cost)
    {
        workspaceQueue.queuedCost[index] -= cost;
        --workspaceQueue.length;
        --this->length;
    }

    void countOvertakes(WorkspaceQueue &workspaceQueue, Priority served)
    {
        const auto index = static_cast<std::size_t>(served);
        workspaceQueue.overtaken[index] = 0;
        for (std::size_t lower = index + 1; lower < PriorityCount; ++lower) {
            workspaceQueue.overtaken[lower] += workspaceQueue.classes[lower].empty() ? 0 : 1;
        }
    }

    template<typename Predicate>
    void removeIf(FlowId flow, Predicate remove)
    {
        WorkspaceQueue &workspaceQueue = this->workspaceQueues[flow];
        for (std::size_t index = 0; index < PriorityCount; ++index) {
            std::deque<Entry> &queue = workspaceQueue.classes[index];
            const auto firstRemoved = std::stable_partition(queue.begin(), queue.end(), std::not_fn(remove));
            for (auto entry = firstRemoved; entry != queue.end(); ++entry) {
                this->accountRemoval(workspaceQueue, index, entry->cost);
                this->schedule.withdraw(flow, entry->cost);
                this->removed.push_back(std::move(entry->item));
            }
            queue.erase(firstRemoved, queue.end());
        }
        this->schedule.setHead(flow, this->headOf(workspaceQueue));
    }

    FairQueueOptions options;
    FairSchedule schedule;
    std::vector<WorkspaceQueue> workspaceQueues;
    std::vector<Item> removed; ///< Returned by the next takeExpired() or takeAll().
    std::size_t length = 0;
};

}
