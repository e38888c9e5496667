#include "pooling/admissionqueue.h"

#include <limits>

namespace endiveshore::pooling {

namespace {

/// Slot time by which urgent statements of a workspace may exceed its fair share. The value is the slot time that a
/// workspace gets in one second while eight workspaces are busy. During a short overload, urgent statements then run
/// first and statements that can wait are delayed, whichever workspace sent them.
constexpr std::chrono::milliseconds UrgencyLead{300};

queueing::FairQueueOptions queueOptions(unsigned slots)
{
    // Statements that can wait may be overtaken any number of times. They have longer timeouts and run once the
    // overload ends.
    return {.schedule = {.slots = slots, .urgencyLead = UrgencyLead},
            .maximumOvertakes = std::numeric_limits<unsigned>::max()};
}

}

AdmissionQueue::AdmissionQueue(unsigned slots)
    : singleStatements(queueOptions(slots))
    , transactions(queueOptions(slots))
{
}

void AdmissionQueue::setSlots(unsigned slots)
{
    this->singleStatements.setSlots(slots);
    this->transactions.setSlots(slots);
}

queueing::PushResult
AdmissionQueue::push(TicketId ticket, UnitNeed need, const queueing::QueueTicket &request, core::TimePoint now)
{
    if (need == UnitNeed::Slot) {
        this->transactionStatements.push_back({.ticket = ticket, .deadline = request.deadline, .queuedAt = now});
        return queueing::PushResult::Queued;
    }
    Queue &queue = need == UnitNeed::SlotAndTransaction ? this->transactions : this->singleStatements;
    return queue.push(std::move(ticket), request, now);
}

std::optional<AdmissionQueue::Admitted> AdmissionQueue::nextFrom(Queue &queue, UnitNeed need, core::TimePoint now)
{
    const std::optional<Queue::Dispatched> dispatched = queue.pop(now);
    if (!dispatched) {
        return std::nullopt;
    }
    return Admitted{
        .ticket = dispatched->item, .need = need, .charge = dispatched->charge, .waited = dispatched->waited};
}

std::optional<AdmissionQueue::Admitted> AdmissionQueue::next(const FreeResources &free, core::TimePoint now)
{
    if (!free.slot) {
        return std::nullopt;
    }
    if (!this->transactionStatements.empty()) {
        const TransactionStatement unit = this->transactionStatements.front();
        this->transactionStatements.pop_front();
        return Admitted{.ticket = unit.ticket, .need = UnitNeed::Slot, .waited = now - unit.queuedAt};
    }
    const bool transactionFirst = this->transactionsNext;
    for (const bool transaction : {transactionFirst, !transactionFirst}) {
        if (transaction ? !free.transaction : !free.connection) {
            continue;
        }
        Queue &queue = transaction ? this->transactions : this->singleStatements;
        const UnitNeed need = transaction ? UnitNeed::SlotAndTransaction : UnitNeed::SlotAndConnection;
        if (std::optional<Admitted> admitted = this->nextFrom(queue, need, now)) {
            this->transactionsNext = !transaction;
            return admitted;
        }
    }
    return std::nullopt;
}

void AdmissionQueue::complete(const Admitted &unit, queueing::Cost used)
{
    if (unit.need == UnitNeed::Slot) {
        return;
    }
    (unit.need == UnitNeed::SlotAndTransaction ? this->transactions : this->singleStatements)
        .complete(unit.charge, used);
}

std::vector<TicketId> AdmissionQueue::takeExpired(core::TimePoint now)
{
    std::vector<TicketId> expired = this->singleStatements.takeExpired(now);
    for (const TicketId ticket : this->transactions.takeExpired(now)) {
        expired.push_back(ticket);
    }
    std::erase_if(this->transactionStatements, [&](const TransactionStatement &unit) {
        if (unit.deadline >= now) {
            return false;
        }
        expired.push_back(unit.ticket);
        return true;
    });
    return expired;
}

std::size_t AdmissionQueue::size() const
{
    return this->transactionStatements.size() + this->singleStatements.size() + this->transactions.size();
}

}
