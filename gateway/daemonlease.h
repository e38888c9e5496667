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
    std::string registration; ///< Value of this daemon's key.
};

struct DaemonLeaseCallbacks
{
    std::function<bool()> mayCompete; ///< Whether this daemon takes part in elections now.
    std::function<void()> onContact; ///< The store has answered a renewal.
    std::function<void(std::uint64_t electionRevision)> onElected;
    std::function<void(std::string reason)> onDutyLost;
};

/// Registers this daemon in the metadata store under a lease, and takes the promotion duty when nobody holds it. Runs
/// on the control thread.
class DaemonLease : public std::enable_shared_from_this<DaemonLease>
{
public:
    DaemonLease(net::Executor executor,
                std::shared_ptr<MetadataStore> store,
                DaemonLeaseOptions options,
                DaemonLeaseCallbacks callbacks,
                telemetry::DecisionLog &log);

    /// Keeps the lease until stop().
    net::awaitable<void> run();

    /// Gives up the duty and the lease at once.
    net::awaitable<void> stop();

    /// Takes over what the store says of the duty's key.
    void onDutyEntry(const OwnEntry &entry);

    /// The store has been read; without a call of onDutyEntry() nobody holds the duty.
    void onStoreRead();

    /// True while no other daemon can have been elected, and none will be for @p reserve.
    bool holdsDuty(core::Duration reserve = {}) const;

    /// True if this daemon was elected and has not heard of another holder, whether or not its lease still runs.
    bool wasElected() const;

    /// Another holder has used a higher fence.
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
    std::uint64_t registration = 0; ///< Lease of the registration.
    std::uint64_t dutyLease = 0;
    core::BootTime dutyUntil;
    std::optional<OwnEntry> duty; ///< Key of the duty, as last seen.
    bool dutyKnown = false; ///< The store has said whether the key exists.
    std::uint64_t electionRevision = 0; ///< 0 if not elected.
    bool competing = false;
    bool stopped = false;
};

}
