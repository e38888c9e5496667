#pragma once

#include "confsync/entrystore.h"
#include "core/time.h"
#include "daemon/configurationsource.h"
#include "net/asyncio.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::daemon {

struct ConfigurationOptions
{
    /// After this long without a message from the store, a watch counts as dead, and a relay pulls announced revisions
    /// from other members without delay. Below the isolation limit of 2 s, so that a dead watch is replaced before the
    /// daemon counts as isolated.
    core::Duration watchSilence = std::chrono::milliseconds(1'500);
    /// Mean delay between attempts to reach the store; each delay is varied at random by up to half of it.
    core::Duration retryInterval = std::chrono::milliseconds(500);
    /// Interval of the checks of the relay role and of outstanding pulls.
    core::Duration checkInterval = std::chrono::milliseconds(100);
    /// A pull from a second member starts if the first has not answered within this time.
    core::Duration hedgeDelay = std::chrono::milliseconds(200);
    /// Delay of a pull from another region, in which a member of the own region may announce the revision. Also the
    /// delay of any pull by a relay, whose own watch should report the change. With the delay, a change crosses between
    /// regions once per relay instead of once per daemon.
    core::Duration crossRegionDelay = std::chrono::milliseconds(300);
    /// A daemon that has not reached an announced revision within this time watches the store like a relay until it
    /// has.
    core::Duration behindLimit = std::chrono::milliseconds(1'000);
    std::uint64_t seed = 1; ///< Seed of the random retry delays.
};

struct ConfigurationCallbacks
{
    /// True if this daemon is a relay, which watches the store for its data centre.
    std::function<bool()> isRelay;
    /// Live members other than this daemon, in order of preference.
    std::function<std::vector<std::string>()> peers;
    /// Sends @p request to /peer/config of a member and returns the answer. Must end within a few seconds; throws
    /// core::Error on failure.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;
    /// True if the member is in this daemon's region. If not set, all members count as being in the same region.
    std::function<bool(std::string_view memberId)> isInSameRegion;
    /// Called each time the revision has increased.
    std::function<void(const confsync::EntryStore &entries)> revisionRaised;
    /// Called when revisionRaised threw an exception. May be empty.
    std::function<void(std::string_view reason)> onApplyFailed;
    /// Called when a pull from a member failed or its delta could not be applied. May be empty.
    std::function<void(std::string_view memberId, std::string_view reason)> onPullFailed;
};

/// Keeps the configuration of one daemon up to date. A relay watches the store; other daemons learn of higher revisions
/// from notifications and gossip and pull the missing changes from the announcing member. Runs on the control thread's
/// executor; not thread-safe. Must be owned by a shared_ptr; running operations keep the service alive until stop() has
/// taken effect.
class ConfigurationService : public std::enable_shared_from_this<ConfigurationService>
{
public:
    ConfigurationService(const net::Executor &executor,
                         std::shared_ptr<ConfigurationSource> source,
                         ConfigurationOptions options,
                         ConfigurationCallbacks callbacks);

    /// Loads the configuration from the store, or else from a peer, and follows its changes until stop().
    void start();
    void stop();

    /// True once a snapshot from the store or from a peer has been applied.
    bool loaded() const;

    std::int64_t revision() const;
    const confsync::EntryStore &entries() const;

    /// Id of the member from which the current revision was pulled; empty if it was read from the store.
    const std::string &revisionSource() const;

    /// Latest time at which the store confirmed that this daemon knows all changes; TimePoint::min() if it never did.
    core::TimePoint lastStoreConfirmation() const;

    /// Handles a request to /peer/config: returns a delta for `{"since","digest"}`. Throws
    /// core::Error(MalformedRequest) if the request has no valid revision.
    boost::json::object answer(const boost::json::object &request) const;

    /// Handles @p revision announced by @p memberId in a notification or by gossip. If it is higher than the own
    /// revision, pulls from that member: at once, or after ConfigurationOptions::crossRegionDelay if the change is
    /// likely to come from a cheaper source.
    void onRevisionAnnounced(std::string_view memberId, std::int64_t revision);

private:
    /// A member that announced a higher revision, or a substitute for such a member.
    struct Candidate
    {
        std::string memberId;
        std::int64_t revision = 0;
        core::TimePoint notBefore = core::TimePoint::min();
        int substitutes = 0; ///< Pulls that failed before this member was chosen as a substitute.
    };

    struct Pull
    {
        Candidate candidate;
        core::TimePoint started;
    };

    net::awaitable<void> run();
    net::awaitable<void> load();
    net::awaitable<bool> loadFromStore();
    net::awaitable<bool> loadFromPeers();
    net::awaitable<void> followStore();
    bool applyChanges(std::span<const confsync::EntryChange> changes, std::int64_t revision);
    net::awaitable<void> checkPulls();
    void schedulePulls();
    /// True if this daemon has to watch the store: as a relay, or since the pulls from other members fail.
    bool mustWatch() const;
    void trackAnnounced(std::int64_t revision);
    bool mayStartPull(const Candidate &candidate, core::TimePoint now) const;
    net::awaitable<void> pull(Candidate candidate);
    net::awaitable<bool> pullFrom(std::string memberId);
    void addCandidate(Candidate candidate);
    core::TimePoint earliestPull(std::string_view memberId) const;
    void addSubstituteCandidate(const Candidate &failed);
    net::awaitable<void> pause(core::Duration duration);
    core::Duration nextRetryDelay();
    void notifyIfApplied(confsync::MergeResult result, std::string_view memberId = {});
    void reportFailedPull(std::string_view memberId, std::string_view reason) const;

    net::Executor executor;
    std::shared_ptr<ConfigurationSource> source;
    ConfigurationOptions options;
    ConfigurationCallbacks callbacks;
    confsync::EntryStore configuration;
    std::string currentSource; ///< Member that sent the current revision; empty for the store.
    std::mt19937_64 random;
    bool stopped = false;
    core::TimePoint storeConfirmation = core::TimePoint::min();
    std::int64_t watchedRevision = 0; ///< Store revision up to which the watch has reported all changes.
    std::int64_t appliedRevision = 0; ///< Revision of the last change applied from the watch.
    std::int64_t missingRevision = 0; ///< Announced revision that this daemon has not reached yet; 0 for none.
    core::TimePoint missingSince; ///< Time at which missingRevision was announced.
    std::vector<Candidate> candidates;
    std::vector<Pull> pulls; ///< Pulls in flight, at most one per member.
};

}
