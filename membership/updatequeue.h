#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace endiveshore::membership {

enum class UpdateKind {
    Member,
    State,
};

/// Queue of entries to be piggybacked. The entries sent least often come first, so that new entries spread fast even if
/// many are queued.
class UpdateQueue
{
public:
    /// Queues the entry @p key, or resets its number of transmissions if the entry is queued already.
    void add(UpdateKind kind, const std::string &key);

    /// Records that another member has sent the same entry. Counts as a transmission, so that an update that is widely
    /// known soon leaves the queue.
    void recordReceived(UpdateKind kind, const std::string &key);

    /// Passes entries to @p take until @p take returns false because there is no room, and removes entries that have
    /// been sent @p maxSent times.
    void drain(unsigned maxSent, const std::function<bool(UpdateKind kind, const std::string &key)> &take);

    std::size_t size() const;

private:
    using Key = std::pair<UpdateKind, std::string>;

    struct Rank
    {
        unsigned sent = 0;
        std::int64_t order = 0; ///< Breaks ties: lower for newer entries.

        bool operator<(const Rank &other) const
        {
            return std::tie(this->sent, this->order) < std::tie(other.sent, other.order);
        }
    };

    void setRank(const Key &key, Rank rank);

    std::map<Key, Rank> ranks;
    std::set<std::pair<Rank, Key>> ordered;
    std::int64_t nextOrder = 0;
};

}
