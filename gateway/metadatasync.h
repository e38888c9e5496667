#pragma once

#include "gateway/configuration.h"
#include "gateway/metadatastore.h"
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

struct MetadataCallbacks
{
    std::function<void(std::shared_ptr<const Configuration> configuration)> onConfiguration;
    std::function<void()> onServers; ///< servers() has changed.
    std::function<void(const MetadataItem &item)> onOwnItem; ///< A key of the daemons has changed or was removed.
    std::function<void()> onComplete; ///< Everything has been read; keys not named do not exist.
};

/// Prefix of the keys that the daemons write.
inline constexpr std::string_view OwnKeyPrefix = "endiveshore/";

/// Follows the metadata store with one watch over everything: the configuration, the backend servers and the daemons'
/// own keys. Runs on the control thread.
class MetadataSync : public std::enable_shared_from_this<MetadataSync>
{
public:
    MetadataSync(net::Executor executor,
                 std::shared_ptr<MetadataStore> store,
                 MetadataFormat format,
                 MetadataCallbacks callbacks,
                 telemetry::DecisionLog &log);

    /// Reads and follows the store until stop().
    net::awaitable<void> run();
    void stop();

    /// Daemons that watch the store, this one included. The more there are, the less often each of them asks.
    void setWatchers(std::size_t daemons);

    /// Takes over a configuration from another daemon; an older one than known is ignored.
    void offerConfiguration(std::string_view text);

    /// Removes servers whose removal has been known for long enough. To be called every 100 ms or so.
    void tick(core::TimePoint now);

    const ServerCatalogue &servers() const;
    std::shared_ptr<const Configuration> configuration() const;

    /// When the store answered last; nothing if it never did.
    std::optional<core::TimePoint> lastContact() const;

private:
    net::awaitable<void> readAll();
    net::awaitable<void> readPrefix(std::string prefix, std::map<std::string, MetadataItem, std::less<>> &items);
    net::awaitable<void> follow();
    void apply(const MetadataItem &item);
    void applyServer(const MetadataItem &item);
    void noteContact();

    net::Executor executor;
    std::shared_ptr<MetadataStore> store;
    MetadataFormat format;
    MetadataCallbacks callbacks;
    telemetry::DecisionLog &log;
    ServerCatalogue catalogue;
    std::map<std::string, core::TimePoint, std::less<>> removedAt; ///< Servers that are kept for a while.
    std::map<std::string, std::uint64_t, std::less<>> ownKeys; ///< Known keys of the daemons with their revision.
    std::shared_ptr<const Configuration> newest;
    std::uint64_t revision = 0;
    std::size_t watchers = 1;
    std::optional<core::TimePoint> contact;
    bool reachable = false;
    bool stopped = false;
};

}
