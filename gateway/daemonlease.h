#pragma once

#include "core/boottime.h"
#include "gateway/metadatamirror.h"
#include "gateway/metadatastore.h"
#include "telemetry/decisionlog.h"

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
    std::function<void(std::uint64_t electionRevision)> onElected;
    std::function<void(std::string reason)> onDutyLost;
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

    /// Records that the store has been read. If onDutyEntry() was not called before, no daemon holds the duty.
    void onStoreRead();

    /// True if this daemon holds the duty and its lease is valid for at least another @p reserve, so that no other
    /// daemon can be elected until then.
    bool holdsDuty(core::Duration reserve = {}) const;

    /// True if this daemon was elected and knows of no later holder, even if its lease may have expired.
    bool wasElected() const;

    /// Ends this daemon's term as holder, for example because another holder used a higher fence.
    void loseDuty(std::string reason);

    static std::string dutyKey();
    static std::string registrationPrefix();

private:
    net::awaitable<void> keepRegistration();
    net::awaitable<void> registerDaemon();
    net::awaitable<void> renewDuty();
    net::awaitable<void> competeForDuty();
    net::awaitable<void> tryAcquireDuty();
    bool isOwnElection(const OwnEntry &entry) const;
    void takeDuty(std::uint64_t revision, core::BootTime until);

    net::Executor executor;
    std::shared_ptr<MetadataStore> store;
    DaemonLeaseOptions options;
    DaemonLeaseCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::uint64_t registration = 0; ///< Lease id of the registration; 0 for none.
    std::uint64_t dutyLease = 0;
    core::BootTime dutyUntil;
    std::optional<OwnEntry> duty; ///< Last known entry of the duty's key; nothing if no daemon holds the duty.
    bool dutyKnown = false; ///< True once the store has shown whether the duty's key exists.
    std::uint64_t electionRevision = 0; ///< Store revision at which this daemon was elected; 0 if it is not the holder.
    bool competing = false;
    bool stopped = false;
};

}
