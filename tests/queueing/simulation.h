#pragma once

#include "queueing/fairqueue.h"
#include "queueing/slotaccount.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Discrete-event simulation of one backend server under an arrival process per workspace.
namespace endiveshore::queueing::simulation {

using core::TimePoint;

struct Load
{
    std::string name;
    double weight = 1;
    double ratePerSecond = 0;
    Cost meanCost{5000};
    Priority priority = Priority::Read;
    Cost from{}; ///< Time at which arrivals begin.
};

struct Item
{
    std::size_t load = 0;
    TimePoint deadline;
    Cost cost{};
    bool probe = false;
};

/// First-in-first-out queue with deadlines, used as the baseline.
class FifoQueue
{
public:
    using Dispatched = FairQueue<Item>::Dispatched;

    void setWeight(std::string_view, double)
    {
    }
    void setSlots(unsigned)
    {
    }
    PushResult push(Item &&item, const QueueTicket &, TimePoint)
    {
        this->items.push_back(item);
        return PushResult::Queued;
    }
    std::optional<Dispatched> pop(TimePoint now)
    {
        while (!this->items.empty()) {
            const Item item = this->items.front();
            this->items.pop_front();
            if (item.deadline >= now) {
                return Dispatched{.item = item};
            }
        }
        return std::nullopt;
    }
    void complete(const QueueCharge &, Cost)
    {
    }
    std::vector<Item> takeExpired(TimePoint)
    {
        return {};
    }

private:
    std::deque<Item> items;
};

struct Tally
{
    Cost offered{};
    Cost served{};
    int refusedEarly = 0;
    int refusedFull = 0;
    int servedCount = 0;
    int queued = 0;
    bool becameEmpty = false; ///< The queue of the workspace was empty after an event.
};

/// Copyable, so that a test can continue from one state in two ways.
template<typename Queue>
class Simulation
{
public:
    Simulation(std::vector<Load> loads, unsigned slots, Cost timeout, std::uint64_t seed)
        : tallies(loads.size())
        , loads(std::move(loads))
        , slots(slots)
        , timeout(timeout)
    {
        this->queue.setSlots(slots);
        for (std::size_t load = 0; load < this->loads.size(); ++load) {
            this->queue.setWeight(this->loads[load].name, this->loads[load].weight);
            this->generators.emplace_back(seed * 1000 + load);
            if (this->loads[load].ratePerSecond > 0) {
                this->scheduleArrival(load, TimePoint() + this->loads[load].from);
            }
        }
    }

    /// Runs until @p end, or until the probe item has started.
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.top().at <= end && !this->probeStart) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (event.completes) {
                this->slots.release();
                this->queue.complete(event.charge, event.cost);
            } else {
                this->arrive(event.load);
            }
            this->serve();
        }
        this->now = end;
    }

    std::vector<Tally> tallies;
    /// Called with each item that is refused for its deadline, before any other event.
    std::function<void(const Simulation &, const Item &)> onEarlyRefusal;

    /// Time at which @p item would start if it was queued now in spite of the estimated wait; std::nullopt if the
    /// item would not start by its deadline.
    std::optional<TimePoint> startIfQueued(Item item) const
    {
        Simulation copy = *this;
        copy.onEarlyRefusal = nullptr;
        item.probe = true;
        const TimePoint deadline = std::exchange(item.deadline, TimePoint::max());
        const Load &load = copy.loads[item.load];
        const PushResult result
            = copy.queue.push(std::move(item),
                              {.workspace = load.name, .priority = load.priority, .deadline = TimePoint::max()},
                              copy.now);
        if (result != PushResult::Queued) {
            return std::nullopt;
        }
        copy.serve();
        copy.runUntil(deadline);
        return copy.probeStart;
    }

    /// True if the queue of workspace @p load becomes empty before @p end.
    bool becomesEmpty(std::size_t load, TimePoint end) const
    {
        Simulation copy = *this;
        copy.onEarlyRefusal = nullptr;
        copy.tallies[load].becameEmpty = false;
        copy.runUntil(end);
        return copy.tallies[load].becameEmpty;
    }

private:
    struct Event
    {
        TimePoint at;
        bool completes = false;
        std::size_t load = 0;
        Cost cost{};
        QueueCharge charge;

        bool operator>(const Event &other) const
        {
            return this->at > other.at;
        }
    };

    void countExpired()
    {
        for (const Item &item : this->queue.takeExpired(this->now)) {
            --this->tallies[item.load].queued;
        }
    }

    Cost draw(std::size_t load, double meanMicroseconds)
    {
        std::exponential_distribution<double> distribution(1 / meanMicroseconds);
        return Cost(1 + static_cast<Cost::rep>(distribution(this->generators[load])));
    }

    void scheduleArrival(std::size_t load, TimePoint from)
    {
        this->events.push({.at = from + this->draw(load, 1e6 / this->loads[load].ratePerSecond), .load = load});
    }

    void arrive(std::size_t load)
    {
        const Load &source = this->loads[load];
        this->scheduleArrival(load, this->now);
        Item item{.load = load,
                  .deadline = this->now + this->timeout,
                  .cost = this->draw(load, static_cast<double>(source.meanCost.count()))};
        Tally &tally = this->tallies[load];
        tally.offered += item.cost;
        const PushResult result = this->queue.push(
            std::move(item),
            {.workspace = source.name, .priority = source.priority, .deadline = this->now + this->timeout},
            this->now);
        tally.queued += result == PushResult::Queued ? 1 : 0;
        tally.refusedFull += result == PushResult::QueueFull ? 1 : 0;
        if (result == PushResult::DeadlineTooSoon) {
            ++tally.refusedEarly;
            if (this->onEarlyRefusal) {
                this->onEarlyRefusal(*this, item);
            }
        }
    }

    void serve()
    {
        while (this->slots.tryAcquire()) {
            const auto next = this->queue.pop(this->now);
            if (!next) {
                this->slots.release();
                break;
            }
            if (next->item.probe) {
                this->probeStart = this->now;
            }
            Tally &tally = this->tallies[next->item.load];
            --tally.queued;
            tally.served += next->item.cost;
            ++tally.servedCount;
            this->events.push({.at = this->now + next->item.cost,
                               .completes = true,
                               .load = next->item.load,
                               .cost = next->item.cost,
                               .charge = next->charge});
        }
        this->countExpired();
        for (Tally &tally : this->tallies) {
            tally.becameEmpty = tally.becameEmpty || tally.queued == 0;
        }
    }

    std::vector<Load> loads;
    std::vector<std::mt19937_64> generators;
    Queue queue;
    SlotAccount slots;
    Cost timeout;
    TimePoint now;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::optional<TimePoint> probeStart;
};

}
