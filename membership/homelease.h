#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace endiveshore::membership {

struct HomeLeaseOptions
{
    /// Longest time for which statements of the previous home may still run after a change of home.
    core::Duration handoverWait = std::chrono::milliseconds(1'500);
    /// Longest pause of the control thread after which this daemon keeps its homes.
    core::Duration lease = std::chrono::seconds(1);
};

/// Decides when this daemon may begin to act as the home of a server and when it must stop. Does no I/O and reads no
/// clock. Used on the control thread, which publishes actsFrom() and validUntil() to the traffic threads.
class HomeLease
{
public:
    explicit HomeLease(std::string selfId, HomeLeaseOptions options = {});

    /// Must be called in every iteration of the control thread before any other decision. Returns true if the thread
    /// was paused for longer than the lease; all homes are then lost until confirm().
    bool heartbeat(core::TimePoint now);

    /// Reports when the latest answered ping was sent (GossipMember::lastConfirmation()). After a pause, an answer to a
    /// ping that was sent after the pause proves that this daemon is connected to other members again. Its homes are
    /// then restored, each with the wait of a takeover from another daemon, and the function returns true.
    bool confirm(core::TimePoint now, core::TimePoint pingSent);

    /// Sets the home of @p serverId; @p homeId is empty if there is none. For the first assignment of a
    /// server, @p othersKnown tells whether another daemon may have been the home before.
    void assign(core::TimePoint now, const std::string &serverId, const std::string &homeId, bool othersKnown);

    /// Removes a server that is no longer configured.
    void remove(const std::string &serverId);

    /// Reports that the previous home @p memberId has ended its work on @p serverId, so that this daemon need not
    /// wait. A release that arrives before this daemon is assigned as the home is valid for half of `handoverWait`
    /// only, because the previous home may become the home again.
    void release(core::TimePoint now, const std::string &serverId, const std::string &memberId);

    /// Reports that @p memberId has left and has thereby released its homes. They are taken over without a wait.
    void memberLeft(const std::string &memberId);

    /// Reports that @p memberId is alive again.
    void memberReturned(const std::string &memberId);

    /// Returns true if this daemon may send statements to @p serverId at time @p now.
    bool mayAct(core::TimePoint now, const std::string &serverId) const;

    /// Time from which this daemon may act for @p serverId; std::nullopt if this daemon is not the home or has lost its
    /// homes.
    std::optional<core::TimePoint> actsFrom(const std::string &serverId) const;

    /// End of the lease. Without another heartbeat() this daemon may not act for any server from then on.
    core::TimePoint validUntil() const;

private:
    struct Entry
    {
        std::string home;
        core::TimePoint notBefore; ///< Statements of all earlier homes may run until this time.
        std::string previousHome; ///< Home before the current home.
        core::TimePoint previousNotBefore; ///< Same for the homes before previousHome.
    };

    struct Release
    {
        std::string member;
        core::TimePoint at;
    };

    std::string selfId;
    HomeLeaseOptions options;
    std::map<std::string, Entry> entries;
    std::map<std::string, Release> releases; ///< Latest release by another daemon. The key is the server id.
    std::set<std::string> leftMembers;
    core::TimePoint lastHeartbeat;
    core::TimePoint resumedAt;
    bool homesLost = false;
};

}
