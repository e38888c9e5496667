#pragma once

#include "gateway/metadatastore.h"
#include "telemetry/metrics.h"

#include <memory>

namespace endiveshore::gateway {

/// Passes all calls to another metadata store and counts them by kind.
class CountedStore : public MetadataStore
{
public:
    CountedStore(std::shared_ptr<MetadataStore> store, const telemetry::Metrics &metrics);

    net::awaitable<MetadataPage> range(std::string prefix, std::string after, core::Duration timeout) override;
    net::awaitable<MetadataPage>
    watch(std::string prefix, std::uint64_t revision, core::Milliseconds wait, core::Duration timeout) override;
    net::awaitable<MetadataSwap> swap(std::vector<MetadataChange> changes, core::Duration timeout) override;
    net::awaitable<MetadataLease> grantLease(core::Milliseconds lifetime, core::Duration timeout) override;
    net::awaitable<LeaseRenewal> renewLease(std::uint64_t lease, core::Duration timeout) override;
    net::awaitable<void> endLease(std::uint64_t lease, core::Duration timeout) override;

private:
    std::shared_ptr<MetadataStore> store;
    const telemetry::Metrics &metrics;
};

}
