#pragma once

#include "console/configstore.h"
#include "net/asyncio.h"

namespace endiveshore::console {

/// ConfigStore over store::StoreClient. Each call uses a new connection, so that an unresponsive connection does not
/// delay later calls.
class PlatformConfigStore : public ConfigStore
{
public:
    explicit PlatformConfigStore(net::TcpEndpoint endpoint);

    std::optional<StoredValue> get(std::string_view key, core::Duration timeout) override;
    RangeResult range(std::string_view prefix, core::Duration timeout) override;
    SwapResult
    compareAndSwap(std::string_view key, std::int64_t base, std::string_view value, core::Duration timeout) override;
    SwapResult remove(std::string_view key, std::int64_t base, core::Duration timeout) override;
    std::int64_t removalRevision(std::string_view key, std::int64_t after, core::Duration timeout) override;

private:
    net::TcpEndpoint endpoint;
};

}
