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
    /// A relay whose source has been silent for this long takes notices of others at once. Below the isolation limit of
    /// 2 s, so that a dead watch is replaced before the daemon counts as isolated.
    core::Duration watchSilence = std::chrono::milliseconds(1'500);
    /// Between attempts to reach the store, varied by half in both directions.
    core::Duration retryInterval = std::chrono::milliseconds(500);
    /// How often the relay role and outstanding pulls are checked.
    core::Duration checkInterval = std::chrono::milliseconds(100);
    /// A second member is asked if the first has not answered within this time.
    core::Duration hedgeDelay = std::chrono::milliseconds(200);
    /// How long a pull from a far member waits for a notice of a near one, and a pull of a relay for its own watch. A
    /// change crosses the regions once per relay instead of once per daemon.
    core::Duration crossRegionDelay = std::chrono::milliseconds(300);
    std::uint64_t seed = 1; ///< Of the variation of the retry interval.
};

struct ConfigurationCallbacks
{
    /// True if this daemon watches the store for its data centre.
    std::function<bool()> isRelay;
    /// Live members other than this one, best first.
    std::function<std::vector<std::string>()> peers;
    /// Sends @p request to /peer/config of a member. Must end within a few seconds; throws core::Error if it fails.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;
    /// True if traffic with the member stays in this daemon's region. All members are near if it is not set.
    std::function<bool(std::string_view memberId)> isInSameRegion;
    /// Called after each rise of the revision.
    std::function<void(const confsync::EntryStore &entries)> revisionRaised;
};

/// Keeps the configuration of one daemon up to date. A relay watches the store; other daemons learn of higher revisions
/// from notices and gossip and pull what they lack. Runs on the control thread's executor; not thread-safe. Must be
/// owned by a shared_ptr; running operations keep it alive until stop() has taken effect.
class ConfigurationService : public std::enable_shared_from_this<ConfigurationService>
{
public:
    ConfigurationService(const net::Executor &executor,
                         std::shared_ptr<ConfigurationSource> source,
                         ConfigurationOptions options,
                         ConfigurationCallbacks callbacks);

    /// Loads the configuration from the store, else from a peer, and follows it until stop().
    void start();
    void stop();

    /// True once a snapshot from the store or a peer is in force.
    bool loaded() const;

    std::int64_t revision() const;
    const confsync::EntryStore &entries() const;

    /// Newest time at which the store confirmed that this daemon knows all changes; TimePoint::min() if never.
    core::TimePoint lastStoreConfirmation() const;

    /// Answers /peer/config: `{"since","digest"}` -> a delta. Throws core::Error(MalformedRequest) without a valid
    /// revision.
    boost::json::object answer(const boost::json::object &request) const;

    /// A notice or gossip message of @p memberId showed @p revision. Pulls from that member if it is higher: at
    /// once, or after ConfigurationOptions::crossRegionDelay if a cheaper source is likely.
    void onRevisionAnnounced(std::string_view memberId, std::int64_t revision);

private:
    /// Member that showed a higher revision, or is asked in place of such a member.
    struct Candidate
    {
        std::string memberId;
        std::int64_t revision = 0;
        core::TimePoint notBefore = core::TimePoint::min();
        int substitutes = 0; ///< Members that failed before this one was chosen in their place.
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
    bool mayStartPull(const Candidate &candidate, core::TimePoint now) const;
    net::awaitable<void> pull(Candidate candidate);
    net::awaitable<bool> pullFrom(std::string memberId);
    void addCandidate(Candidate candidate);
    core::TimePoint earliestPull(std::string_view memberId) const;
    void addSubstituteCandidate(const Candidate &failed);
    net::awaitable<void> pause(core::Duration duration);
    core::Duration nextRetryDelay();
    void notifyIfApplied(confsync::MergeResult result);

    net::Executor executor;
    std::shared_ptr<ConfigurationSource> source;
    ConfigurationOptions options;
    ConfigurationCallbacks callbacks;
    confsync::EntryStore configuration;
    std::mt19937_64 random;
    bool stopped = false;
    core::TimePoint storeConfirmation = core::TimePoint::min();
    std::int64_t watchedRevision = 0; ///< Store revision up to which the watch has reported everything.
    std::int64_t appliedRevision = 0; ///< Revision of the last change that the watch has applied.
    std::vector<Candidate> candidates;
    std::vector<Pull> pulls; ///< In flight, at most one per member.
};

}
