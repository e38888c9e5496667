#include "gateway/metadatamirror.h"

#include <set>
#include <utility>
#include <vector>

namespace endiveshore::gateway {

namespace {

/// After an outage of the store, backend servers need up to two seconds to write their expired entries again.
constexpr std::chrono::milliseconds RemovalDelay{2'200};

}

MetadataMirror::MetadataMirror(MetadataFormat format, MetadataCallbacks callbacks, telemetry::DecisionLog &log)
    : format(std::move(format))
    , callbacks(std::move(callbacks))
    , log(log)
{
}

void MetadataMirror::apply(const confsync::EntryStore &entries, core::TimePoint now)
{
    std::vector<std::string> changed;
    // The versions known at the previous call. The keys that remain after the visit have been removed.
    std::map<std::string, std::int64_t, std::less<>> known = std::exchange(this->versions, {});
    entries.visit({}, [&](std::string_view key, const confsync::Entry &entry) {
        const auto before = known.find(key);
        if (before == known.end() || before->second != entry.version) {
            changed.emplace_back(key);
        }
        if (before != known.end()) {
            known.erase(before);
        }
        this->versions.emplace(key, entry.version);
    });
    for (const auto &[key, version] : known) {
        changed.push_back(key);
    }
    bool serversChanged = false;
    bool configurationChanged = false;
    std::vector<OwnEntry> ownEntries;
    for (const std::string &key : changed) {
        const confsync::Entry *const entry = entries.find(key);
        if (key.starts_with(this->format.serverPrefix)) {
            serversChanged = this->applyServer(key, entry, now) || serversChanged;
        } else if (key == this->format.configurationKey) {
            configurationChanged = entry != nullptr && this->applyConfiguration(entry->value);
        } else if (key.starts_with(OwnKeyPrefix)) {
            ownEntries.push_back(
                {.key = key,
                 .value = entry == nullptr ? std::string() : entry->value,
                 .revision = static_cast<std::uint64_t>(entry == nullptr ? entries.revision() : entry->version),
                 .isRemoved = entry == nullptr});
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

bool MetadataMirror::applyServer(std::string_view key, const confsync::Entry *entry, core::TimePoint now)
{
    const std::string id(key.substr(this->format.serverPrefix.size()));
    std::optional<BackendServer> server;
    if (entry != nullptr) {
        server = this->format.readServer(key, entry->value, static_cast<std::uint64_t>(entry->version));
        if (!server) {
            this->log.line("server_unreadable", telemetry::LogLevel::Warning)
                .field("server", id)
                .field("bytes", entry->value.size())
                .field("revision", entry->version);
        }
    }
    if (!server) {
        if (this->catalogue.contains(id)) {
            this->removedAt.try_emplace(id, now);
        }
        return false;
    }
    this->removedAt.erase(id);
    const auto known = this->catalogue.find(id);
    const bool isChanged = known == this->catalogue.end() || known->second.isLeaving != server->isLeaving
        || known->second.claimsPrimary != server->claimsPrimary || known->second.startedAt != server->startedAt
        || known->second.slots != server->slots || known->second.endpoint != server->endpoint
        || known->second.service != server->service;
    if (isChanged) {
        this->log.line("server_changed")
            .field("server", id)
            .field("service", server->service)
            .field("primary", server->claimsPrimary)
            .field("leaving", server->isLeaving)
            .field("revision", server->revision);
    }
    this->catalogue.insert_or_assign(id, std::move(*server));
    return isChanged;
}

bool MetadataMirror::applyConfiguration(std::string_view text)
{
    std::optional<Configuration> read = this->format.readConfiguration(text);
    if (!read) {
        this->log.line("configuration_unreadable", telemetry::LogLevel::Error).field("bytes", text.size());
        return false;
    }
    if (this->newest != nullptr && read->version <= this->newest->version) {
        return false;
    }
    this->newest = std::make_shared<const Configuration>(std::move(*read));
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
    const std::size_t before = this->removedAt.size();
    for (auto entry = this->removedAt.begin(); entry != this->removedAt.end();) {
        if (storeContact < entry->second + RemovalDelay) {
            ++entry;
            continue;
        }
        this->log.line("server_removed").field("server", entry->first);
        this->catalogue.erase(entry->first);
        entry = this->removedAt.erase(entry);
    }
    if (this->removedAt.size() != before) {
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
