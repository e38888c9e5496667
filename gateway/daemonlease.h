#pragma once

#include "core/boottime.h"
#include "gateway/metadatamirror.h"
#include "gateway/metadatastore.h"
#include "telemetry/decisionlog.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiveshore::gateway {

struct DaemonLeaseOptions
{
    std::string daemonId;
    std::string registration; ///< Value of this daemon's registration key.
};

struct DaemonLeaseCallbacks
{
    std::function<bool()> mayCompete; ///< Whether this daemon may compete for the promotion duty now.
    std::function<void()> onContact; ///< The store answered a lease renewal.
    std::function<void(core::StorePoint election)> onElected;
    std::function<void(std::string reason)> onDutyLost;
    std::function<void(std::uint64_t era)> onEra = {}; ///< The store stated its era. May be empty.
    std::function<std::size_t()> daemons = {}; ///< Number of daemons in the fleet. If empty, this daemon is alone.
};

/// Registers this daemon in the metadata store under a lease, and acquires the promotion duty under a second lease when
/// no daemon holds it. Runs on the control thread.
class DaemonLease : public std::enable_shared_from_this<DaemonLease>
{
public:
    DaemonLease(net::Executor executor,
                std::shared_ptr<MetadataStore> store,
                DaemonLeaseOptions options,
                DaemonLeaseCallbacks callbacks,
                telemetry::DecisionLog &log);

    /// Renews the leases until stop().
    net::awaitable<void> run();

    /// Ends the leases of the duty and of the registration at once.
    net::awaitable<void> stop();

    /// Applies a change of the duty's key, as seen in the store.
    void onDutyEntry(const OwnEntry &entry);

    /// Records that the store has been read at @p point. If onDutyEntry() was not called in the era of that point, no
    /// daemon holds the duty.
    void onStoreRead(core::StorePoint point);

    /// Records that the store has reached @p era, as an answer of the store or another daemon says. The leases of
    /// earlier eras have ended: a duty that this daemon holds by an election of an earlier era is lost at once, and the
    /// registration is written again.
    void onEra(std::uint64_t era);

    /// True if this daemon holds the duty and its lease is valid for at least another @p reserve, so that no other
    /// daemon can be elected until then.
    bool holdsDuty(core::Duration reserve = {}) const;

    /// True if this daemon was elected in the era that it knows, and knows of no later holder, even if its lease may
    /// have expired.
    bool wasElected() const;

    /// Ends this daemon's term as holder, for example because another holder used a higher fence.
    void loseDuty(std::string reason);

    static std::string dutyKey();
    static std::string registrationPrefix();

private:
    net::awaitable<void> keepRegistration();
    net::awaitable<void> registerDaemon();
    net::awaitable<void> awaitRegistrationTurn();
    void recordAnswer(std::uint64_t era);
    bool isCurrent(const MetadataLease &lease) const;
    bool mayElect() const;
    /// True if the term of the holder in the duty's key began in an earlier era than that of the key's state.
    bool isHeldByEarlierEra() const;
    net::awaitable<void> renewDuty();
    net::awaitable<void> competeForDuty();
    net::awaitable<void> tryAcquireDuty();
    bool isOwnElection(const OwnEntry &entry) const;
    void takeDuty(core::StorePoint point, core::BootTime until);

    net::Executor executor;
    std::shared_ptr<MetadataStore> store;
    DaemonLeaseOptions options;
    DaemonLeaseCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::optional<std::uint64_t> era; ///< Highest era known; nothing before the first answer.
    /// Time until which a holder of the previous era may still act.
    core::BootTime earlierTermsEnd;
    MetadataLease registration; ///< Lease of the registration.
    boost::asio::steady_timer registrationTimer;
    std::optional<core::TimePoint> registrationTurn; ///< Time at which to register anew after a change of the era.
    MetadataLease dutyLease;
    core::BootTime dutyUntil;
    std::optional<OwnEntry> duty; ///< Last known entry of the duty's key; nothing if no daemon holds the duty.
    bool dutyKnown = false; ///< True once the store has shown whether the duty's key exists.
    core::StorePoint election; ///< Point at which this daemon was elected; revision 0 if it is not the holder.
    bool competing = false;
    bool stopped = false;
};

}
