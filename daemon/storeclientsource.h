#pragma once

#include "daemon/configurationsource.h"
#include "store/storeclient.h"

#include <memory>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// Part of the store that belongs to the configuration. Other keys are ignored.
struct ConfigurationKeyRange
{
    std::string prefix;
    std::int64_t pageSize = 0; ///< Entries per read; bounds the size of the answer.
};

struct StoreClientSourceOptions
{
    std::string watchPrefix = "/endiveshore/"; ///< Contains all parts, so that one watch covers them.
    /// A document may take 1 MB, the limit of the store; a key takes about 200 bytes.
    std::vector<ConfigurationKeyRange> keyRanges{{"/endiveshore/services/", 5}, {"/endiveshore/keys/", 500}};
    core::Duration watchSilence{}; ///< A watch without any message for this long counts as dead.
};

/// The configuration in the store of the own interface.
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
