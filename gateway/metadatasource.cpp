#include "gateway/metadatasource.h"

#include "core/error.h"
#include "core/storepoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

namespace endiveshore::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Part of the change deadline for which a watch waits without changes. With the margin for the response and the time
/// in which a change spreads, a watch that hangs is replaced within the deadline.
constexpr int WatchWaitDivisor = 2;
/// Shortest wait of a watch, since each expiry costs one call of every relay.
constexpr std::chrono::milliseconds ShortestWatchWait{500};
/// Time allowed for the response to a watch beyond the requested wait.
constexpr std::chrono::milliseconds WatchResponseMargin{1'000};
/// A working store answers within this time. The timeout is short because all callers of a fleet that has just started
/// wait for the first successful read.
constexpr std::chrono::milliseconds ReadTimeout{700};
/// Pause between two watches, per daemon that watches the store.
constexpr std::chrono::milliseconds PausePerWatcher{40};
/// Part of the change deadline that the pause takes at most. A change waits for the pause, and for as long as a watch
/// that hangs.
constexpr int PauseDivisor = 16;

}

MetadataSource::MetadataSource(net::Executor executor,
                               std::shared_ptr<MetadataStore> store,
                               MetadataSourceOptions options,
                               telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , store(std::move(store))
    , options(std::move(options))
    , log(log)
{
}

net::awaitable<daemon::ConfigurationSnapshot> MetadataSource::read()
{
    daemon::ConfigurationSnapshot snapshot;
    std::optional<core::StorePoint> point;
    std::string after;
    bool hasMore = true;
    try {
        while (hasMore) {
            MetadataPage page = co_await this->store->range(std::string(), after, ReadTimeout);
            this->recordContact(page.era);
            const core::StorePoint pagePoint{.era = page.era, .revision = page.revision};
            if (point && point->era != page.era) {
                throw core::Error(core::ResultCode::StoreUnavailable, "the era of the store changed during a read");
            }
            point = std::min(pagePoint, point.value_or(pagePoint));
            hasMore = page.hasMore && !page.items.empty();
            after = page.items.empty() ? after : page.items.back().key;
            std::ranges::move(this->changesOf(std::move(page.items), page.era), std::back_inserter(snapshot.entries));
        }
        snapshot.revision = point.value_or(core::StorePoint()).order();
        const auto isNewer = [&](const confsync::EntryChange &entry) { return entry.version > snapshot.revision; };
        if (std::ranges::any_of(snapshot.entries, isNewer)) {
            co_await this->addChangesWhileReading(snapshot);
        }
    } catch (const core::Error &error) {
        this->recordLoss(error.message);
        throw;
    }
    co_return snapshot;
}

/// Later pages are newer than the first one. Brings all entries to one revision, at which other daemons may pull them.
net::awaitable<void> MetadataSource::addChangesWhileReading(daemon::ConfigurationSnapshot &snapshot)
{
    const core::StorePoint point = core::StorePoint::fromOrder(snapshot.revision);
    MetadataPage page = co_await this->store->watch(std::string(), point.revision, ReadTimeout, ReadTimeout);
    if (page.historyLost || page.era != point.era) {
        throw core::Error(core::ResultCode::StoreUnavailable, "the history was lost during a read");
    }
    std::map<std::string, confsync::EntryChange, std::less<>> entries;
    for (confsync::EntryChange &entry : snapshot.entries) {
        std::string key = entry.key;
        entries.insert_or_assign(std::move(key), std::move(entry));
    }
    for (confsync::EntryChange &change : this->changesOf(std::move(page.items), page.era)) {
        std::string key = change.key;
        entries.insert_or_assign(std::move(key), std::move(change));
    }
    snapshot.entries.clear();
    for (auto &[key, entry] : entries) {
        if (!entry.deleted) {
            snapshot.entries.push_back(std::move(entry));
        }
    }
    snapshot.revision = core::StorePoint{.era = page.era, .revision = page.revision}.order();
}

net::awaitable<daemon::FollowEnd> MetadataSource::follow(std::int64_t revision, daemon::FollowCallback callback)
{
    core::StorePoint point = core::StorePoint::fromOrder(revision);
    while (true) {
        MetadataPage page;
        try {
            const core::Milliseconds wait = this->watchWait();
            page = co_await this->store->watch(std::string(), point.revision, wait, wait + WatchResponseMargin);
        } catch (const core::Error &error) {
            this->recordLoss(error.message);
            co_return daemon::FollowEnd::Lost;
        }
        this->recordContact(page.era);
        if (page.era < point.era) {
            this->recordLoss("the store answered from an earlier era");
            co_return daemon::FollowEnd::Lost;
        }
        // In a later era, the revision means a different state, even if the store has a history from it on.
        if (page.historyLost || page.era != point.era) {
            this->log.line("store_history_lost")
                .field("revision", point.revision)
                .field("era", point.era)
                .field("era_now", page.era);
            co_return daemon::FollowEnd::Compacted;
        }
        point.revision = std::max(point.revision, page.revision);
        const std::vector<confsync::EntryChange> changes = this->changesOf(std::move(page.items), page.era);
        if (!callback(changes, point.order())) {
            co_return daemon::FollowEnd::Stopped;
        }
        // Changes often come in series. In a large fleet, fetching several changes in one call saves the store many
        // calls.
        asio::steady_timer pause(this->executor,
                                 std::min<std::chrono::milliseconds>(static_cast<int>(this->watchers) * PausePerWatcher,
                                                                     this->longestPause()));
        co_await pause.async_wait(UseTuple);
    }
}

std::vector<confsync::EntryChange> MetadataSource::changesOf(std::vector<MetadataItem> items, std::uint64_t era) const
{
    std::vector<confsync::EntryChange> changes;
    for (MetadataItem &item : items) {
        if (!this->isFollowed(item.key)) {
            continue;
        }
        changes.push_back({.key = std::move(item.key),
                           .value = std::move(item.value),
                           .version = core::StorePoint{.era = era, .revision = item.revision}.order(),
                           .deleted = item.isRemoved});
    }
    return changes;
}

bool MetadataSource::isFollowed(std::string_view key) const
{
    return std::ranges::any_of(this->options.prefixes,
                               [key](const std::string &prefix) { return key.starts_with(prefix); });
}

void MetadataSource::setWatchers(std::size_t daemons)
{
    this->watchers = std::max<std::size_t>(1, daemons);
}

core::Milliseconds MetadataSource::watchWait() const
{
    return std::max<core::Milliseconds>(this->options.changeDeadline / WatchWaitDivisor, ShortestWatchWait);
}

core::Milliseconds MetadataSource::longestSilence() const
{
    return this->watchWait() + WatchResponseMargin + this->longestPause();
}

core::Milliseconds MetadataSource::longestPause() const
{
    return this->options.changeDeadline / PauseDivisor;
}

std::optional<core::TimePoint> MetadataSource::lastContact() const
{
    return this->contact;
}

void MetadataSource::recordContact(std::uint64_t era)
{
    if (this->options.onEra) {
        this->options.onEra(era);
    }
    this->contact = core::Clock::now();
    if (!this->reachable) {
        this->reachable = true;
        this->log.line("store_reached");
    }
}

void MetadataSource::recordLoss(std::string_view reason)
{
    if (this->reachable) {
        this->reachable = false;
        const core::Duration silence = this->contact ? core::Clock::now() - *this->contact : core::Duration::zero();
        this->log.line("store_lost", telemetry::LogLevel::Warning)
            .field("reason", reason)
            .field("silence_ms", core::toMilliseconds(silence));
    }
}

}
