#include "daemon/slotqueue.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::daemon {

SlotQueue::Slot::Slot(SlotQueue &queue, queueing::QueueCharge charge)
    : queue(&queue)
    , charge(charge)
    , start(core::Clock::now())
{
}

SlotQueue::Slot::Slot(Slot &&other) noexcept
    : queue(std::exchange(other.queue, nullptr))
    , charge(other.charge)
    , start(other.start)
{
}

SlotQueue::Slot::~Slot()
{
    this->release();
}

void SlotQueue::Slot::release()
{
    if (this->queue != nullptr) {
        std::exchange(this->queue, nullptr)->finish(this->charge, core::Clock::now() - this->start);
    }
}

void SlotQueue::Slot::releaseUnused()
{
    if (this->queue != nullptr) {
        std::exchange(this->queue, nullptr)->finish(this->charge, core::Duration::zero());
    }
}

SlotQueue::SlotQueue(net::Executor executor, unsigned slots, WaitObserver observer)
    : executor(std::move(executor))
    , slots(slots)
    , observer(std::move(observer))
{
    this->queue.setSlots(slots);
}

net::awaitable<SlotQueue::Slot>
SlotQueue::acquire(std::string workspace, queueing::Priority priority, core::TimePoint deadline)
{
    auto waiter = std::make_shared<Waiter>(this->executor, deadline);
    queueing::QueueTicket request;
    request.workspace = workspace;
    request.priority = priority;
    request.deadline = deadline;
    std::shared_ptr<Waiter> queued = waiter;
    switch (this->queue.push(std::move(queued), request, core::Clock::now())) {
    case queueing::PushResult::Queued:
        break;
    case queueing::PushResult::QueueFull:
        throw core::Error(core::ResultCode::QueueFull, "the workspace has too many statements waiting");
    case queueing::PushResult::DeadlineTooSoon:
        throw core::Error(core::ResultCode::DeadlineExceeded,
                          "the expected wait in the server's queue exceeds the deadline");
    }
    this->dispatch();
    if (!waiter->granted) {
        co_await waiter->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    if (!waiter->granted) {
        waiter->abandoned = true;
        throw core::Error(core::ResultCode::DeadlineExceeded, "no slot of the server became free before the deadline");
    }
    co_return Slot(*this, waiter->charge);
}

void SlotQueue::setWeight(std::string_view workspace, double weight)
{
    this->queue.setWeight(workspace, weight);
}

queueing::SlotAccount &SlotQueue::account()
{
    return this->slots;
}

std::size_t SlotQueue::waiting() const
{
    return this->queue.size();
}

void SlotQueue::dispatch()
{
    while (this->slots.available() > 0) {
        auto next = this->queue.pop(core::Clock::now());
        if (!next) {
            break;
        }
        if (next->item->abandoned) {
            this->queue.complete(next->charge, queueing::Cost::zero());
            continue;
        }
        if (!this->slots.tryAcquire()) {
            break;
        }
        if (this->observer) {
            this->observer(next->waited);
        }
        next->item->charge = next->charge;
        next->item->granted = true;
        next->item->timer.cancel();
    }
    // The timer of an expired statement reports the missed deadline; here the statement is only removed from the queue.
    this->queue.takeExpired(core::Clock::now());
}

void SlotQueue::finish(const queueing::QueueCharge &charge, core::Duration used)
{
    this->queue.complete(charge, std::chrono::duration_cast<queueing::Cost>(used));
    this->slots.release();
    this->dispatch();
}

}
