#include "gateway/daemonlease.h"

#include "core/error.h"
#include "core/hashing.h"
#include "gateway/metadatasync.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Life of a lease. A dead holder of the duty is replaced after it.
constexpr std::chrono::milliseconds LeaseLife{2'400};
constexpr std::chrono::milliseconds RenewalInterval{800};
constexpr std::chrono::milliseconds CallTimeout{700};
/// Candidates for a free duty wait up to this long, so that mostly one of them asks the store.
constexpr unsigned ElectionSpreadMs = 250;

}

DaemonLease::DaemonLease(net::Executor executor,
                         std::shared_ptr<MetadataStore> store,
                         DaemonLeaseOptions options,
                         DaemonLeaseCallbacks callbacks,
                         telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , store(std::move(store))
    , options(std::move(options))
    , callbacks(std::move(callbacks))
    , log(log)
{
}

std::string DaemonLease::dutyKey()
{
    return std::string(OwnKeyPrefix) + "duty/promotion";
}

std::string DaemonLease::registrationPrefix()
{
    return std::string(OwnKeyPrefix) + "daemons/";
}

net::awaitable<void> DaemonLease::run()
{
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    while (!this->stopped) {
        try {
            if (this->lease == 0) {
                co_await this->obtain();
            } else {
                co_await this->renew();
            }
        } catch (const core::Error &error) {
            this->log.line("lease_not_renewed", telemetry::LogLevel::Warning).field("reason", error.message);
        }
        if (!this->stopped && this->lease != 0 && this->dutyKnown && !this->duty) {
            asio::co_spawn(this->executor, this->seekDuty(), asio::detached);
        }
        asio::steady_timer pause(this->executor, RenewalInterval);
        co_await pause.async_wait(UseTuple);
    }
}

net::awaitable<void> DaemonLease::obtain()
{
    const core::BootTime askedAt = core::BootClock::now();
    const std::uint64_t granted = co_await this->store->grantLease(LeaseLife, CallTimeout);
    std::vector<MetadataChange> changes;
    changes.push_back(
        {.key = registrationPrefix() + this->options.daemonId, .value = this->options.registration, .lease = granted});
    const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
    if (!swap.applied) {
        co_return;
    }
    this->lease = granted;
    this->leaseUntil = askedAt + LeaseLife;
    this->callbacks.onContact();
}

net::awaitable<void> DaemonLease::renew()
{
    const core::BootTime askedAt = core::BootClock::now();
    const bool renewed = co_await this->store->renewLease(this->lease, CallTimeout);
    if (renewed) {
        this->leaseUntil = askedAt + LeaseLife;
        this->callbacks.onContact();
        co_return;
    }
    this->log.line("lease_ended", telemetry::LogLevel::Warning);
    this->lease = 0;
    this->loseDuty("lease ended");
    co_await this->obtain();
}

net::awaitable<void> DaemonLease::seekDuty()
{
    if (this->seeking || this->electionRevision != 0) {
        co_return;
    }
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    this->seeking = true;
    const auto wait = std::chrono::milliseconds(core::stableHash(core::randomHex(4)) % ElectionSpreadMs);
    asio::steady_timer pause(this->executor, wait);
    co_await pause.async_wait(UseTuple);
    if (!this->duty && !this->stopped && this->lease != 0) {
        std::vector<MetadataChange> changes;
        changes.push_back(
            {.key = dutyKey(), .expectedRevision = 0, .value = this->options.daemonId, .lease = this->lease});
        try {
            const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
            if (swap.applied) {
                this->electionRevision = swap.revision;
                this->log.line("duty_taken").field("revision", swap.revision);
                this->callbacks.onElected(swap.revision);
            }
        } catch (const core::Error &error) {
            // The election may have taken place; the watch tells.
            this->log.line("election_failed", telemetry::LogLevel::Warning).field("reason", error.message);
        }
    }
    this->seeking = false;
}

void DaemonLease::onDutyItem(const MetadataItem &item)
{
    this->dutyKnown = true;
    if (item.isRemoved) {
        if (this->duty && this->duty->revision > item.revision) {
            return;
        }
        this->duty.reset();
        this->loseDuty("duty key removed");
        if (this->lease != 0 && !this->stopped) {
            asio::co_spawn(this->executor, this->seekDuty(), asio::detached);
        }
        return;
    }
    this->duty = item;
    if (this->electionRevision != 0 && item.revision > this->electionRevision && item.lease != this->lease) {
        this->loseDuty("another holder was elected");
    } else if (this->electionRevision == 0 && this->lease != 0 && item.lease == this->lease) {
        // The answer to the election was lost.
        this->electionRevision = item.revision;
        this->log.line("duty_taken").field("revision", item.revision);
        this->callbacks.onElected(item.revision);
    }
}

void DaemonLease::onStoreRead()
{
    this->dutyKnown = true;
}

bool DaemonLease::holdsDuty() const
{
    return this->electionRevision != 0 && core::BootClock::now() < this->leaseUntil;
}

bool DaemonLease::wasElected() const
{
    return this->electionRevision != 0;
}

void DaemonLease::loseDuty(std::string reason)
{
    if (this->electionRevision == 0) {
        return;
    }
    this->electionRevision = 0;
    this->log.line("duty_lost", telemetry::LogLevel::Warning).field("reason", reason);
    this->callbacks.onDutyLost(std::move(reason));
}

net::awaitable<void> DaemonLease::stop()
{
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    this->stopped = true;
    const std::uint64_t ended = std::exchange(this->lease, 0);
    this->loseDuty("stopping");
    if (ended == 0) {
        co_return;
    }
    try {
        co_await this->store->endLease(ended, CallTimeout);
    } catch (const core::Error &error) {
        this->log.line("lease_not_ended", telemetry::LogLevel::Warning).field("reason", error.message);
    }
}

}
