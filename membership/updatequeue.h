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

/// Entries waiting to be piggybacked. Those sent least often go first, so that new ones spread fast however many wait.
class UpdateQueue
{
public:
    /// Queues the entry @p key anew; its count of transmissions starts again.
    void add(UpdateKind kind, const std::string &key);

    /// Counts as a transmission that another member has sent the same entry, so that known news soon falls silent.
    void recordReceived(UpdateKind kind, const std::string &key);

    /// Offers entries to @p take until it returns false (no room), and drops those sent @p maxSent times.
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
