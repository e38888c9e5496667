#include "gateway/countedstore.h"

namespace endiveshore::gateway {

using telemetry::StoreCall;

CountedStore::CountedStore(std::shared_ptr<MetadataStore> store, const telemetry::Metrics &metrics)
    : store(std::move(store))
    , metrics(metrics)
{
}

net::awaitable<MetadataPage> CountedStore::range(std::string prefix, std::string after, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::Range).add();
    return this->store->range(std::move(prefix), std::move(after), timeout);
}

net::awaitable<MetadataPage>
CountedStore::watch(std::string prefix, std::uint64_t revision, core::Milliseconds wait, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::Watch).add();
    return this->store->watch(std::move(prefix), revision, wait, timeout);
}

net::awaitable<MetadataSwap> CountedStore::swap(std::vector<MetadataChange> changes, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::Swap).add();
    return this->store->swap(std::move(changes), timeout);
}

net::awaitable<MetadataLease> CountedStore::grantLease(core::Milliseconds lifetime, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::GrantLease).add();
    return this->store->grantLease(lifetime, timeout);
}

net::awaitable<LeaseRenewal> CountedStore::renewLease(std::uint64_t lease, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::RenewLease).add();
    return this->store->renewLease(lease, timeout);
}

net::awaitable<void> CountedStore::endLease(std::uint64_t lease, core::Duration timeout)
{
    this->metrics.storeCalls(StoreCall::EndLease).add();
    return this->store->endLease(lease, timeout);
}

}
