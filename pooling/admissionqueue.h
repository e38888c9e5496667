#pragma once

#include "pooling/statement.h"
#include "queueing/fairqueue.h"

#include <deque>

namespace endiveshore::pooling {

using TicketId = std::uint64_t;

/// Resources that a queued unit of work needs before it runs.
enum class UnitNeed {
    SlotAndConnection,
    SlotAndTransaction, ///< A slot, and a connection that the transaction holds until it ends.
    Slot, ///< The unit runs on the connection that its transaction already holds.
};

struct FreeResources
{
    bool slot = false;
    bool connection = false;
    bool transaction = false;
};

/// Queue of the units of work that wait for slots and connections of one backend server. Statements of open
/// transactions go first, since their transactions hold connections that other units wait for. Does no I/O.
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

    /// Removes and returns the next unit that can run with the free resources; nothing if no unit can run.
    std::optional<Admitted> next(const FreeResources &free, core::TimePoint now);

    /// Records the slot time that an admitted unit used; zero if nothing was sent to the server.
    void complete(const Admitted &unit, queueing::Cost used);

    /// Removes and returns the units whose deadline has passed.
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
    bool transactionsNext = false; ///< Single statements and new transactions take turns when both can run.
};

}
