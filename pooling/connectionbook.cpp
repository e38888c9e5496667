#include "pooling/connectionbook.h"

#include <algorithm>

namespace endiveshore::pooling {

namespace {

/// One connection in this many is kept for single statements.
constexpr unsigned SingleStatementPart = 5;
/// Connections opened at a time. Each occupies a slot of the server for a while, so a storm of them would stop all
/// else.
constexpr std::size_t MaximumOpenings = 3;

}

ConnectionBook::ConnectionBook(unsigned limit)
    : limit(limit)
{
}

void ConnectionBook::setLimit(unsigned newLimit)
{
    this->limit = newLimit;
}

unsigned ConnectionBook::currentLimit() const
{
    return this->refusedAt ? std::min(this->limit, *this->refusedAt) : this->limit;
}

unsigned ConnectionBook::transactionLimit() const
{
    const unsigned current = this->currentLimit();
    const unsigned kept = (current + SingleStatementPart - 1) / SingleStatementPart;
    return current > kept ? current - kept : 1;
}

void ConnectionBook::refuseNew(core::TimePoint until)
{
    this->refusedAt = std::max<unsigned>(1, static_cast<unsigned>(this->connections.size()));
    this->refusedUntil = until;
}

void ConnectionBook::tick(core::TimePoint now)
{
    if (this->refusedAt && now >= this->refusedUntil) {
        this->refusedAt.reset();
    }
}

bool ConnectionBook::hasFree() const
{
    const bool hasIdle = this->connections.size() > this->used;
    return this->used < this->currentLimit() && (hasIdle || this->openings < MaximumOpenings);
}

bool ConnectionBook::hasFreeForTransaction() const
{
    return this->hasFree() && this->transactions < this->transactionLimit();
}

std::optional<ConnectionId> ConnectionBook::idleOf(std::string_view workspace) const
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

std::optional<ConnectionId> ConnectionBook::longestIdle() const
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

std::optional<ConnectionChoice> ConnectionBook::take(std::string_view workspace, bool forTransaction)
{
    if (forTransaction ? !this->hasFreeForTransaction() : !this->hasFree()) {
        return std::nullopt;
    }
    ConnectionChoice choice;
    if (const std::optional<ConnectionId> idle = this->idleOf(workspace)) {
        choice.kind = ConnectionChoice::Kind::Reuse;
        choice.connection = *idle;
    } else {
        if (this->connections.size() >= this->currentLimit()) {
            choice.evicted = this->longestIdle();
            if (!choice.evicted) {
                return std::nullopt;
            }
            this->connections.erase(*choice.evicted);
        }
        choice.connection = ++this->lastId;
        this->connections.emplace(choice.connection, Entry{.workspace = std::string(workspace), .opening = true});
        ++this->openings;
    }
    Entry &entry = this->connections.at(choice.connection);
    entry.inUse = true;
    entry.forTransaction = forTransaction;
    ++this->used;
    this->transactions += forTransaction ? 1 : 0;
    return choice;
}

void ConnectionBook::opened(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && found->second.opening) {
        found->second.opening = false;
        --this->openings;
    }
}

void ConnectionBook::release(ConnectionId connection, core::TimePoint now)
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
    this->transactions -= entry.forTransaction ? 1 : 0;
    entry.forTransaction = false;
}

void ConnectionBook::remove(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
        return;
    }
    this->opened(connection);
    if (found->second.inUse) {
        --this->used;
        this->transactions -= found->second.forTransaction ? 1 : 0;
    }
    this->connections.erase(found);
}

std::optional<ConnectionId> ConnectionBook::idleSince(core::TimePoint before) const
{
    const std::optional<ConnectionId> longest = this->longestIdle();
    if (!longest || this->connections.at(*longest).lastUsed >= before) {
        return std::nullopt;
    }
    return longest;
}

std::size_t ConnectionBook::open() const
{
    return this->connections.size();
}

std::size_t ConnectionBook::inUse() const
{
    return this->used;
}

}
