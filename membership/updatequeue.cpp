#include "membership/updatequeue.h"

#include <vector>

namespace endiveshore::membership {

void UpdateQueue::setRank(const Key &key, Rank rank)
{
    const auto [position, added] = this->ranks.try_emplace(key, rank);
    if (!added) {
        this->ordered.erase({position->second, key});
        position->second = rank;
    }
    this->ordered.emplace(rank, key);
}

void UpdateQueue::add(UpdateKind kind, const std::string &key)
{
    this->setRank({kind, key}, {0, --this->nextOrder});
}

void UpdateQueue::recordReceived(UpdateKind kind, const std::string &key)
{
    const Key entry{kind, key};
    const auto found = this->ranks.find(entry);
    if (found != this->ranks.end()) {
        this->setRank(entry, {found->second.sent + 1, found->second.order});
    }
}

void UpdateQueue::drain(unsigned maxSent, const std::function<bool(UpdateKind kind, const std::string &key)> &take)
{
    std::vector<std::pair<Rank, Key>> sent;
    for (const auto &[rank, key] : this->ordered) {
        // Entries that have been sent maxSent times already are only removed below.
        if (rank.sent < maxSent && !take(key.first, key.second)) {
            break;
        }
        sent.emplace_back(rank, key);
    }
    for (const auto &[rank, key] : sent) {
        if (rank.sent + 1 < maxSent) {
            this->setRank(key, {rank.sent + 1, rank.order});
            continue;
        }
        this->ordered.erase({rank, key});
        this->ranks.erase(key);
    }
}

std::size_t UpdateQueue::size() const
{
    return this->ranks.size();
}

}
