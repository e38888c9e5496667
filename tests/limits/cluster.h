#pragma once

#include "limits/allocatorlease.h"
#include "limits/shareallocator.h"
#include "limits/shareholder.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Simulated daemons that share the rate of one workspace over a faulty network.
namespace endiveshore::limits::simulation {

using core::Duration;
using core::Milliseconds;
using core::TimePoint;

/// Tracks the highest excess over a rate in any window. A leaky bucket that drains at the rate and overflows above the
/// burst is equivalent to checking all windows.
class WindowCheck
{
public:
    explicit WindowCheck(ShareLimits limits)
        : limits(limits)
    {
    }

    void spend(TimePoint now)
    {
        this->level = std::max(0.0, this->level - tokensIn(this->limits.ratePerSecond, now - this->last)) + 1;
        this->last = now;
        this->highest = std::max(this->highest, this->level);
    }

    bool held() const
    {
        return this->highest <= this->limits.burst + 1e-6;
    }

    double highest = 0;

private:
    ShareLimits limits;
    double level = 0;
    TimePoint last;
};

struct NetworkOptions
{
    double loss = 0;
    double duplication = 0;
    Milliseconds minimumDelay{1};
    Milliseconds maximumDelay{2};
    double longDelay = 0; ///< Fraction of messages that take up to 400 ms longer.
};

struct Counts
{
    int offered = 0;
    int taken = 0;
    int refused = 0;
    int refusedInsideRate = 0;
    int messages = 0;
};

class Cluster
{
public:
    static constexpr Duration Period = Milliseconds(1000);
    static constexpr Milliseconds CallerTimeout{500};
    static constexpr Milliseconds EndorsementInterval{250};

    Cluster(std::size_t size, ShareLimits limits, NetworkOptions network, std::uint64_t seed)
        : check(limits)
        , limits(limits)
        , network(network)
        , reference(limits, TimePoint())
        , random(seed)
    {
        this->blocked.assign(size, std::vector<bool>(size, false));
        this->nodes.resize(size);
        for (std::size_t index = 0; index < size; ++index) {
            this->start(index);
        }
    }

    /// Callers arrive at daemon @p index at @p ratePerSecond, as a Poisson process.
    void offer(std::size_t index, double ratePerSecond)
    {
        std::exponential_distribution<double> gap(ratePerSecond);
        this->at(this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->random))),
                 [this, index, ratePerSecond] {
                     this->arrive(index);
                     this->offer(index, ratePerSecond);
                 });
    }

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({time, this->eventCount++, std::move(action)});
    }

    void runFor(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (!this->events.empty() && this->events.top().time <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.action();
        }
        this->now = end;
    }

    void kill(std::size_t index)
    {
        this->nodes[index].alive = false;
    }

    void restart(std::size_t index)
    {
        this->start(index);
    }

    void pause(std::size_t index, Duration duration)
    {
        this->nodes[index].pausedUntil = this->now + duration;
    }

    void setKnownAllocator(std::size_t index, std::size_t allocator)
    {
        this->nodes[index].knownAllocator = allocator;
    }

    void block(std::size_t left, std::size_t right, bool blocks)
    {
        this->blocked[left][right] = blocks;
        this->blocked[right][left] = blocks;
    }

    std::size_t size() const
    {
        return this->nodes.size();
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    }

    /// Number of daemons that may grant now.
    std::size_t granting() const
    {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [this](const Node &node) {
            return node.alive && node.allocator->mayGrant(this->now);
        }));
    }

    TimePoint now;
    WindowCheck check;
    Counts counts;
    std::size_t mostGranting = 0;

private:
    struct Node
    {
        std::string id;
        std::uint64_t incarnation = 0;
        bool alive = false;
        TimePoint pausedUntil;
        std::size_t knownAllocator = 0;
        std::unique_ptr<EndorsementTable> endorsements;
        std::unique_ptr<AllocatorLease> lease;
        std::unique_ptr<ShareAllocator> allocator;
        std::unique_ptr<ShareHolder> holder;
        std::vector<bool> insideRate; ///< By caller: whether the reference bucket admitted the caller.
        TimePoint wake = TimePoint::max();
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(this->time, this->order) > std::tie(other.time, other.order);
        }
    };

    void start(std::size_t index)
    {
        Node &node = this->nodes[index];
        ++node.incarnation;
        node.id = "n" + std::to_string(index) + "/" + std::to_string(node.incarnation);
        node.alive = true;
        node.pausedUntil = this->now;
        node.endorsements = std::make_unique<EndorsementTable>(Period, this->now);
        node.lease = std::make_unique<AllocatorLease>(Period);
        node.allocator = std::make_unique<ShareAllocator>(this->limits, this->random());
        node.holder = std::make_unique<ShareHolder>("w", node.id);
        node.insideRate.clear();
        node.wake = TimePoint::max();
        this->requestEndorsements(index, node.incarnation);
    }

    /// Runs @p action at daemon @p index unless that incarnation has stopped; a paused daemon runs @p action after the
    /// pause.
    void atNode(std::size_t index, std::uint64_t incarnation, std::function<void(Node &)> action)
    {
        Node &node = this->nodes[index];
        if (!node.alive || node.incarnation != incarnation) {
            return;
        }
        if (this->now < node.pausedUntil) {
            this->at(node.pausedUntil, [this, index, incarnation, action = std::move(action)] {
                this->atNode(index, incarnation, action);
            });
            return;
        }
        action(node);
    }

    void send(std::size_t from, std::size_t to, std::function<void(Node &)> action)
    {
        ++this->counts.messages;
        const int copies = this->uniform() < this->network.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->uniform() < this->network.loss) {
                continue;
            }
            const Duration spread = this->network.maximumDelay - this->network.minimumDelay;
            Duration delay
                = this->network.minimumDelay + std::chrono::duration_cast<Duration>(this->uniform() * spread);
            if (this->uniform() < this->network.longDelay) {
                delay += std::chrono::duration_cast<Duration>(this->uniform() * Milliseconds(400));
            }
            const std::uint64_t incarnation = this->nodes[to].incarnation;
            this->at(this->now + (from == to ? Duration::zero() : delay), [this, from, to, incarnation, action] {
                if (from == to || !this->blocked[from][to]) {
                    this->atNode(to, incarnation, action);
                }
            });
        }
    }

    void requestEndorsements(std::size_t index, std::uint64_t incarnation)
    {
        this->atNode(index, incarnation, [this, index, incarnation](Node &node) {
            if (node.knownAllocator == index) {
                for (std::size_t member = 0; member < this->nodes.size(); ++member) {
                    this->requestEndorsement(index, incarnation, member, node.id);
                }
            }
            this->at(this->now + EndorsementInterval,
                     [this, index, incarnation] { this->requestEndorsements(index, incarnation); });
        });
    }

    void requestEndorsement(std::size_t index, std::uint64_t incarnation, std::size_t member, const std::string &id)
    {
        const TimePoint requestedAt = this->now;
        this->send(index, member, [this, index, incarnation, member, id, requestedAt](Node &endorser) {
            if (!endorser.endorsements->endorse("w", id, this->now)) {
                return;
            }
            this->send(member, index, [this, incarnation, member, requestedAt](Node &candidate) {
                if (candidate.incarnation != incarnation) {
                    return;
                }
                candidate.lease->recordEndorsement(std::to_string(member), requestedAt);
                candidate.allocator->extendLease(candidate.lease->heldUntil(this->nodes.size()), this->now);
                this->mostGranting = std::max(this->mostGranting, this->granting());
            });
        });
    }

    void arrive(std::size_t index)
    {
        const Node &target = this->nodes[index];
        if (!target.alive) {
            return;
        }
        ++this->counts.offered;
        const bool inside = this->reference.tryTake(1, this->now);
        this->atNode(index, target.incarnation, [this, index, inside](Node &node) {
            const ShareHolder::WaiterId caller = node.insideRate.size();
            node.insideRate.push_back(inside);
            const auto result = node.holder->acquire(caller, this->now + CallerTimeout, this->now);
            if (result == ShareHolder::Acquisition::Taken) {
                this->recordTaken();
            }
            if (result == ShareHolder::Acquisition::Refused) {
                this->recordRefused(inside);
            }
            this->drive(index);
        });
    }

    void drive(std::size_t index)
    {
        Node &node = this->nodes[index];
        for (std::size_t served = node.holder->takeServed().size(); served > 0; --served) {
            this->recordTaken();
        }
        for (const ShareHolder::WaiterId caller : node.holder->takeExpired(this->now)) {
            this->recordRefused(node.insideRate[caller]);
        }
        if (const std::optional<ShareRequest> request = node.holder->nextRequest(this->now)) {
            this->sendRequest(index, *request);
        }
        const std::optional<TimePoint> wake = node.holder->nextWake(this->now);
        if (!wake || (*wake >= node.wake && node.wake > this->now)) {
            return;
        }
        const TimePoint wakeAt = std::max(*wake, this->now + Milliseconds(1));
        node.wake = wakeAt;
        const std::uint64_t incarnation = node.incarnation;
        this->at(wakeAt, [this, index, incarnation, wakeAt] {
            this->atNode(index, incarnation, [this, index, wakeAt](Node &woken) {
                // A newer wake-up with an earlier time has replaced the wake-up that fires now.
                if (woken.wake != wakeAt) {
                    return;
                }
                woken.wake = TimePoint::max();
                this->drive(index);
            });
        });
    }

    void sendRequest(std::size_t index, const ShareRequest &request)
    {
        const std::size_t allocator = this->nodes[index].knownAllocator;
        this->send(index, allocator, [this, index, allocator, request](Node &node) {
            const ShareGrant grant = node.allocator->handle(request, this->now);
            this->send(allocator, index, [this, index, request, grant](Node &requester) {
                if (requester.id == request.holder) {
                    requester.holder->onGrant(grant, this->now);
                    this->drive(index);
                }
            });
        });
    }

    void recordTaken()
    {
        ++this->counts.taken;
        this->check.spend(this->now);
    }

    void recordRefused(bool inside)
    {
        ++this->counts.refused;
        this->counts.refusedInsideRate += inside ? 1 : 0;
    }

    ShareLimits limits;
    NetworkOptions network;
    TokenBucket reference;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::vector<std::vector<bool>> blocked;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventCount = 0;
};

}
