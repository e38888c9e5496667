#pragma once

#include "confsync/entrystore.h"
#include "core/storepoint.h"
#include "gateway/configuration.h"
#include "telemetry/decisionlog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// Keys and value formats of the platform's metadata store.
struct MetadataFormat
{
    std::string configurationKey;
    std::string serverPrefix;
    std::string evacuationPrefix; ///< Keys of evacuations, followed by the data centre; empty if there are none.
    std::function<std::optional<Configuration>(std::string_view text)> readConfiguration;
    std::function<std::optional<BackendServer>(std::string_view key, std::string_view text, std::uint64_t revision)>
        readServer;
};

/// Change or removal of a key that the daemons themselves write.
struct OwnEntry
{
    std::string key;
    std::string value;
    core::StorePoint point; ///< Point of the last change; for a removal, a point at which the key was absent.
    bool isRemoved = false;
    bool isLost = false; ///< The key is missing since the store came back from an older copy.
};

/// Request to evacuate a data centre, or its withdrawal.
struct EvacuationChange
{
    std::string dataCentre;
    bool isWithdrawn = false;
    bool isOld = false; ///< The request was present when the entries were read for the first time.
};

struct MetadataCallbacks
{
    std::function<void()> onServers; ///< servers() has changed.
    std::function<void(const OwnEntry &entry)> onOwnEntry;
    std::function<void()> onConfiguration; ///< configuration() has changed.
    std::function<void(const EvacuationChange &change)> onEvacuation = [](const EvacuationChange &) {};
};

/// Prefix of the keys that the daemons write.
inline constexpr std::string_view OwnKeyPrefix = "endiveshore/";

/// Decodes the entries of the metadata store: the configuration in force, the backend servers and the daemons' own
/// keys. Does no I/O.
class MetadataMirror
{
public:
    MetadataMirror(MetadataFormat format, MetadataCallbacks callbacks, telemetry::DecisionLog &log);

    /// Applies all changes of @p entries since the last call.
    void apply(const confsync::EntryStore &entries, core::TimePoint now);

    /// Removes servers whose entry was deleted and did not come back within a delay in which the store was reachable,
    /// and uses those that have stood in the store's older copy for that long. @p storeContact is the last contact of
    /// any daemon with the store. To be called about every 100 ms.
    void tick(core::TimePoint storeContact);

    /// Revision of the last change that a daemon has to know; the heartbeats of servers are none. Other daemons need
    /// the entries only up to this revision.
    std::int64_t significantRevision() const;

    /// Applies a configuration that another daemon has in force, if it is newer than the own one.
    void offerConfiguration(std::string_view text);

    /// Text of the configuration in force; null without one.
    std::shared_ptr<const std::string> configurationText() const;

    /// True if the store holds the configuration in force, as far as is known. False for example after the store came
    /// back from an older copy.
    bool isConfigurationStored() const;

    /// Time at which entries of a later era were first applied; nothing before the first change of the era.
    std::optional<core::TimePoint> copyAt() const;

    /// Ids of servers that left lately. The store's older copy may hold their entries again.
    std::vector<std::string> departedServers() const;

    /// Stops using servers that left, as another daemon knows, until they write their entries again. For a daemon that
    /// has just read the entries for the first time.
    void holdServers(std::span<const std::string> ids, core::TimePoint now);

    const ServerCatalogue &servers() const;
    std::shared_ptr<const Configuration> configuration() const;

private:
    enum class ServerChange {
        Heartbeat, ///< The entry was only written again.
        Presence, ///< The entry was deleted or is back.
        Content,
    };

    /// Keys whose version has changed since the last call, and updates the known versions.
    std::vector<std::string> takeChangedKeys(const confsync::EntryStore &entries);
    ServerChange applyServer(std::string_view key, const confsync::Entry *entry, core::TimePoint now, bool isCopy);
    /// True if an entry that the store's older copy holds may be used although no server has written it since.
    bool isUsedFromCopy(const BackendServer &server) const;
    bool isEvacuation(std::string_view key) const;
    bool applyServerEntry(BackendServer server, core::TimePoint now);
    bool applyConfiguration(std::string_view text, bool isStored);

    MetadataFormat format;
    MetadataCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::map<std::string, std::int64_t, std::less<>> versions; ///< Entry versions by key, as last applied.
    ServerCatalogue catalogue;
    /// Servers whose entry was deleted, with the time from which its removal delay runs.
    std::map<std::string, core::TimePoint, std::less<>> removedAt;
    /// Servers that left, with the time. An older copy of the store may hold their entries again.
    std::map<std::string, core::TimePoint, std::less<>> departedAt;

    struct CopiedServer
    {
        BackendServer server;
        core::TimePoint since;
    };

    /// Entries of the store's older copy that are not used until a server has written them in the present era.
    std::map<std::string, CopiedServer, std::less<>> copied;
    /// Data centres whose evacuation the store's older copy lacks, with the time at which that was seen.
    std::map<std::string, core::TimePoint, std::less<>> heldWithdrawals;
    std::optional<std::uint64_t> era; ///< Era of the entries last applied.
    std::optional<core::TimePoint> eraChangedAt;
    std::shared_ptr<const Configuration> newest;
    std::shared_ptr<const std::string> newestText;
    std::uint64_t storedVersion = 0; ///< Version of the configuration in the store, as last applied; 0 for none.
    std::int64_t significant = 0;
};

}
