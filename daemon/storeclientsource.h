#pragma once

#include "daemon/configurationsource.h"
#include "store/storeclient.h"

#include <memory>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// Range of store keys that holds configuration entries. Keys outside all ranges are ignored.
struct ConfigurationKeyRange
{
    std::string prefix;
    std::int64_t pageSize = 0; ///< Entries per read request; bounds the size of an answer.
};

struct StoreClientSourceOptions
{
    std::string watchPrefix = "/endiveshore/"; ///< Common prefix of all key ranges, so that one watch covers them.
    /// A service document may take 1 MB, the limit of the store; a key entry takes about 200 bytes.
    std::vector<ConfigurationKeyRange> keyRanges{{"/endiveshore/services/", 5}, {"/endiveshore/keys/", 500}};
    core::Duration watchSilence{}; ///< A watch that delivers no message for this long counts as dead.
};

/// Configuration source for daemons that serve the proxy's own interface; reads through a store client.
class StoreClientSource : public ConfigurationSource
{
public:
    StoreClientSource(std::shared_ptr<store::StoreClient> client, StoreClientSourceOptions options);

    net::awaitable<ConfigurationSnapshot> read() override;
    net::awaitable<FollowEnd> follow(std::int64_t revision, FollowCallback callback) override;

private:
    bool isConfigurationKey(std::string_view key) const;

    std::shared_ptr<store::StoreClient> client;
    StoreClientSourceOptions options;
};

}
