#pragma once

#include "pooling/statement.h"
#include "queueing/fairqueue.h"

#include <deque>

namespace endiveshore::pooling {

using TicketId = std::uint64_t;

/// What a queued unit needs before it runs.
enum class UnitNeed {
    SlotAndConnection,
    SlotAndTransaction, ///< A connection that a transaction may keep.
    Slot, ///< The unit has the connection of its transaction.
};

/// Which resources are free now.
struct FreeResources
{
    bool slot = false;
    bool connection = false;
    bool transaction = false;
};

/// Order in which units get the slots and connections of one backend server. Statements of open transactions go first:
/// they hold a connection that others wait for. Pure.
class AdmissionQueue
{
public:
    struct Admitted
    {
        TicketId ticket = 0;
        UnitNeed need = UnitNeed::Slot;
        queueing::QueueCharge charge;
        core::Duration waited{};
    };

    explicit AdmissionQueue(unsigned slots);

    void setSlots(unsigned slots);

    queueing::PushResult
    push(TicketId ticket, UnitNeed need, const queueing::QueueTicket &request, core::TimePoint now);

    /// Next unit that the free resources allow to run.
    std::optional<Admitted> next(const FreeResources &free, core::TimePoint now);

    /// Reports the slot time of an admitted unit; zero if nothing was sent.
    void complete(const Admitted &unit, queueing::Cost used);

    /// Units whose deadline has passed.
    std::vector<TicketId> takeExpired(core::TimePoint now);

    std::size_t size() const;

private:
    struct TransactionStatement
    {
        TicketId ticket = 0;
        core::TimePoint deadline;
        core::TimePoint queuedAt;
    };

    using Queue = queueing::FairQueue<TicketId>;

    std::optional<Admitted> nextFrom(Queue &queue, UnitNeed need, core::TimePoint now);

    std::deque<TransactionStatement> transactionStatements; ///< Statements of open transactions, in order of arrival.
    Queue singleStatements;
    Queue transactions;
    bool transactionsNext = false; ///< Singles and new transactions take turns when both can run.
};

}
