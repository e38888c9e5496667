#include "daemon/storeclientsource.h"

#include <algorithm>

namespace endiveshore::daemon {

StoreClientSource::StoreClientSource(std::shared_ptr<store::StoreClient> client, StoreClientSourceOptions options)
    : client(std::move(client))
    , options(std::move(options))
{
}

net::awaitable<ConfigurationSnapshot> StoreClientSource::read()
{
    // The first range is read at the newest revision (0), the others at the revision of the first, so that the snapshot
    // is consistent.
    ConfigurationSnapshot snapshot;
    for (const ConfigurationKeyRange &keyRange : this->options.keyRanges) {
        store::RangeOptions range{.pageSize = keyRange.pageSize, .revision = snapshot.revision};
        store::StoreSnapshot part = co_await this->client->range(keyRange.prefix, range);
        snapshot.revision = part.revision;
        for (store::StoreEntry &entry : part.entries) {
            snapshot.entries.push_back(
                {.key = std::move(entry.key), .value = std::move(entry.value), .version = entry.version});
        }
    }
    co_return snapshot;
}

net::awaitable<FollowEnd> StoreClientSource::follow(std::int64_t revision, FollowCallback callback)
{
    store::WatchOptions watch{.prefix = this->options.watchPrefix,
                              .fromRevision = revision + 1,
                              .inactivityTimeout = this->options.watchSilence};
    store::WatchCallback onEvents
        = [this, callback = std::move(callback)](const std::vector<store::StoreEvent> &events, std::int64_t reached) {
              std::vector<confsync::EntryChange> changes;
              for (const store::StoreEvent &event : events) {
                  if (this->isConfigurationKey(event.key)) {
                      changes.push_back(
                          {.key = event.key, .value = event.value, .version = event.version, .deleted = event.deleted});
                  }
              }
              return callback(changes, reached);
          };
    const store::WatchEndReason end = co_await this->client->watch(std::move(watch), std::move(onEvents));
    if (end == store::WatchEndReason::Stopped) {
        co_return FollowEnd::Stopped;
    }
    co_return end == store::WatchEndReason::Compacted ? FollowEnd::Compacted : FollowEnd::Lost;
}

bool StoreClientSource::isConfigurationKey(std::string_view key) const
{
    return std::ranges::any_of(this->options.keyRanges, [key](const ConfigurationKeyRange &keyRange) {
        return key.starts_with(keyRange.prefix);
    });
}

}
