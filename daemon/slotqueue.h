#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "queueing/fairqueue.h"
#include "queueing/slotaccount.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace endiveshore::daemon {

/// Fair queue for the slots of one backend server. Not thread-safe: all functions must be called on the executor.
class SlotQueue
{
public:
    /// RAII guard of a slot in use; releases the slot on destruction.
    class Slot
    {
    public:
        Slot(Slot &&other) noexcept;
        Slot &operator=(Slot &&) = delete;
        ~Slot();

        /// Releases the slot early, for example before a wait that does not occupy the server.
        void release();

        /// Releases the slot without charging its time to the workspace; for a slot in which nothing was sent.
        void releaseUnused();

    private:
        friend class SlotQueue;
        Slot(SlotQueue &queue, queueing::QueueCharge charge);
        SlotQueue *queue;
        queueing::QueueCharge charge;
        core::TimePoint start;
    };

    /// Called with the time that a statement waited for its slot.
    using WaitObserver = std::function<void(core::Duration waited)>;

    SlotQueue(net::Executor executor, unsigned slots, WaitObserver observer = {});

    /// Waits for a slot. Throws core::Error(DeadlineExceeded) or core::Error(QueueFull), both with outcome NotRun.
    net::awaitable<Slot> acquire(std::string workspace, queueing::Priority priority, core::TimePoint deadline);

    void setWeight(std::string_view workspace, double weight);
    queueing::SlotAccount &account();
    std::size_t waiting() const;

    /// Assigns free slots to waiting statements. Must be called after a change of account().
    void dispatch();

private:
    struct Waiter
    {
        explicit Waiter(const net::Executor &executor, core::TimePoint deadline)
            : timer(executor, deadline)
        {
        }
        boost::asio::steady_timer timer;
        queueing::QueueCharge charge;
        bool granted = false;
        bool abandoned = false; ///< The deadline has passed; dispatch() skips the waiter.
    };

    void finish(const queueing::QueueCharge &charge, core::Duration used);

    net::Executor executor;
    queueing::FairQueue<std::shared_ptr<Waiter>> queue;
    queueing::SlotAccount slots;
    WaitObserver observer;
};

}
