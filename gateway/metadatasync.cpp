#include "gateway/metadatasync.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// A watch that has gone silent is noticed after this time; every daemon pays for one call each time that it passes.
constexpr std::chrono::milliseconds WatchWait{8'000};
constexpr std::chrono::milliseconds ReadTimeout{1'500};
constexpr std::chrono::milliseconds FirstRetry{100};
constexpr std::chrono::milliseconds LastRetry{800};
/// In a large fleet the last retry is longer by this for each daemon: a store in trouble is not asked the more often.
constexpr std::chrono::milliseconds RetryPerWatcher{10};
/// Pause between two watches for each daemon that watches.
constexpr std::chrono::milliseconds PausePerWatcher{15};
constexpr std::chrono::milliseconds LongestPause{1'200};
/// Entries that expired while the store was away come back within two seconds of its return.
constexpr std::chrono::milliseconds RemovalDelay{2'200};

}

MetadataSync::MetadataSync(net::Executor executor,
                           std::shared_ptr<MetadataStore> store,
                           MetadataFormat format,
                           MetadataCallbacks callbacks,
                           telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , store(std::move(store))
    , format(std::move(format))
    , callbacks(std::move(callbacks))
    , log(log)
{
}

net::awaitable<void> MetadataSync::run()
{
    const std::shared_ptr<MetadataSync> self = this->shared_from_this();
    std::chrono::milliseconds retry = FirstRetry;
    bool complete = false;
    while (!this->stopped) {
        try {
            if (!complete) {
                co_await this->readAll();
                complete = true;
            }
            co_await this->follow();
            retry = FirstRetry;
            // The history was lost; changes in the gap are found by reading everything anew.
            complete = false;
            continue;
        } catch (const core::Error &error) {
            if (this->reachable) {
                this->reachable = false;
                this->log.line("store_lost", telemetry::LogLevel::Warning)
                    .field("revision", this->revision)
                    .field("reason", error.message);
            }
        }
        asio::steady_timer pause(this->executor, retry);
        co_await pause.async_wait(UseTuple);
        retry = std::min(retry * 2, LastRetry + static_cast<int>(this->watchers) * RetryPerWatcher);
    }
}

void MetadataSync::stop()
{
    this->stopped = true;
}

void MetadataSync::noteContact()
{
    this->contact = core::Clock::now();
    if (!this->reachable) {
        this->reachable = true;
        this->log.line("store_reached").field("revision", this->revision);
    }
}

net::awaitable<void> MetadataSync::readPrefix(std::string prefix,
                                              std::map<std::string, MetadataItem, std::less<>> &items)
{
    std::string after;
    while (true) {
        MetadataPage page = co_await this->store->range(prefix, after, ReadTimeout);
        this->noteContact();
        if (this->revision == 0 || page.revision < this->revision) {
            this->revision = page.revision;
        }
        for (MetadataItem &item : page.items) {
            after = item.key;
            items.insert_or_assign(item.key, std::move(item));
        }
        if (!page.hasMore || after.empty()) {
            co_return;
        }
    }
}

net::awaitable<void> MetadataSync::readAll()
{
    std::map<std::string, MetadataItem, std::less<>> items;
    // The watch goes on from before the first page, so changes between pages are seen again rather than missed.
    this->revision = 0;
    co_await this->readPrefix(this->format.configurationKey, items);
    co_await this->readPrefix(this->format.serverPrefix, items);
    co_await this->readPrefix(std::string(OwnKeyPrefix), items);
    for (const auto &[key, item] : items) {
        this->apply(item);
    }
    const auto isGone = [&](const std::string &key) { return !items.contains(key); };
    for (const auto &[id, server] : ServerCatalogue(this->catalogue)) {
        const std::string key = this->format.serverPrefix + id;
        if (isGone(key)) {
            this->apply({.key = key, .revision = this->revision, .isRemoved = true});
        }
    }
    const std::map<std::string, std::uint64_t, std::less<>> known = this->ownKeys;
    for (const auto &[key, keyRevision] : known) {
        if (isGone(key)) {
            this->apply({.key = key, .revision = this->revision, .isRemoved = true});
        }
    }
    this->callbacks.onComplete();
}

net::awaitable<void> MetadataSync::follow()
{
    while (!this->stopped) {
        const MetadataPage page = co_await this->store->watch(std::string(), this->revision, WatchWait);
        this->noteContact();
        if (page.historyLost) {
            this->log.line("store_history_lost").field("revision", this->revision);
            co_return;
        }
        for (const MetadataItem &item : page.items) {
            this->apply(item);
        }
        this->revision = std::max(this->revision, page.revision);
        // Changes often come in series; in a large fleet one call for several of them saves the store many.
        asio::steady_timer pause(this->executor,
                                 std::min(static_cast<int>(this->watchers) * PausePerWatcher, LongestPause));
        co_await pause.async_wait(UseTuple);
    }
}

void MetadataSync::setWatchers(std::size_t daemons)
{
    this->watchers = daemons;
}

void MetadataSync::apply(const MetadataItem &item)
{
    if (item.key == this->format.configurationKey) {
        if (!item.isRemoved) {
            this->offerConfiguration(item.value);
        }
    } else if (item.key.starts_with(this->format.serverPrefix)) {
        this->applyServer(item);
    } else if (item.key.starts_with(OwnKeyPrefix)) {
        if (item.isRemoved) {
            this->ownKeys.erase(item.key);
        } else {
            this->ownKeys[item.key] = item.revision;
        }
        this->callbacks.onOwnItem(item);
    }
}

void MetadataSync::applyServer(const MetadataItem &item)
{
    const std::string id = item.key.substr(this->format.serverPrefix.size());
    std::optional<BackendServer> server;
    if (!item.isRemoved) {
        server = this->format.readServer(item.key, item.value, item.revision);
    }
    if (!server) {
        if (this->catalogue.contains(id)) {
            this->removedAt.try_emplace(id, core::Clock::now());
        }
        return;
    }
    this->removedAt.erase(id);
    const auto known = this->catalogue.find(id);
    if (known != this->catalogue.end() && known->second.revision >= server->revision) {
        return;
    }
    const bool isNews = known == this->catalogue.end() || known->second.isLeaving != server->isLeaving
        || known->second.claimsPrimary != server->claimsPrimary || known->second.startedAt != server->startedAt;
    if (isNews) {
        this->log.line("server_changed")
            .field("server", id)
            .field("service", server->service)
            .field("primary", server->claimsPrimary)
            .field("leaving", server->isLeaving)
            .field("revision", server->revision);
    }
    this->catalogue.insert_or_assign(id, std::move(*server));
    if (isNews) {
        this->callbacks.onServers();
    }
}

void MetadataSync::tick(core::TimePoint now)
{
    bool changed = false;
    for (auto entry = this->removedAt.begin(); entry != this->removedAt.end();) {
        // While the store is away, its word of a removal may be of an entry that expired with it.
        const bool settled = this->reachable && now >= entry->second + RemovalDelay;
        if (!settled) {
            ++entry;
            continue;
        }
        this->log.line("server_removed").field("server", entry->first);
        this->catalogue.erase(entry->first);
        entry = this->removedAt.erase(entry);
        changed = true;
    }
    if (changed) {
        this->callbacks.onServers();
    }
}

void MetadataSync::offerConfiguration(std::string_view text)
{
    std::optional<Configuration> read = this->format.readConfiguration(text);
    if (!read) {
        this->log.line("configuration_unreadable", telemetry::LogLevel::Error).field("bytes", text.size());
        return;
    }
    if (this->newest != nullptr && read->version <= this->newest->version) {
        return;
    }
    this->newest = std::make_shared<const Configuration>(std::move(*read));
    this->log.line("configuration_in_force")
        .field("version", this->newest->version)
        .field("routes", this->newest->routes.size())
        .field("workspaces", this->newest->workspaces.size());
    this->callbacks.onConfiguration(this->newest);
}

const ServerCatalogue &MetadataSync::servers() const
{
    return this->catalogue;
}

std::shared_ptr<const Configuration> MetadataSync::configuration() const
{
    return this->newest;
}

std::optional<core::TimePoint> MetadataSync::lastContact() const
{
    return this->contact;
}

}
