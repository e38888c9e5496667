#pragma once

#include "confsync/entrystore.h"
#include "gateway/configuration.h"
#include "telemetry/decisionlog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace endiveshore::gateway {

/// How the platform names and writes what the daemons read from its store.
struct MetadataFormat
{
    std::string configurationKey;
    std::string serverPrefix;
    std::function<std::optional<Configuration>(std::string_view text)> readConfiguration;
    std::function<std::optional<BackendServer>(std::string_view key, std::string_view text, std::uint64_t revision)>
        readServer;
};

/// A key that the daemons wrote themselves, or its removal.
struct OwnEntry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of the last change, or one at which the removal was known.
    bool isRemoved = false;
};

struct MetadataCallbacks
{
    std::function<void()> onServers; ///< servers() has changed.
    std::function<void(const OwnEntry &entry)> onOwnEntry;
    std::function<void()> onConfiguration; ///< configuration() has changed.
};

/// Prefix of the keys that the daemons write.
inline constexpr std::string_view OwnKeyPrefix = "endiveshore/";

/// What the entries of the metadata store mean: the configuration in force, the backend servers and the daemons' own
/// keys. Pure.
class MetadataMirror
{
public:
    MetadataMirror(MetadataFormat format, MetadataCallbacks callbacks, telemetry::DecisionLog &log);

    /// Takes over all changes of @p entries since the last call.
    void apply(const confsync::EntryStore &entries, core::TimePoint now);

    /// Removes servers whose entry is gone for good: the store, last reached by any daemon at @p storeContact, has not
    /// shown it again. To be called every 100 ms or so.
    void tick(core::TimePoint storeContact);

    const ServerCatalogue &servers() const;
    std::shared_ptr<const Configuration> configuration() const;

private:
    bool applyServer(std::string_view key, const confsync::Entry *entry, core::TimePoint now);
    bool applyConfiguration(std::string_view text);

    MetadataFormat format;
    MetadataCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::map<std::string, std::int64_t, std::less<>> versions; ///< Of the live entries as last applied.
    ServerCatalogue catalogue;
    std::map<std::string, core::TimePoint, std::less<>> removedAt; ///< Servers that are kept for a while.
    std::shared_ptr<const Configuration> newest;
};

}
