#include "pooling/connectiontracker.h"

#include <algorithm>

namespace endiveshore::pooling {

namespace {

/// One in this many connections is reserved for single statements.
constexpr unsigned SingleStatementReserveDivisor = 5;
/// Opening a connection occupies a slot of the server, so opening many at once would block all statements.
constexpr std::size_t MaximumConcurrentOpens = 3;

}

ConnectionTracker::ConnectionTracker(unsigned limit)
    : limit(limit)
{
}

void ConnectionTracker::setLimit(unsigned newLimit)
{
    this->limit = newLimit;
}

unsigned ConnectionTracker::currentLimit() const
{
    return this->openWhenRefused ? std::min(this->limit, *this->openWhenRefused) : this->limit;
}

unsigned ConnectionTracker::transactionLimit() const
{
    const unsigned current = this->currentLimit();
    const unsigned reserved = (current + SingleStatementReserveDivisor - 1) / SingleStatementReserveDivisor;
    return current > reserved ? current - reserved : 1;
}

void ConnectionTracker::blockNewConnections(core::TimePoint until)
{
    this->openWhenRefused = std::max<unsigned>(1, static_cast<unsigned>(this->connections.size()));
    this->blockedUntil = until;
}

void ConnectionTracker::tick(core::TimePoint now)
{
    if (this->openWhenRefused && now >= this->blockedUntil) {
        this->openWhenRefused.reset();
    }
}

bool ConnectionTracker::hasFree() const
{
    const bool hasIdle = this->connections.size() > this->used;
    return this->used < this->currentLimit() && (hasIdle || this->opensInProgress < MaximumConcurrentOpens);
}

bool ConnectionTracker::hasFreeForTransaction() const
{
    return this->hasFree() && this->usedByTransactions < this->transactionLimit();
}

std::optional<ConnectionId> ConnectionTracker::findIdle(std::string_view workspace) const
{
    std::optional<ConnectionId> best;
    for (const auto &[id, entry] : this->connections) {
        if (entry.inUse || entry.workspace != workspace) {
            continue;
        }
        if (!best || this->connections.at(*best).lastUsed < entry.lastUsed) {
            best = id;
        }
    }
    return best;
}

std::optional<ConnectionId> ConnectionTracker::leastRecentlyUsed() const
{
    std::optional<ConnectionId> best;
    for (const auto &[id, entry] : this->connections) {
        if (entry.inUse) {
            continue;
        }
        if (!best || entry.lastUsed < this->connections.at(*best).lastUsed) {
            best = id;
        }
    }
    return best;
}

std::optional<ConnectionChoice> ConnectionTracker::take(std::string_view workspace, bool forTransaction)
{
    if (forTransaction ? !this->hasFreeForTransaction() : !this->hasFree()) {
        return std::nullopt;
    }
    ConnectionChoice choice;
    if (const std::optional<ConnectionId> idle = this->findIdle(workspace)) {
        choice.kind = ConnectionChoice::Kind::Reuse;
        choice.connection = *idle;
    } else {
        if (this->connections.size() >= this->currentLimit()) {
            choice.evicted = this->leastRecentlyUsed();
            if (!choice.evicted) {
                return std::nullopt;
            }
            this->connections.erase(*choice.evicted);
        }
        choice.connection = ++this->lastId;
        this->connections.emplace(choice.connection, Entry{.workspace = std::string(workspace), .opening = true});
        ++this->opensInProgress;
    }
    Entry &entry = this->connections.at(choice.connection);
    entry.inUse = true;
    entry.forTransaction = forTransaction;
    ++this->used;
    this->usedByTransactions += forTransaction ? 1 : 0;
    return choice;
}

void ConnectionTracker::opened(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && found->second.opening) {
        found->second.opening = false;
        --this->opensInProgress;
    }
}

void ConnectionTracker::release(ConnectionId connection, core::TimePoint now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || !found->second.inUse) {
        return;
    }
    this->opened(connection);
    Entry &entry = found->second;
    entry.inUse = false;
    entry.lastUsed = now;
    --this->used;
    this->usedByTransactions -= entry.forTransaction ? 1 : 0;
    entry.forTransaction = false;
}

void ConnectionTracker::remove(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
        return;
    }
    this->opened(connection);
    if (found->second.inUse) {
        --this->used;
        this->usedByTransactions -= found->second.forTransaction ? 1 : 0;
    }
    this->connections.erase(found);
}

std::optional<ConnectionId> ConnectionTracker::idleSince(core::TimePoint before) const
{
    const std::optional<ConnectionId> longest = this->leastRecentlyUsed();
    if (!longest || this->connections.at(*longest).lastUsed >= before) {
        return std::nullopt;
    }
    return longest;
}

std::size_t ConnectionTracker::open() const
{
    return this->connections.size();
}

std::size_t ConnectionTracker::inUse() const
{
    return this->used;
}

}
