#include "membership/updatequeue.h"

#include <algorithm>
#include <cstdint>

namespace endiveshore::membership {

namespace {

// No datagram holds more entries than this.
constexpr std::size_t MaxOffered = 64;

}

void UpdateQueue::add(UpdateKind kind, const std::string &key)
{
    const std::uint64_t order = this->nextOrder++;
    for (Item &item : this->items) {
        if (item.kind == kind && item.key == key) {
            item.sent = 0;
            item.order = order;
            return;
        }
    }
    this->items.push_back({kind, key, 0, order});
}

void UpdateQueue::drain(unsigned maxSent, const std::function<bool(UpdateKind kind, const std::string &key)> &take)
{
    if (this->items.empty()) {
        return;
    }
    const std::size_t offered = std::min(MaxOffered, this->items.size());
    std::partial_sort(this->items.begin(),
                      this->items.begin() + static_cast<std::ptrdiff_t>(offered),
                      this->items.end(),
                      [](const Item &left, const Item &right) {
                          return left.sent != right.sent ? left.sent < right.sent : left.order > right.order;
                      });
    for (std::size_t index = 0; index < offered; ++index) {
        if (!take(this->items[index].kind, this->items[index].key)) {
            break;
        }
        ++this->items[index].sent;
    }
    std::erase_if(this->items, [maxSent](const Item &item) { return item.sent >= maxSent; });
}

std::size_t UpdateQueue::size() const
{
    return this->items.size();
}

}
