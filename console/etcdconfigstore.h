#pragma once

#include "console/configstore.h"
#include "net/asyncio.h"
#include "net/httpmessage.h"

namespace endiveshore::console {

/// ConfigStore over the JSON gateway of etcd v3 (`/v3/kv/range`, `/v3/kv/txn`). Each call uses a new connection, so
/// that a silent one cannot hold up later calls.
class EtcdConfigStore : public ConfigStore
{
public:
    explicit EtcdConfigStore(net::TcpEndpoint endpoint);

    std::optional<StoredValue> get(std::string_view key, core::Duration timeout) override;
    RangeResult range(std::string_view prefix, core::Duration timeout) override;
    SwapResult
    compareAndSwap(std::string_view key, std::int64_t base, std::string_view value, core::Duration timeout) override;
    SwapResult remove(std::string_view key, std::int64_t base, core::Duration timeout) override;

private:
    std::string call(net::HttpRequest request, core::Duration timeout);
    SwapResult
    transact(std::string_view key, std::int64_t base, std::string_view operationJson, core::Duration timeout);

    net::TcpEndpoint endpoint;
};

}
