#include "membership/homelease.h"

#include <algorithm>

namespace endiveshore::membership {

HomeLease::HomeLease(std::string selfId, HomeLeaseOptions options)
    : selfId(std::move(selfId))
    , options(options)
{
}

bool HomeLease::heartbeat(core::TimePoint now)
{
    const bool paused = this->lastHeartbeat != core::TimePoint() && now - this->lastHeartbeat > this->options.lease;
    this->lastHeartbeat = now;
    if (paused) {
        this->homesLost = true;
        this->resumedAt = now;
    }
    return paused;
}

bool HomeLease::confirm(core::TimePoint now, core::TimePoint pingSent)
{
    if (!this->homesLost || pingSent < this->resumedAt) {
        return false;
    }
    this->homesLost = false;
    // Other daemons may have taken homes over during the pause and not know yet that this daemon is back. That includes
    // homes assigned to this daemon only now because of a release that the other daemons have long since processed.
    for (auto &[serverId, entry] : this->entries) {
        entry.notBefore = std::max(entry.notBefore, now + this->options.handoverWait);
    }
    return true;
}

void HomeLease::assign(core::TimePoint now, const std::string &serverId, const std::string &homeId, bool othersKnown)
{
    const auto [position, added] = this->entries.try_emplace(serverId);
    Entry &entry = position->second;
    if (!added && entry.home == homeId) {
        return;
    }
    const core::TimePoint previousNotBefore = entry.notBefore;
    const auto release = this->releases.find(serverId);
    const bool released = (release != this->releases.end() && release->second.member == entry.home
                           && now - release->second.at < this->options.handoverWait / 2)
        || entry.home.empty() || entry.home == this->selfId || this->leftMembers.contains(entry.home);
    if (added ? othersKnown : !released) {
        entry.notBefore = std::max(entry.notBefore, now + this->options.handoverWait);
    }
    entry.previousHome = entry.home;
    entry.previousNotBefore = previousNotBefore;
    entry.home = homeId;
}

void HomeLease::release(core::TimePoint now, const std::string &serverId, const std::string &memberId)
{
    this->releases[serverId] = {.member = memberId, .at = now};
    const auto found = this->entries.find(serverId);
    if (found != this->entries.end() && found->second.home == this->selfId && found->second.previousHome == memberId) {
        found->second.notBefore = std::min(found->second.notBefore, found->second.previousNotBefore);
    }
}

void HomeLease::remove(const std::string &serverId)
{
    this->entries.erase(serverId);
}

void HomeLease::memberLeft(const std::string &memberId)
{
    this->leftMembers.insert(memberId);
}

void HomeLease::memberReturned(const std::string &memberId)
{
    this->leftMembers.erase(memberId);
}

bool HomeLease::mayAct(core::TimePoint now, const std::string &serverId) const
{
    const std::optional<core::TimePoint> from = this->actsFrom(serverId);
    return from && now >= *from && now < this->validUntil();
}

std::optional<core::TimePoint> HomeLease::actsFrom(const std::string &serverId) const
{
    const auto found = this->entries.find(serverId);
    if (this->homesLost || found == this->entries.end() || found->second.home != this->selfId) {
        return std::nullopt;
    }
    return found->second.notBefore;
}

core::TimePoint HomeLease::validUntil() const
{
    return this->lastHeartbeat + this->options.lease;
}

}
