#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Soak of the configuration: what callers see of it while the platform and the daemons fail.
namespace endiveshore::tests {

using Moment = std::chrono::milliseconds; ///< Time since the start of the soak.

/// Change of the configuration by the operators.
struct VersionChange
{
    std::uint64_t version = 0;
    Moment sent{};
    Moment acknowledged{};
};

/// Request that is served if, and only if, exactly one version is in force.
struct Probe
{
    std::size_t daemon = 0;
    unsigned incarnation = 0; ///< Increases with each start of the daemon's process.
    std::uint64_t version = 0; ///< Version in which the request's route and key exist.
    bool served = false;
    Moment sent{};
    Moment answered{};
};

/// Time in which a daemon, or all daemons, may be behind.
struct Disturbance
{
    std::optional<std::size_t> daemon; ///< Nothing for all daemons.
    std::string what;
    Moment from{};
    Moment until{};
};

struct HistoryBounds
{
    Moment deadline{4'000}; ///< Time after its acknowledgement in which a version must be in force.
    Moment stable{5'000}; ///< Time after a disturbance from which on the deadline holds again.
    Moment regressSlack{250}; ///< Time after a version was seen in which an older one may still be seen.
};

/// Versions, probes and disturbances of one run.
struct ConfigurationHistory
{
    std::vector<VersionChange> changes; ///< In the order in which they were sent.
    std::vector<Probe> probes; ///< In any order.
    std::vector<Disturbance> disturbances;
};

/// Returns one line for each probe that breaks a promise: handled by a version that a later one should have replaced,
/// not handled by the version that should be in force, or handled by an older version than the same process had before.
std::vector<std::string> brokenPromises(const ConfigurationHistory &history, const HistoryBounds &bounds);

}
