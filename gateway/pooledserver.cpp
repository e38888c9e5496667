#include "gateway/pooledserver.h"

#include "core/hashing.h"
#include "gateway/pooledserverdetail.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitNeed;
using pooling::UnitOutcome;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t LeaseIdBytes = 8;

}

class PooledServer::Slot
{
public:
    Slot(PooledServer &server, pooling::AdmissionQueue::Admitted unit)
        : server(server.weak_from_this())
        , unit(std::move(unit))
    {
    }

    Slot(Slot &&other) noexcept
        : server(std::exchange(other.server, {}))
        , unit(other.unit)
    {
    }

    Slot &operator=(Slot &&) = delete;

    ~Slot()
    {
        if (const std::shared_ptr<PooledServer> owner = this->server.lock()) {
            owner->finishSlot(this->unit);
        }
    }

private:
    std::weak_ptr<PooledServer> server;
    pooling::AdmissionQueue::Admitted unit;
};

PooledServer::PooledServer(PooledServerOptions options)
    : options(std::move(options))
    , connectionTracker(this->options.allowance.connections)
    , queue(this->options.server.slots)
    , slotTracker(this->options.server.slots)
{
    this->updateColdLimit();
}

void PooledServer::updateColdLimit()
{
    this->coldLimit.update(this->options.allowance.cold,
                           this->options.allowance.isHome,
                           this->options.server.coldUntil,
                           core::Clock::now());
}

const BackendServer &PooledServer::server() const
{
    return this->options.server;
}

const PooledServerCounters &PooledServer::counters() const
{
    return this->counts;
}

std::size_t PooledServer::openConnections() const
{
    return this->connectionTracker.open();
}

std::size_t PooledServer::queued() const
{
    return this->queue.size();
}

std::size_t PooledServer::openTransactions() const
{
    return this->leases.size();
}

std::optional<routing::ServerLoad> PooledServer::load(core::TimePoint now) const
{
    return this->loadMeter.load(now);
}

void PooledServer::update(const BackendServer &server, ConnectionAllowance allowance)
{
    const bool restarted = server.startedAt != this->options.server.startedAt;
    this->options.server = server;
    this->options.allowance = allowance;
    this->updateColdLimit();
    this->connectionTracker.setLimit(allowance.connections);
    this->queue.setSlots(server.slots);
    this->slotTracker.setSlots(server.slots);
    if (restarted) {
        this->unreachableUntil = {};
        for (const auto &[id, connection] : std::exchange(this->idle, {})) {
            this->connectionTracker.remove(id);
        }
    }
    this->dispatch();
}

net::awaitable<pooling::UnitResult> PooledServer::run(Unit unit)
{
    const std::shared_ptr<PooledServer> self = this->shared_from_this();
    ++this->counts.units;
    if (this->closed) {
        co_return notRun(UnitError::Unreachable, "closed");
    }
    if (this->refuses(unit)) {
        co_return this->notAdmitted(unit);
    }
    Result result;
    switch (unit.kind) {
    case UnitKind::InTransaction:
        result = co_await this->runOnLease(std::move(unit));
        break;
    case UnitKind::Commit:
    case UnitKind::Rollback:
        result = co_await this->endTransaction(std::move(unit));
        break;
    case UnitKind::Prove:
    case UnitKind::Status:
    case UnitKind::Pause:
    case UnitKind::Resume:
        result = co_await this->runProxyCommand(std::move(unit));
        break;
    case UnitKind::OpenTransaction:
    case UnitKind::OpenReadOnly:
        result = co_await this->runAdmitted(std::move(unit), UnitNeed::SlotAndTransaction);
        break;
    case UnitKind::ReplicaRead:
    case UnitKind::PrimaryRead:
    case UnitKind::Write:
        result = co_await this->runAdmitted(std::move(unit), UnitNeed::SlotAndConnection);
        break;
    }
    this->attachProof(result);
    co_return result;
}

net::awaitable<std::optional<PooledServer::Slot>> PooledServer::admit(const Unit &unit, UnitNeed need)
{
    if (this->closed || this->refuses(unit) || this->coldLimit.refuses(core::Clock::now())) {
        // Nothing ticks a closed pool, so a unit that queued here would wait for good.
        co_return std::nullopt;
    }
    const core::TimePoint now = core::Clock::now();
    const core::TimePoint deadline = now + unit.queueTimeout;
    const pooling::TicketId id = ++this->lastTicket;
    const auto ticket = std::make_shared<Ticket>(this->options.executor);
    const queueing::QueueTicket request{
        .workspace = unit.workspace, .priority = unit.urgency, .rank = unit.rank, .deadline = deadline};
    if (this->queue.push(id, need, request, now) != queueing::PushResult::Queued) {
        this->countRefusal(unit);
        co_return std::nullopt;
    }
    this->loadMeter.arrive();
    this->tickets.emplace(id, ticket);
    this->dispatch();
    if (!ticket->admitted) {
        // The timer only wakes the unit up; tick() enforces the deadline.
        ticket->timer.expires_at(core::TimePoint::max());
        co_await ticket->timer.async_wait(UseTuple);
    }
    if (!ticket->admitted) {
        this->loadMeter.leave();
        this->countRefusal(unit);
        co_return std::nullopt;
    }
    Slot slot(*this, *ticket->admitted);
    if (this->refuses(unit)) {
        co_return std::nullopt;
    }
    co_return std::optional<Slot>(std::move(slot));
}

void PooledServer::countRefusal(const Unit &unit)
{
    ++this->counts.queueRefusals;
    if (unit.rank) {
        ++this->rankRefusals[*unit.rank];
    }
}

RankRefusals PooledServer::takeRankRefusals()
{
    return std::exchange(this->rankRefusals, {});
}

void PooledServer::dispatch()
{
    const core::TimePoint now = core::Clock::now();
    this->slotTracker.tick(now);
    while (true) {
        const pooling::FreeResources free{.slot = this->slotTracker.hasFree() && this->coldLimit.mayTake(now),
                                          .connection = this->connectionTracker.hasFree(),
                                          .transaction = this->connectionTracker.hasFreeForTransaction()};
        const std::optional<pooling::AdmissionQueue::Admitted> admitted = this->queue.next(free, now);
        if (!admitted) {
            return;
        }
        const auto ticket = this->tickets.find(admitted->ticket);
        if (ticket == this->tickets.end()) {
            this->queue.complete(*admitted, queueing::Cost::zero());
            continue;
        }
        this->coldLimit.take(now);
        this->slotTracker.take(admitted->ticket, now);
        ticket->second->admitted = admitted;
        ticket->second->timer.cancel();
        this->tickets.erase(ticket);
        // The unit takes its connection only when its coroutine resumes. Until then the number of free connections is
        // outdated.
        if (admitted->need != UnitNeed::Slot) {
            return;
        }
    }
}

void PooledServer::finishSlot(const pooling::AdmissionQueue::Admitted &unit)
{
    const core::Duration used = this->slotTracker.release(unit.ticket, core::Clock::now());
    this->queue.complete(unit, std::chrono::duration_cast<queueing::Cost>(used));
    this->dispatch();
}

net::awaitable<pooling::UnitResult> PooledServer::runAdmitted(Unit unit, UnitNeed need)
{
    const bool transaction = need == UnitNeed::SlotAndTransaction;
    const core::TimePoint deadline = core::Clock::now() + unit.queueTimeout;
    std::optional<Slot> slot;
    std::shared_ptr<Connection> connection;
    Result result;
    // If the server refuses to open a connection, the unit queues again and waits for one of the open connections.
    do {
        unit.queueTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - core::Clock::now());
        slot.reset();
        std::optional<Slot> admitted = co_await this->admit(unit, need);
        if (!admitted) {
            co_return this->notAdmitted(unit);
        }
        slot.emplace(std::move(*admitted));
        result = co_await this->obtainConnection(unit.workspace, transaction, connection);
    } while (connection == nullptr && this->connectionTracker.open() > 0
             && (result.error == UnitError::ConnectionLimit || result.error == UnitError::QueueFull)
             && core::Clock::now() < deadline);
    if (connection == nullptr) {
        co_return result;
    }
    if (this->refuses(unit)) {
        // The evacuation was requested while the connection opened.
        this->keepOrDrop(connection, connection->link->isOpen());
        co_return this->notAdmitted(unit);
    }
    result = co_await this->prepareConnection(*connection, unit);
    if (result.outcome == UnitOutcome::Done && unit.kind != UnitKind::ReplicaRead && unit.kind != UnitKind::Write) {
        result = co_await this->beginTransaction(*connection, unit);
    }
    const bool begun = result.outcome == UnitOutcome::Done;
    if (begun) {
        result = co_await this->runStatement(*connection, unit, unit.kind == UnitKind::PrimaryRead);
    }
    const bool answered = result.outcome == UnitOutcome::Done || result.outcome == UnitOutcome::ServerError;
    if (unit.endsTransaction && begun && result.outcome == UnitOutcome::Done) {
        this->keepOrDrop(connection, connection->link->isOpen());
        co_return result;
    }
    if (transaction && begun && answered && !connection->link->isOpen()) {
        // The server rolled back the transaction when the connection closed. Later statements must not run outside of
        // it on a different connection.
        result
            = notRun(UnitError::ConnectionLost, "connection closed together with the first answer of the transaction");
    }
    const bool goesOn = answered && !unit.endsTransaction && !result.transactionFailed;
    if (transaction && begun && goesOn && connection->link->isOpen()) {
        result.lease = core::randomHex(LeaseIdBytes);
        this->leases.emplace(
            result.lease,
            Lease{.connection = connection, .idleUntil = core::Clock::now() + unit.transactionIdleTimeout});
        co_return result;
    }
    if (transaction && begun && connection->link->isOpen()) {
        asio::co_spawn(this->options.executor, this->rollBack(connection), asio::detached);
        co_return result;
    }
    this->keepOrDrop(connection, connection->link->isOpen());
    co_return result;
}

net::awaitable<pooling::UnitResult> PooledServer::runOnLease(Unit unit)
{
    const auto found = this->leases.find(unit.lease);
    if (found == this->leases.end() || found->second.busy) {
        co_return notRun(UnitError::UnknownLease);
    }
    found->second.busy = true;
    const std::shared_ptr<Connection> connection = found->second.connection;
    Result result;
    {
        const std::optional<Slot> slot = co_await this->admit(unit, UnitNeed::Slot);
        if (!connection->link->isReusable()) {
            connection->link->close();
            result = notRun(UnitError::ConnectionLost, "the connection was closed or received an unexpected answer");
        } else if (slot) {
            result = co_await this->prepareConnection(*connection, unit);
            if (result.outcome == UnitOutcome::Done) {
                result = co_await this->runStatement(*connection, unit, false);
            }
        } else {
            result = this->notAdmitted(unit);
        }
    }
    const auto lease = this->leases.find(unit.lease);
    if (lease == this->leases.end()) {
        co_return result;
    }
    const bool ended = result.transactionFailed || !connection->link->isOpen();
    if (!ended) {
        lease->second.busy = false;
        lease->second.idleUntil = core::Clock::now() + unit.transactionIdleTimeout;
        co_return result;
    }
    result.transactionFailed = true;
    this->leases.erase(lease);
    asio::co_spawn(this->options.executor, this->rollBack(connection), asio::detached);
    co_return result;
}

net::awaitable<pooling::UnitResult> PooledServer::endTransaction(Unit unit)
{
    const auto found = this->leases.find(unit.lease);
    if (found == this->leases.end() || found->second.busy) {
        co_return notRun(UnitError::UnknownLease);
    }
    const std::shared_ptr<Connection> connection = found->second.connection;
    this->leases.erase(found);
    if (unit.kind == UnitKind::Rollback) {
        co_await this->rollBack(connection);
        co_return Result{.outcome = UnitOutcome::Done};
    }
    Result result;
    {
        const std::optional<Slot> slot = co_await this->admit(unit, UnitNeed::Slot);
        result = this->notAdmitted(unit);
        if (slot) {
            result = co_await this->runStatement(*connection, unit, false);
        }
    }
    if (result.outcome == UnitOutcome::Done) {
        this->keepOrDrop(connection, connection->link->isOpen());
        co_return result;
    }
    co_await this->rollBack(connection);
    co_return result;
}

net::awaitable<pooling::UnitResult> PooledServer::runProxyCommand(Unit unit)
{
    // Commands of the proxy itself occupy no slot and can run on an idle connection of any workspace.
    std::shared_ptr<Connection> connection;
    std::optional<Slot> slot;
    if (!this->idle.empty() && this->connectionTracker.hasFree()) {
        const std::string workspace = this->idle.rbegin()->second->workspace;
        Result obtained = co_await this->obtainConnection(workspace, false, connection);
        if (connection == nullptr) {
            co_return obtained;
        }
    } else {
        std::optional<Slot> admitted = co_await this->admit(unit, UnitNeed::SlotAndConnection);
        if (!admitted) {
            co_return this->notAdmitted(unit);
        }
        slot.emplace(std::move(*admitted));
        Result obtained = co_await this->obtainConnection(unit.workspace, false, connection);
        if (connection == nullptr) {
            co_return obtained;
        }
    }
    if (unit.kind != UnitKind::Prove) {
        Result status = co_await this->queryStatus(*connection, unit);
        this->keepOrDrop(connection, connection->link->isOpen());
        co_return status;
    }
    Result result = co_await this->beginTransaction(*connection, unit);
    if (result.outcome != UnitOutcome::Done) {
        this->keepOrDrop(connection, connection->link->isOpen());
        co_return result;
    }
    asio::co_spawn(this->options.executor, this->rollBack(connection), asio::detached);
    co_return result;
}

bool PooledServer::refuses(const Unit &unit) const
{
    const bool isQuery = unit.kind == UnitKind::Status || unit.kind == UnitKind::Pause || unit.kind == UnitKind::Resume;
    return isQuery ? !routing::mayQueryStatus(this->evacuation) : !routing::mayRunStatements(this->evacuation);
}

pooling::UnitResult PooledServer::notAdmitted(const Unit &unit) const
{
    if (this->refuses(unit)) {
        return notRun(UnitError::Evacuated, "the data centre is being evacuated");
    }
    if (this->coldLimit.isSuspected(core::Clock::now())) {
        // The limit hides whether the server is back; it must not count as running meanwhile.
        return notRun(UnitError::Unreachable, "the server was unreachable a moment ago");
    }
    return notRun(UnitError::QueueFull, "no slot became free in time");
}

void PooledServer::setEvacuation(routing::EvacuationStage stage)
{
    const bool closes = routing::mayRunStatements(this->evacuation) && !routing::mayRunStatements(stage);
    this->evacuation = stage;
    if (closes) {
        for (const auto &[id, ticket] : std::exchange(this->tickets, {})) {
            ticket->timer.cancel();
        }
    }
    this->endEvacuatedWork();
}

void PooledServer::endEvacuatedWork()
{
    if (routing::mayRunStatements(this->evacuation)) {
        return;
    }
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.busy) {
            // The statement in progress ends first.
            ++lease;
            continue;
        }
        const std::shared_ptr<Connection> connection = lease->second.connection;
        lease = this->leases.erase(lease);
        this->keepOrDrop(connection, false);
    }
    if (!routing::mayQueryStatus(this->evacuation)) {
        for (const auto &[id, connection] : std::exchange(this->idle, {})) {
            this->connectionTracker.remove(id);
        }
    }
}

void PooledServer::tick(core::TimePoint now)
{
    this->endEvacuatedWork();
    for (const pooling::TicketId id : this->queue.takeExpired(now)) {
        const auto ticket = this->tickets.find(id);
        if (ticket != this->tickets.end()) {
            ticket->second->timer.cancel();
            this->tickets.erase(ticket);
        }
    }
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.busy || now < lease->second.idleUntil) {
            ++lease;
            continue;
        }
        asio::co_spawn(this->options.executor, this->rollBack(lease->second.connection), asio::detached);
        lease = this->leases.erase(lease);
    }
    this->loadMeter.sample(this->options.server.slots, this->queue.size(), now);
    this->connectionTracker.tick(now);
    while (const std::optional<pooling::ConnectionId> old
           = this->connectionTracker.idleSince(now - this->options.allowance.idleTimeout)) {
        this->idle.erase(*old);
        this->connectionTracker.remove(*old);
    }
    this->dispatch();
}

void PooledServer::close()
{
    this->closed = true;
    for (const auto &[id, ticket] : std::exchange(this->tickets, {})) {
        ticket->timer.cancel();
    }
    for (const auto &[id, lease] : std::exchange(this->leases, {})) {
        lease.connection->link->close();
        this->connectionTracker.remove(lease.connection->id);
    }
    for (const auto &[id, connection] : std::exchange(this->idle, {})) {
        this->connectionTracker.remove(id);
    }
}

void PooledServer::recordAnswer()
{
    this->answeredAt = core::Clock::now();
    this->unreachableUntil = {};
}

void PooledServer::recordProof(session::LogPosition position, core::BootTime takenAt)
{
    if (position.term != 0 && (!this->latestProof || this->latestProof->second < takenAt)) {
        this->latestProof.emplace(position, takenAt);
    }
}

void PooledServer::attachProof(Result &result) const
{
    if (this->latestProof) {
        result.provenPosition = this->latestProof->first;
        result.proofAge = core::BootClock::now() - this->latestProof->second;
    }
}

}
