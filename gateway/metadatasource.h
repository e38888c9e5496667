#pragma once

#include "daemon/configurationsource.h"
#include "gateway/metadatastore.h"
#include "telemetry/decisionlog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::gateway {

struct MetadataSourceOptions
{
    std::vector<std::string> prefixes; ///< Keys that begin with one of these are reported.
    /// Time in which a change must be in force. A watch on a connection that has gone silent is replaced well before
    /// it has passed.
    core::Milliseconds changeDeadline{4'000};
    std::function<void(std::uint64_t era)> onEra = {}; ///< The store stated its era. May be empty.
};

/// Reads and watches the daemons' keys in the platform's metadata store. Its revisions are core::StorePoint::order() of
/// the store's points. Runs on the control thread.
class MetadataSource : public daemon::ConfigurationSource
{
public:
    MetadataSource(net::Executor executor,
                   std::shared_ptr<MetadataStore> store,
                   MetadataSourceOptions options,
                   telemetry::DecisionLog &log);

    net::awaitable<daemon::ConfigurationSnapshot> read() override;
    net::awaitable<daemon::FollowEnd> follow(std::int64_t revision, daemon::FollowCallback callback) override;

    /// Number of daemons that watch the store, including this one. With more watching daemons, each daemon pauses
    /// longer between two watches.
    void setWatchers(std::size_t daemons);

    /// Longest time between two answers of the store to a watch that works.
    core::Milliseconds longestSilence() const;

    /// Time of the store's last answer; nothing if it never answered.
    std::optional<core::TimePoint> lastContact() const;

private:
    net::awaitable<void> addChangesWhileReading(daemon::ConfigurationSnapshot &snapshot);
    core::Milliseconds watchWait() const;
    core::Milliseconds longestPause() const;
    void recordContact(std::uint64_t era);
    void recordLoss(std::string_view reason);
    bool isFollowed(std::string_view key) const;
    std::vector<confsync::EntryChange> changesOf(std::vector<MetadataItem> items, std::uint64_t era) const;

    net::Executor executor;
    std::shared_ptr<MetadataStore> store;
    MetadataSourceOptions options;
    telemetry::DecisionLog &log;
    std::size_t watchers = 1;
    std::optional<core::TimePoint> contact;
    bool reachable = false;
};

}
