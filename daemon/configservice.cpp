#include "daemon/configservice.h"

#include "confsync/deltamessage.h"
#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Several members announce a change at the same time; more pulls in parallel would only fetch the same delta again.
constexpr std::size_t MaxPulls = 2;

// Substitutes tried after a failed pull. If all of them fail, gossip announces the revision again.
constexpr int MaxSubstitutes = 3;

// Daemons that are not relays retry the first snapshot at longer intervals, to spare the store.
constexpr int FollowerRetryFactor = 4;

// Peers tried for the first snapshot before the store is tried again.
constexpr std::size_t PeersPerLoad = 3;

}

ConfigurationService::ConfigurationService(const net::Executor &executor,
                                           std::shared_ptr<ConfigurationSource> source,
                                           ConfigurationOptions options,
                                           ConfigurationCallbacks callbacks)
    : executor(executor)
    , source(std::move(source))
    , options(std::move(options))
    , callbacks(std::move(callbacks))
    , random(this->options.seed)
{
}

void ConfigurationService::start()
{
    const std::shared_ptr<ConfigurationService> self = this->shared_from_this();
    asio::co_spawn(
        this->executor, [self]() -> net::awaitable<void> { co_await self->run(); }, asio::detached);
    asio::co_spawn(
        this->executor, [self]() -> net::awaitable<void> { co_await self->checkPulls(); }, asio::detached);
}

void ConfigurationService::stop()
{
    this->stopped = true;
    this->candidates.clear();
}

bool ConfigurationService::loaded() const
{
    return this->configuration.revision() > 0;
}

std::int64_t ConfigurationService::revision() const
{
    return this->configuration.revision();
}

const confsync::EntryStore &ConfigurationService::entries() const
{
    return this->configuration;
}

const std::string &ConfigurationService::revisionSource() const
{
    return this->currentSource;
}

core::TimePoint ConfigurationService::lastStoreConfirmation() const
{
    return this->storeConfirmation;
}

json::object ConfigurationService::answer(const json::object &request) const
{
    boost::leaf::result<json::object> delta = confsync::answerDeltaRequest(this->configuration, request);
    if (!delta) {
        throw core::Error(core::ResultCode::MalformedRequest, "field since must be a revision");
    }
    return std::move(delta.value());
}

void ConfigurationService::onRevisionAnnounced(std::string_view memberId, std::int64_t revision)
{
    if (this->stopped || revision <= this->configuration.revision()) {
        return;
    }
    this->trackAnnounced(revision);
    this->addCandidate(
        {.memberId = std::string(memberId), .revision = revision, .notBefore = this->earliestPull(memberId)});
    this->schedulePulls();
}

void ConfigurationService::trackAnnounced(std::int64_t revision)
{
    // While changes follow each other, a daemon is always a little behind; only the oldest missing revision counts.
    if (this->missingRevision <= this->configuration.revision()) {
        this->missingRevision = revision;
        this->missingSince = core::Clock::now();
    }
}

bool ConfigurationService::mustWatch() const
{
    const bool isBehind = this->missingRevision > this->configuration.revision()
        && core::Clock::now() - this->missingSince >= this->options.behindLimit;
    return isBehind || this->callbacks.isRelay();
}

net::awaitable<void> ConfigurationService::run()
{
    co_await this->load();
    while (!this->stopped) {
        if (this->mustWatch()) {
            co_await this->followStore();
        } else {
            co_await this->pause(this->options.checkInterval);
        }
    }
}

net::awaitable<void> ConfigurationService::load()
{
    // g++ 12 miscompiles a co_await inside the condition of an if that leaves a loop.
    while (!this->stopped && !this->loaded()) {
        bool done = co_await this->loadFromStore();
        if (!done) {
            done = co_await this->loadFromPeers();
        }
        if (!done) {
            // Other daemons are notified by the relays as soon as these have read the store.
            co_await this->pause(this->callbacks.isRelay() ? this->nextRetryDelay()
                                                           : FollowerRetryFactor * this->nextRetryDelay());
        }
    }
}

net::awaitable<bool> ConfigurationService::loadFromStore()
{
    const core::TimePoint started = core::Clock::now();
    ConfigurationSnapshot snapshot;
    try {
        snapshot = co_await this->source->read();
    } catch (const core::Error &) {
        co_return false;
    }
    const confsync::MergeResult result = this->configuration.applySnapshot(snapshot.entries, snapshot.revision);
    this->watchedRevision = std::max(this->watchedRevision, snapshot.revision);
    // The store may have answered at any time since the request was sent, so only the start time counts as confirmed.
    this->storeConfirmation = std::max(this->storeConfirmation, started);
    this->notifyIfApplied(result);
    co_return true;
}

net::awaitable<bool> ConfigurationService::loadFromPeers()
{
    std::vector<std::string> peers = this->callbacks.peers();
    peers.resize(std::min(peers.size(), PeersPerLoad));
    for (const std::string &peer : peers) {
        if (this->stopped || this->loaded()) {
            break;
        }
        const bool answered = co_await this->pullFrom(peer);
        static_cast<void>(answered);
    }
    co_return this->loaded();
}

net::awaitable<void> ConfigurationService::followStore()
{
    // Changes up to the current revision may have come from peers; the watch need not report them again.
    this->watchedRevision = std::max(this->watchedRevision, this->configuration.revision());
    this->appliedRevision = this->configuration.revision();
    const core::TimePoint opened = core::Clock::now();
    const std::shared_ptr<ConfigurationService> self = this->shared_from_this();
    FollowCallback callback = [self](std::span<const confsync::EntryChange> changes, std::int64_t revision) {
        return self->applyChanges(changes, revision);
    };
    const FollowEnd end = co_await this->source->follow(this->watchedRevision, std::move(callback));
    if (end == FollowEnd::Stopped) {
        co_return;
    }
    if (end == FollowEnd::Compacted) {
        const bool reloaded = co_await this->loadFromStore();
        if (reloaded) {
            co_return;
        }
    }
    // A watch that worked for longer than the retry delay is reopened at once.
    const core::Duration wait = this->nextRetryDelay();
    if (core::Clock::now() - opened < wait) {
        co_await this->pause(wait);
    }
}

bool ConfigurationService::applyChanges(std::span<const confsync::EntryChange> changes, std::int64_t revision)
{
    this->storeConfirmation = core::Clock::now();
    if (!changes.empty()) {
        const confsync::MergeResult result = this->configuration.applyEvents(changes, this->appliedRevision, revision);
        this->appliedRevision = std::max(this->appliedRevision, revision);
        this->notifyIfApplied(result);
    }
    this->watchedRevision = std::max(this->watchedRevision, revision);
    return !this->stopped && this->mustWatch();
}

net::awaitable<void> ConfigurationService::checkPulls()
{
    while (!this->stopped) {
        co_await this->pause(this->options.checkInterval);
        this->schedulePulls();
    }
}

void ConfigurationService::schedulePulls()
{
    std::erase_if(this->candidates,
                  [this](const Candidate &candidate) { return candidate.revision <= this->configuration.revision(); });
    const core::TimePoint now = core::Clock::now();
    for (std::size_t index = 0; index < this->candidates.size() && !this->stopped;) {
        if (!this->mayStartPull(this->candidates[index], now)) {
            ++index;
            continue;
        }
        Candidate chosen = std::move(this->candidates[index]);
        this->candidates.erase(this->candidates.begin() + static_cast<std::ptrdiff_t>(index));
        this->pulls.push_back({.candidate = chosen, .started = now});
        const std::shared_ptr<ConfigurationService> self = this->shared_from_this();
        asio::co_spawn(
            this->executor, [self, chosen]() -> net::awaitable<void> { co_await self->pull(chosen); }, asio::detached);
    }
}

bool ConfigurationService::mayStartPull(const Candidate &candidate, core::TimePoint now) const
{
    if (now < candidate.notBefore) {
        return false;
    }
    std::size_t recent = 0;
    for (const Pull &pull : this->pulls) {
        if (pull.candidate.memberId == candidate.memberId) {
            return false;
        }
        if (now - pull.started >= this->options.hedgeDelay) {
            // A late pull must not block the others, since its member may be unreachable.
            continue;
        }
        ++recent;
        if (pull.candidate.revision >= candidate.revision) {
            return false;
        }
    }
    return recent < MaxPulls;
}

net::awaitable<void> ConfigurationService::pull(Candidate candidate)
{
    const bool answered = co_await this->pullFrom(candidate.memberId);
    std::erase_if(this->pulls,
                  [&candidate](const Pull &pull) { return pull.candidate.memberId == candidate.memberId; });
    if (!answered && !this->stopped && candidate.revision > this->configuration.revision()) {
        this->addSubstituteCandidate(candidate);
    }
    this->schedulePulls();
}

net::awaitable<bool> ConfigurationService::pullFrom(std::string memberId)
{
    json::object request = confsync::deltaRequest(this->configuration);
    json::object message;
    try {
        message = co_await this->callbacks.exchange(memberId, std::move(request));
    } catch (const std::exception &error) {
        this->reportFailedPull(memberId, error.what());
        co_return false;
    }
    confsync::Delta delta;
    try {
        delta = core::valueOrThrow([&message] { return confsync::deltaFromJson(message); });
    } catch (const core::Error &error) {
        this->reportFailedPull(memberId, error.message);
        co_return false;
    }
    const confsync::MergeResult result = this->configuration.mergeDelta(delta);
    if (result == confsync::MergeResult::Gap) {
        this->reportFailedPull(memberId, "the delta starts after the own revision");
    }
    this->notifyIfApplied(result, memberId);
    co_return true;
}

void ConfigurationService::reportFailedPull(std::string_view memberId, std::string_view reason) const
{
    if (this->callbacks.onPullFailed) {
        this->callbacks.onPullFailed(memberId, reason);
    }
}

void ConfigurationService::addCandidate(Candidate candidate)
{
    for (Candidate &known : this->candidates) {
        if (known.memberId == candidate.memberId) {
            known.revision = std::max(known.revision, candidate.revision);
            return;
        }
    }
    this->candidates.push_back(std::move(candidate));
}

core::TimePoint ConfigurationService::earliestPull(std::string_view memberId) const
{
    const core::TimePoint now = core::Clock::now();
    const bool watching = this->callbacks.isRelay() && this->storeConfirmation >= now - this->options.watchSilence;
    const bool sameRegion = !this->callbacks.isInSameRegion || this->callbacks.isInSameRegion(memberId);
    return watching || !sameRegion ? now + this->options.crossRegionDelay : now;
}

void ConfigurationService::addSubstituteCandidate(const Candidate &failed)
{
    if (failed.substitutes >= MaxSubstitutes) {
        return;
    }
    const std::vector<std::string> peers = this->callbacks.peers();
    const auto failedPeer = std::find(peers.begin(), peers.end(), failed.memberId);
    // Continues after the failed member, so that each attempt uses a different member.
    const std::size_t start = failedPeer == peers.end() ? 0 : static_cast<std::size_t>(failedPeer - peers.begin()) + 1;
    for (std::size_t offset = 0; offset < peers.size(); ++offset) {
        const std::string &peer = peers[(start + offset) % peers.size()];
        if (peer != failed.memberId) {
            this->addCandidate({.memberId = peer, .revision = failed.revision, .substitutes = failed.substitutes + 1});
            return;
        }
    }
}

net::awaitable<void> ConfigurationService::pause(core::Duration duration)
{
    asio::steady_timer timer(this->executor, duration);
    auto waited = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    static_cast<void>(waited);
}

core::Duration ConfigurationService::nextRetryDelay()
{
    // Relays that lost the store at the same time must not all retry at the same moment.
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::chrono::duration_cast<core::Duration>(this->options.retryInterval * factor(this->random));
}

void ConfigurationService::notifyIfApplied(confsync::MergeResult result, std::string_view memberId)
{
    if (result == confsync::MergeResult::Applied && !this->stopped) {
        this->currentSource = memberId;
        try {
            this->callbacks.revisionRaised(this->configuration);
        } catch (const std::exception &error) {
            // An entry that cannot be used must not end the watch or a pull.
            if (this->callbacks.onApplyFailed) {
                this->callbacks.onApplyFailed(error.what());
            }
        }
    }
}

}
