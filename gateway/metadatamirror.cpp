#include "gateway/metadatamirror.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace endiveshore::gateway {

namespace {

/// After an outage of the store, backend servers need up to two seconds to write their expired entries again.
constexpr std::chrono::milliseconds RemovalDelay{2'200};
/// Time in which servers write their entries again after the store came back from an older copy.
constexpr std::chrono::milliseconds RewriteDelay{6'000};
/// Time for which servers that left are remembered. The copies of the store are some seconds old.
constexpr std::chrono::minutes DepartedLifetime{10};

bool hasSameContent(const BackendServer &one, const BackendServer &other)
{
    return one.isLeaving == other.isLeaving && one.claimsPrimary == other.claimsPrimary
        && one.startedAt == other.startedAt && one.slots == other.slots && one.endpoint == other.endpoint
        && one.service == other.service;
}
/// Smaller changes of the time at which a server is warm come from the way of its entries.
constexpr std::chrono::milliseconds ColdTolerance{500};

}

MetadataMirror::MetadataMirror(MetadataFormat format, MetadataCallbacks callbacks, telemetry::DecisionLog &log)
    : format(std::move(format))
    , callbacks(std::move(callbacks))
    , log(log)
{
}

std::vector<std::string> MetadataMirror::takeChangedKeys(const confsync::EntryStore &entries)
{
    std::vector<std::string> changed;
    // Both maps are ordered by key, so one pass finds the new, the changed and the removed keys.
    auto known = this->versions.begin();
    const auto takeRemovedBefore = [&](std::string_view key) {
        while (known != this->versions.end() && known->first < key) {
            changed.push_back(known->first);
            known = this->versions.erase(known);
        }
    };
    entries.visit({}, [&](std::string_view key, const confsync::Entry &entry) {
        takeRemovedBefore(key);
        if (known == this->versions.end() || known->first != key) {
            known = this->versions.emplace_hint(known, key, 0);
        }
        if (known->second != entry.version) {
            known->second = entry.version;
            changed.emplace_back(key);
        }
        ++known;
    });
    while (known != this->versions.end()) {
        changed.push_back(known->first);
        known = this->versions.erase(known);
    }
    return changed;
}

void MetadataMirror::apply(const confsync::EntryStore &entries, core::TimePoint now)
{
    bool serversChanged = false;
    bool configurationChanged = false;
    std::vector<OwnEntry> ownEntries;
    const std::uint64_t entriesEra = core::StorePoint::fromOrder(entries.revision()).era;
    // The first entries of a later era are those of an older copy, which lacks the latest changes.
    const bool isCopy = this->era && entriesEra > *this->era;
    this->era = entriesEra;
    if (isCopy) {
        this->eraChangedAt = now;
    }
    const bool isFirstRead = this->versions.empty();
    for (const std::string &key : this->takeChangedKeys(entries)) {
        const confsync::Entry *const entry = entries.find(key);
        const std::int64_t version = entries.versionOf(key).value_or(entries.revision());
        bool isSignificant = true;
        if (key.starts_with(this->format.serverPrefix)) {
            const ServerChange change = this->applyServer(key, entry, now, isCopy);
            isSignificant = change != ServerChange::Heartbeat;
            serversChanged = change == ServerChange::Content || serversChanged;
        } else if (key == this->format.configurationKey) {
            this->storedVersion = 0;
            configurationChanged = entry != nullptr && this->applyConfiguration(entry->value, true);
        } else if (this->isEvacuation(key)) {
            std::string dataCentre = key.substr(this->format.evacuationPrefix.size());
            this->heldWithdrawals.erase(dataCentre);
            if (entry == nullptr && isCopy) {
                // The operator's request is written again.
                this->heldWithdrawals.emplace(std::move(dataCentre), now);
            } else {
                this->callbacks.onEvacuation(
                    {.dataCentre = std::move(dataCentre), .isWithdrawn = entry == nullptr, .isOld = isFirstRead});
            }
        } else if (key.starts_with(OwnKeyPrefix)) {
            ownEntries.push_back({.key = key,
                                  .value = entry == nullptr ? std::string() : entry->value,
                                  .point = core::StorePoint::fromOrder(version),
                                  .isRemoved = entry == nullptr,
                                  .isLost = entry == nullptr && isCopy});
        }
        if (isSignificant) {
            this->significant = std::max(this->significant, version);
        }
    }
    // Sessions start as soon as the configuration is known, so the servers and the daemons that share the rates have to
    // be known before.
    for (const OwnEntry &entry : ownEntries) {
        this->callbacks.onOwnEntry(entry);
    }
    if (serversChanged) {
        this->callbacks.onServers();
    }
    if (configurationChanged) {
        this->callbacks.onConfiguration();
    }
}

MetadataMirror::ServerChange
MetadataMirror::applyServer(std::string_view key, const confsync::Entry *entry, core::TimePoint now, bool isCopy)
{
    const std::string id(key.substr(this->format.serverPrefix.size()));
    std::optional<BackendServer> server;
    if (entry != nullptr) {
        server = this->format.readServer(key, entry->value, static_cast<std::uint64_t>(entry->version));
        if (!server) {
            this->log.line("server_unreadable", telemetry::LogLevel::Warning)
                .field("server", id)
                .field("bytes", entry->value.size())
                .field("revision", core::StorePoint::fromOrder(entry->version).revision);
        }
    }
    this->copied.erase(id);
    if (!server) {
        const core::TimePoint from = isCopy ? now + (RewriteDelay - RemovalDelay) : now;
        const bool isRemoval = this->catalogue.contains(id) && this->removedAt.try_emplace(id, from).second;
        return isRemoval ? ServerChange::Presence : ServerChange::Heartbeat;
    }
    if (isCopy && !this->isUsedFromCopy(*server)) {
        this->log.line("server_copy_held").field("server", id);
        this->copied.insert_or_assign(id, CopiedServer{.server = std::move(*server), .since = now});
        return ServerChange::Heartbeat;
    }
    this->departedAt.erase(id);
    const bool isBack = this->removedAt.erase(id) > 0;
    if (this->applyServerEntry(std::move(*server), now)) {
        return ServerChange::Content;
    }
    return isBack ? ServerChange::Presence : ServerChange::Heartbeat;
}

bool MetadataMirror::isUsedFromCopy(const BackendServer &server) const
{
    const auto known = this->catalogue.find(server.id);
    if (known == this->catalogue.end()) {
        return !this->departedAt.contains(server.id);
    }
    const bool isNewer
        = std::tie(server.startedAt, server.sequence) > std::tie(known->second.startedAt, known->second.sequence);
    return isNewer || (!this->removedAt.contains(server.id) && hasSameContent(server, known->second));
}

bool MetadataMirror::applyServerEntry(BackendServer server, core::TimePoint now)
{
    server.coldUntil = server.coldFor > core::Milliseconds::zero() ? now + server.coldFor : core::TimePoint();
    const auto known = this->catalogue.find(server.id);
    const bool isChanged = known == this->catalogue.end() || !hasSameContent(known->second, server);
    // A server that warms up as it said before needs no news.
    const core::TimePoint knownUntil = known == this->catalogue.end() ? core::TimePoint() : known->second.coldUntil;
    const bool isColdChanged = std::max(server.coldUntil, now) > std::max(knownUntil, now) + ColdTolerance
        || std::max(knownUntil, now) > std::max(server.coldUntil, now) + ColdTolerance;
    if (!isChanged && !isColdChanged && known != this->catalogue.end()) {
        server.coldUntil = knownUntil;
    }
    if (isChanged || isColdChanged) {
        this->log.line("server_changed")
            .field("server", server.id)
            .field("service", server.service)
            .field("primary", server.claimsPrimary)
            .field("leaving", server.isLeaving)
            .field("cold_ms", server.coldFor.count())
            .field("revision", core::StorePoint::fromOrder(static_cast<std::int64_t>(server.revision)).revision);
    }
    std::string id = server.id;
    this->catalogue.insert_or_assign(std::move(id), std::move(server));
    return isChanged || isColdChanged;
}

bool MetadataMirror::isEvacuation(std::string_view key) const
{
    const std::string &prefix = this->format.evacuationPrefix;
    return !prefix.empty() && key.size() > prefix.size() && key.starts_with(prefix);
}

std::int64_t MetadataMirror::significantRevision() const
{
    return this->significant;
}

void MetadataMirror::offerConfiguration(std::string_view text)
{
    if (this->applyConfiguration(text, false)) {
        this->callbacks.onConfiguration();
    }
}

std::shared_ptr<const std::string> MetadataMirror::configurationText() const
{
    return this->newestText;
}

bool MetadataMirror::isConfigurationStored() const
{
    return this->newest == nullptr || this->newest->version == this->storedVersion;
}

std::optional<core::TimePoint> MetadataMirror::copyAt() const
{
    return this->eraChangedAt;
}

std::vector<std::string> MetadataMirror::departedServers() const
{
    std::vector<std::string> ids;
    for (const auto *const departed : {&this->departedAt, &this->removedAt}) {
        for (const auto &[id, time] : *departed) {
            ids.push_back(id);
        }
    }
    return ids;
}

void MetadataMirror::holdServers(std::span<const std::string> ids, core::TimePoint now)
{
    bool isChanged = false;
    for (const std::string &id : ids) {
        const auto found = this->catalogue.find(id);
        if (found == this->catalogue.end()) {
            continue;
        }
        this->log.line("server_copy_held").field("server", id);
        this->copied.insert_or_assign(id, CopiedServer{.server = std::move(found->second), .since = now});
        this->catalogue.erase(found);
        isChanged = true;
    }
    if (isChanged) {
        this->callbacks.onServers();
    }
}

bool MetadataMirror::applyConfiguration(std::string_view text, bool isStored)
{
    std::optional<Configuration> read = this->format.readConfiguration(text);
    if (!read) {
        this->log.line("configuration_unreadable", telemetry::LogLevel::Error).field("bytes", text.size());
        return false;
    }
    if (isStored) {
        this->storedVersion = read->version;
    }
    if (this->newest != nullptr && read->version <= this->newest->version) {
        return false;
    }
    this->newest = std::make_shared<const Configuration>(std::move(*read));
    this->newestText = std::make_shared<const std::string>(text);
    this->log.line("configuration_in_force")
        .field("version", this->newest->version)
        .field("routes", this->newest->routes.size())
        .field("workspaces", this->newest->workspaces.size());
    for (const std::string &row : this->newest->ignoredRows) {
        this->log.line("configuration_row_ignored", telemetry::LogLevel::Warning)
            .field("version", this->newest->version)
            .field("reason", row);
    }
    return true;
}

void MetadataMirror::tick(core::TimePoint storeContact)
{
    bool isChanged = false;
    std::erase_if(this->departedAt,
                  [storeContact](const auto &entry) { return storeContact > entry.second + DepartedLifetime; });
    for (auto entry = this->copied.begin(); entry != this->copied.end();) {
        if (storeContact < entry->second.since + RewriteDelay) {
            ++entry;
            continue;
        }
        this->removedAt.erase(entry->first);
        this->departedAt.erase(entry->first);
        isChanged = this->applyServerEntry(std::move(entry->second.server), entry->second.since) || isChanged;
        entry = this->copied.erase(entry);
    }
    for (auto held = this->heldWithdrawals.begin(); held != this->heldWithdrawals.end();) {
        if (storeContact < held->second + RewriteDelay) {
            ++held;
            continue;
        }
        this->callbacks.onEvacuation({.dataCentre = held->first, .isWithdrawn = true});
        held = this->heldWithdrawals.erase(held);
    }
    for (auto entry = this->removedAt.begin(); entry != this->removedAt.end();) {
        if (storeContact < entry->second + RemovalDelay) {
            ++entry;
            continue;
        }
        this->log.line("server_removed").field("server", entry->first);
        this->catalogue.erase(entry->first);
        this->departedAt.insert_or_assign(entry->first, storeContact);
        entry = this->removedAt.erase(entry);
        isChanged = true;
    }
    if (isChanged) {
        this->callbacks.onServers();
    }
}

const ServerCatalogue &MetadataMirror::servers() const
{
    return this->catalogue;
}

std::shared_ptr<const Configuration> MetadataMirror::configuration() const
{
    return this->newest;
}

}
