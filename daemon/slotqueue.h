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

/// Fair queue in front of the slots of one backend server, for coroutines of one executor.
class SlotQueue
{
public:
    /// A slot in use; returned when it goes out of scope.
    class Slot
    {
    public:
        Slot(Slot &&other) noexcept;
        Slot &operator=(Slot &&) = delete;
        ~Slot();

        /// Returns the slot early, for example before a wait that does not occupy the server.
        void release();

        /// Returns the slot without charging its time: nothing was sent.
        void releaseUnused();

    private:
        friend class SlotQueue;
        Slot(SlotQueue &queue, queueing::QueueCharge charge);
        SlotQueue *queue;
        queueing::QueueCharge charge;
        core::TimePoint start;
    };

    using WaitObserver = std::function<void(core::Duration waited)>;

    SlotQueue(net::Executor executor, unsigned slots, WaitObserver observer = {});

    /// Waits for a slot. Throws core::Error with outcome not run: DeadlineExceeded or QueueFull.
    net::awaitable<Slot> acquire(std::string workspace, queueing::Priority priority, core::TimePoint deadline);

    void setWeight(std::string_view workspace, double weight);
    queueing::SlotAccount &account();
    std::size_t waiting() const;

    /// Hands free slots to waiting statements; call it after a change of account().
    void dispatch();

private:
    struct Ticket
    {
        explicit Ticket(const net::Executor &executor, core::TimePoint deadline)
            : timer(executor, deadline)
        {
        }
        boost::asio::steady_timer timer;
        queueing::QueueCharge charge;
        bool granted = false;
        bool abandoned = false;
    };

    void finish(const queueing::QueueCharge &charge, core::Duration used);

    net::Executor executor;
    queueing::FairQueue<std::shared_ptr<Ticket>> queue;
    queueing::SlotAccount slots;
    WaitObserver observer;
};

}
