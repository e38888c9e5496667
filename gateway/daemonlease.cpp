#include "gateway/daemonlease.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

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
/// After a change of the era, time per daemon of the fleet over which the registrations are spread. Each takes two
/// writes, so the fleet stays below half of the 400 writes per second of the smallest store.
constexpr unsigned RegistrationSpreadMs = 10;
/// Names of the members in the JSON value of the duty's key.
constexpr std::string_view HolderMember = "daemon";
constexpr std::string_view LeaseMember = "lease";
constexpr std::string_view EraMember = "era"; ///< Era in which the lease was granted; missing for era 0.

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
    , registrationTimer(this->executor)
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
        if (this->wasElected()) {
            co_await this->renewDuty();
        } else if (this->dutyKnown) {
            co_await this->competeForDuty();
        }
        asio::steady_timer pause(this->executor, this->wasElected() ? DutyRenewalInterval : ElectionRetryInterval);
        co_await pause.async_wait(UseTuple);
    }
}

net::awaitable<void> DaemonLease::keepRegistration()
{
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    while (!this->stopped) {
        co_await this->awaitRegistrationTurn();
        if (this->stopped) {
            break;
        }
        try {
            const MetadataLease lease = this->registration;
            bool renewed = false;
            if (lease.id != 0) {
                const LeaseRenewal renewal = co_await this->store->renewLease(lease.id, CallTimeout);
                this->recordAnswer(renewal.era);
                renewed = renewal.isRenewed;
            }
            const bool awaitsTurn = this->registrationTurn.has_value();
            if (!awaitsTurn && !(renewed && this->isCurrent(lease))) {
                this->registration = {};
                co_await this->registerDaemon();
            }
            this->callbacks.onContact();
        } catch (const core::Error &error) {
            this->log.line("lease_not_renewed", telemetry::LogLevel::Warning).field("reason", error.message);
        }
        if (!this->registrationTurn) {
            this->registrationTimer.expires_after(RegistrationRenewalInterval);
            co_await this->registrationTimer.async_wait(UseTuple);
        }
    }
}

/// After a change of the era, all daemons register anew; each waits for a random part of the time in which the store
/// can take the calls of the whole fleet.
net::awaitable<void> DaemonLease::awaitRegistrationTurn()
{
    while (this->registrationTurn && !this->stopped && core::Clock::now() < *this->registrationTurn) {
        this->registrationTimer.expires_at(*this->registrationTurn);
        co_await this->registrationTimer.async_wait(UseTuple);
    }
    this->registrationTurn.reset();
}

void DaemonLease::recordAnswer(std::uint64_t answered)
{
    this->onEra(answered);
    if (this->callbacks.onEra) {
        this->callbacks.onEra(answered);
    }
}

bool DaemonLease::isCurrent(const MetadataLease &lease) const
{
    return lease.id != 0 && lease.era == this->era.value_or(0);
}

void DaemonLease::onEra(std::uint64_t known)
{
    if (!this->era) {
        this->era = known;
        return;
    }
    if (known <= *this->era) {
        return;
    }
    // A holder whose lease ran until the era changed may compete at once, since no other daemon acts by that lease.
    const bool mayFollowItself = this->holdsDuty() && this->election.era + 1 == known;
    this->era = known;
    this->earlierTermsEnd = mayFollowItself ? core::BootTime() : core::BootClock::now() + DutyLeaseLifetime;
    this->dutyLease = {};
    this->duty.reset();
    this->dutyKnown = false;
    this->loseDuty("the store came back from an older copy");
    if (this->registration.id != 0) {
        this->registration = {};
        const std::size_t daemons = this->callbacks.daemons ? this->callbacks.daemons() : 1;
        const auto wait = std::chrono::milliseconds(core::stableHash(core::randomHex(4))
                                                    % (std::max<std::size_t>(1, daemons) * RegistrationSpreadMs));
        this->registrationTurn = core::Clock::now() + wait;
        this->registrationTimer.cancel();
    }
}

net::awaitable<void> DaemonLease::registerDaemon()
{
    const MetadataLease granted = co_await this->store->grantLease(RegistrationLeaseLifetime, CallTimeout);
    this->recordAnswer(granted.era);
    std::vector<MetadataChange> changes;
    changes.push_back({.key = registrationPrefix() + this->options.daemonId,
                       .value = this->options.registration,
                       .lease = granted.id});
    const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
    this->recordAnswer(swap.era);
    if (swap.applied && this->isCurrent(granted)) {
        this->registration = granted;
    }
}

net::awaitable<void> DaemonLease::renewDuty()
{
    const core::BootTime sentAt = core::BootClock::now();
    try {
        const MetadataLease lease = this->dutyLease;
        const LeaseRenewal renewal = co_await this->store->renewLease(lease.id, CallTimeout);
        this->recordAnswer(renewal.era);
        if (lease != this->dutyLease || renewal.era != lease.era) {
            // The answer concerns the lease of an earlier election.
            co_return;
        }
        if (renewal.isRenewed) {
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
    if (this->competing || !this->mayElect() || !this->callbacks.mayCompete()) {
        co_return;
    }
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    this->competing = true;
    const auto wait = std::chrono::milliseconds(core::stableHash(core::randomHex(4)) % ElectionJitterMs);
    asio::steady_timer pause(this->executor, wait);
    co_await pause.async_wait(UseTuple);
    if (this->mayElect() && !this->stopped) {
        co_await this->tryAcquireDuty();
    }
    this->competing = false;
}

net::awaitable<void> DaemonLease::tryAcquireDuty()
{
    try {
        const core::BootTime sentAt = core::BootClock::now();
        const MetadataLease lease = co_await this->store->grantLease(DutyLeaseLifetime, CallTimeout);
        this->recordAnswer(lease.era);
        if (!this->isCurrent(lease) || !this->mayElect()) {
            co_return;
        }
        this->dutyLease = lease;
        json::object holder{{HolderMember, this->options.daemonId}, {LeaseMember, lease.id}};
        if (lease.era != 0) {
            holder.emplace(EraMember, lease.era);
        }
        std::vector<MetadataChange> changes;
        changes.push_back({.key = dutyKey(),
                           .expectedRevision = this->duty ? this->duty->point.revision : 0,
                           .value = json::serialize(holder),
                           .lease = lease.id});
        const MetadataSwap swap = co_await this->store->swap(std::move(changes), CallTimeout);
        this->recordAnswer(swap.era);
        if (swap.applied && swap.era == lease.era && lease == this->dutyLease) {
            this->takeDuty({.era = swap.era, .revision = swap.revision}, sentAt + DutyLeaseLifetime);
        }
    } catch (const core::Error &error) {
        // The swap may have been applied although its answer was lost; then the watch reports the key.
        this->log.line("election_failed", telemetry::LogLevel::Warning).field("reason", error.message);
    }
}

bool DaemonLease::mayElect() const
{
    return this->dutyKnown && !this->wasElected() && (!this->duty || this->isHeldByEarlierEra())
        && core::BootClock::now() >= this->earlierTermsEnd;
}

bool DaemonLease::isHeldByEarlierEra() const
{
    boost::system::error_code error;
    const json::value value = json::parse(this->duty->value, error);
    // A missing member stands for era 0.
    return !error && value.is_object()
        && static_cast<std::uint64_t>(core::jsonInteger(value.as_object(), EraMember, 0)) < this->duty->point.era;
}

void DaemonLease::takeDuty(core::StorePoint point, core::BootTime until)
{
    if (this->wasElected() || this->stopped) {
        return;
    }
    this->election = point;
    this->dutyUntil = until;
    this->log.line("duty_taken").field("revision", point.revision).field("era", point.era);
    this->callbacks.onElected(point);
}

void DaemonLease::onDutyEntry(const OwnEntry &entry)
{
    if (entry.point.era < this->era.value_or(0)) {
        return;
    }
    this->onEra(entry.point.era);
    this->dutyKnown = true;
    if (entry.isRemoved) {
        if ((this->duty && this->duty->point > entry.point) || this->election > entry.point) {
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
        this->takeDuty(entry.point, core::BootTime());
    } else if (this->wasElected() && entry.point > this->election) {
        this->loseDuty("a different daemon was elected");
    }
}

bool DaemonLease::isOwnElection(const OwnEntry &entry) const
{
    boost::system::error_code error;
    const json::value value = json::parse(entry.value, error);
    if (error || !value.is_object() || this->dutyLease.id == 0 || this->dutyLease.era != entry.point.era) {
        return false;
    }
    const json::object &holder = value.as_object();
    const MetadataLease lease{.id = static_cast<std::uint64_t>(core::jsonInteger(holder, LeaseMember)),
                              .era = static_cast<std::uint64_t>(core::jsonInteger(holder, EraMember))};
    return core::jsonString(holder, HolderMember) == this->options.daemonId && lease == this->dutyLease;
}

void DaemonLease::onStoreRead(core::StorePoint point)
{
    this->onEra(point.era);
    this->dutyKnown = this->dutyKnown || point.era == *this->era;
}

bool DaemonLease::holdsDuty(core::Duration reserve) const
{
    return this->wasElected() && core::BootClock::now() + reserve < this->dutyUntil;
}

bool DaemonLease::wasElected() const
{
    return this->election.revision != 0;
}

void DaemonLease::loseDuty(std::string reason)
{
    if (!this->wasElected()) {
        return;
    }
    this->election = {};
    this->log.line("duty_lost", telemetry::LogLevel::Warning).field("reason", reason);
    this->callbacks.onDutyLost(std::move(reason));
}

net::awaitable<void> DaemonLease::stop()
{
    const std::shared_ptr<DaemonLease> self = this->shared_from_this();
    this->stopped = true;
    const std::vector<MetadataLease> ended{std::exchange(this->dutyLease, {}), std::exchange(this->registration, {})};
    this->loseDuty("stopping");
    for (const MetadataLease &lease : ended) {
        // In a later era, the id can belong to another daemon's lease.
        if (!this->isCurrent(lease)) {
            continue;
        }
        try {
            co_await this->store->endLease(lease.id, CallTimeout);
        } catch (const core::Error &error) {
            this->log.line("lease_not_ended", telemetry::LogLevel::Warning).field("reason", error.message);
        }
    }
}

}
