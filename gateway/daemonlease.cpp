#include "gateway/daemonlease.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Lifetime of the registration lease. It is long because the store has to serve the renewals of every daemon of the
/// fleet.
constexpr std::chrono::milliseconds RegistrationLeaseLifetime{5'000};
constexpr std::chrono::milliseconds RegistrationRenewalInterval{1'600};
/// Lifetime of the duty's lease. A failed holder is replaced after this time.
constexpr std::chrono::milliseconds DutyLeaseLifetime{2'400};
constexpr std::chrono::milliseconds DutyRenewalInterval{800};
constexpr std::chrono::milliseconds ElectionRetryInterval{800};
constexpr std::chrono::milliseconds CallTimeout{700};
/// Maximum random delay before a candidate competes for a free duty, so that usually only one candidate calls the
/// store.
constexpr unsigned ElectionJitterMs = 250;
/// Names of the members in the JSON value of the duty's key.
constexpr std::string_view HolderMember = "daemon";
constexpr std::string_view LeaseMember = "lease";

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
    asio::co_spawn(this->executor, this->keepRegistration(), asio::detached);
    while (!this->stopped) {
        if (this->electionRevision != 0) {
            co_await this->renewDuty();
        } else if (this->dutyKnown && !this->duty) {
            co_await this->competeForDuty();
        }
        asio::steady_timer pause(this->executor,
                                 this->electionRevision != 0 ? DutyRenewalInterval : ElectionRetryInterval);
        co_await pause.async_wait(UseTuple);
    }
}

net::awaitable<void> DaemonLease::keepRegistration()
{
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    while (!this->stopped) {
        try {
            const bool renewed
                = this->registration != 0 && co_await this->store->renewLease(this->registration, CallTimeout);
            if (!renewed) {
                this->registration = 0;
                co_await this->registerDaemon();
            }
            this->callbacks.onContact();
        } catch (const core::Error &error) {
            this->log.line("lease_not_renewed", telemetry::LogLevel::Warning).field("reason", error.message);
        }
        asio::steady_timer pause(this->executor, RegistrationRenewalInterval);
        co_await pause.async_wait(UseTuple);
    }
}

net::awaitable<void> DaemonLease::registerDaemon()
{
    const std::uint64_t granted = co_await this->store->grantLease(RegistrationLeaseLifetime, CallTimeout);
    std::vector<MetadataChange> changes;
    changes.push_back(
        {.key = registrationPrefix() + this->options.daemonId, .value = this->options.registration, .lease = granted});
    const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
    if (swap.applied) {
        this->registration = granted;
    }
}

net::awaitable<void> DaemonLease::renewDuty()
{
    const core::BootTime sentAt = core::BootClock::now();
    try {
        const bool renewed = co_await this->store->renewLease(this->dutyLease, CallTimeout);
        if (renewed) {
            this->dutyUntil = sentAt + DutyLeaseLifetime;
            this->callbacks.onContact();
        } else {
            this->loseDuty("the lease of the duty has expired");
        }
    } catch (const core::Error &error) {
        this->log.line("duty_not_renewed", telemetry::LogLevel::Warning).field("reason", error.message);
    }
}

net::awaitable<void> DaemonLease::competeForDuty()
{
    if (this->competing || this->electionRevision != 0 || !this->callbacks.mayCompete()) {
        co_return;
    }
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    this->competing = true;
    const auto wait = std::chrono::milliseconds(core::stableHash(core::randomHex(4)) % ElectionJitterMs);
    asio::steady_timer pause(this->executor, wait);
    co_await pause.async_wait(UseTuple);
    if (!this->duty && !this->stopped) {
        co_await this->tryAcquireDuty();
    }
    this->competing = false;
}

net::awaitable<void> DaemonLease::tryAcquireDuty()
{
    try {
        const core::BootTime sentAt = core::BootClock::now();
        this->dutyLease = co_await this->store->grantLease(DutyLeaseLifetime, CallTimeout);
        std::vector<MetadataChange> changes;
        const json::object holder{{HolderMember, this->options.daemonId}, {LeaseMember, this->dutyLease}};
        changes.push_back(
            {.key = dutyKey(), .expectedRevision = 0, .value = json::serialize(holder), .lease = this->dutyLease});
        const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
        if (swap.applied) {
            this->takeDuty(swap.revision, sentAt + DutyLeaseLifetime);
        }
    } catch (const core::Error &error) {
        // The swap may have been applied although its answer was lost; then the watch reports the key.
        this->log.line("election_failed", telemetry::LogLevel::Warning).field("reason", error.message);
    }
}

void DaemonLease::takeDuty(std::uint64_t revision, core::BootTime until)
{
    if (this->electionRevision != 0 || this->stopped) {
        return;
    }
    this->electionRevision = revision;
    this->dutyUntil = until;
    this->log.line("duty_taken").field("revision", revision);
    this->callbacks.onElected(revision);
}

void DaemonLease::onDutyEntry(const OwnEntry &entry)
{
    this->dutyKnown = true;
    if (entry.isRemoved) {
        if (this->duty && this->duty->revision > entry.revision) {
            return;
        }
        this->duty.reset();
        this->loseDuty("the key of the duty was removed");
        if (!this->stopped) {
            asio::co_spawn(this->executor, this->competeForDuty(), asio::detached);
        }
        return;
    }
    this->duty = entry;
    if (this->isOwnElection(entry)) {
        // If the answer to the election was lost, the expiry of the lease is unknown until its first renewal.
        this->takeDuty(entry.revision, core::BootTime());
    } else if (this->electionRevision != 0 && entry.revision > this->electionRevision) {
        this->loseDuty("a different daemon was elected");
    }
}

bool DaemonLease::isOwnElection(const OwnEntry &entry) const
{
    boost::system::error_code error;
    const json::value value = json::parse(entry.value, error);
    if (error || !value.is_object() || this->dutyLease == 0) {
        return false;
    }
    return core::jsonString(value.as_object(), HolderMember) == this->options.daemonId
        && static_cast<std::uint64_t>(core::jsonInteger(value.as_object(), LeaseMember)) == this->dutyLease;
}

void DaemonLease::onStoreRead()
{
    this->dutyKnown = true;
}

bool DaemonLease::holdsDuty(core::Duration reserve) const
{
    return this->electionRevision != 0 && core::BootClock::now() + reserve < this->dutyUntil;
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
    const std::vector<std::uint64_t> ended{std::exchange(this->dutyLease, 0), std::exchange(this->registration, 0)};
    this->loseDuty("stopping");
    for (const std::uint64_t lease : ended) {
        if (lease == 0) {
            continue;
        }
        try {
            co_await this->store->endLease(lease, CallTimeout);
        } catch (const core::Error &error) {
            this->log.line("lease_not_ended", telemetry::LogLevel::Warning).field("reason", error.message);
        }
    }
}

}
