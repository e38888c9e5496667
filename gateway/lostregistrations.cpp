#include "gateway/lostregistrations.h"

namespace endiveshore::gateway {

namespace {

/// Time in which the daemons of a large fleet register anew.
constexpr std::chrono::milliseconds RegistrationTime{8'000};

}

void LostRegistrations::add(std::string id, core::TimePoint now)
{
    this->lostAt.insert_or_assign(std::move(id), now);
}

void LostRegistrations::remove(std::string_view id)
{
    const auto found = this->lostAt.find(id);
    if (found != this->lostAt.end()) {
        this->lostAt.erase(found);
    }
}

std::vector<std::string> LostRegistrations::takeEnded(core::TimePoint storeContact)
{
    std::vector<std::string> ended;
    for (auto entry = this->lostAt.begin(); entry != this->lostAt.end();) {
        if (storeContact < entry->second + RegistrationTime) {
            ++entry;
            continue;
        }
        ended.push_back(entry->first);
        entry = this->lostAt.erase(entry);
    }
    return ended;
}

}
