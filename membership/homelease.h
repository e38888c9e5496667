#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace endiveshore::membership {

struct HomeLeaseOptions
{
    core::Duration handoverWait = std::chrono::milliseconds(1'500); ///< Bound on statements of the previous home.
    core::Duration lease = std::chrono::seconds(1); ///< Longest pause of the control thread that keeps the homes.
};

/// Decides from when this daemon may act as the home of a server. Pure; used on the control thread, which publishes
/// actsFrom() and validUntil() for the traffic threads.
class HomeLease
{
public:
    explicit HomeLease(std::string selfId, HomeLeaseOptions options = {});

    /// To be called on every turn of the control thread, before any other decision. Returns true if the thread was
    /// paused for longer than the lease: all homes are lost until confirm().
    bool heartbeat(core::TimePoint now);

    /// Reports the latest answered ping (GossipMember::lastConfirmation). A ping sent after the pause shows that this
    /// daemon is in touch again; its homes are then taken over like those of another daemon. Returns true in that case.
    bool confirm(core::TimePoint now, core::TimePoint pingSent);

    /// Sets the home of @p serverId, empty if there is none. @p othersKnown: another daemon may have been the home
    /// before the first assignment that this daemon sees.
    void assign(core::TimePoint now, const std::string &serverId, const std::string &homeId, bool othersKnown);

    /// Forgets a server that is no longer configured.
    void remove(const std::string &serverId);

    /// The previous home @p memberId has ended its work on @p serverId: no wait is needed. A release that arrives
    /// before this daemon sees itself as the home counts for a short time only, since the other one may become the home
    /// again.
    void release(core::TimePoint now, const std::string &serverId, const std::string &memberId);

    /// @p memberId has left and so has released its homes; it is followed without a wait.
    void memberLeft(const std::string &memberId);

    /// @p memberId is seen alive again.
    void memberReturned(const std::string &memberId);

    /// True if this daemon may send statements to @p serverId.
    bool mayAct(core::TimePoint now, const std::string &serverId) const;

    /// From when this daemon may act for @p serverId; nothing if it is not the home or has lost its homes.
    std::optional<core::TimePoint> actsFrom(const std::string &serverId) const;

    /// End of the lease: without another heartbeat no home may act from then on.
    core::TimePoint validUntil() const;

private:
    struct Entry
    {
        std::string home;
        core::TimePoint notBefore; ///< Statements of earlier homes may run until then.
        std::string previousHome; ///< Home before this one.
        core::TimePoint previousNotBefore; ///< Statements of the homes before the previous one may run until then.
    };

    struct Release
    {
        std::string member;
        core::TimePoint at;
    };

    std::string selfId;
    HomeLeaseOptions options;
    std::map<std::string, Entry> entries;
    std::map<std::string, Release> releases; ///< By server; the latest release of another daemon.
    std::set<std::string> leftMembers;
    core::TimePoint lastHeartbeat;
    core::TimePoint resumedAt;
    bool homesLost = false;
};

}
