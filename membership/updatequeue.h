#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

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

    /// Offers entries to @p take until it returns false (no room), and drops those sent @p maxSent times.
    void drain(unsigned maxSent, const std::function<bool(UpdateKind kind, const std::string &key)> &take);

    std::size_t size() const;

private:
    struct Item
    {
        UpdateKind kind = UpdateKind::Member;
        std::string key;
        unsigned sent = 0;
        std::uint64_t order = 0; ///< Breaks ties: the newer entry goes first.
    };

    std::vector<Item> items;
    std::uint64_t nextOrder = 1;
};

}
