#pragma once

#include "core/settings.h"
#include "core/time.h"
#include "net/asyncio.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// How the daemons share the rate of a workspace.
enum class RateMode {
    Shares, ///< Daemons spend tokens lent by the workspace's allocator.
    Static, ///< Every daemon enforces the rate divided by the number of daemons; baseline for measurements.
};

/// Validated settings of endiveshored.
struct DaemonSettings
{
    std::string id;
    std::string dataCentre;
    std::string region;
    net::TcpEndpoint listen;
    net::TcpEndpoint adminListen;
    net::TcpEndpoint peerListen;
    std::string metricsListen; ///< Address of the metrics endpoint; empty if metrics are not exposed.
    net::TcpEndpoint store;
    std::optional<net::TcpEndpoint> vmList;
    std::vector<net::TcpEndpoint> seeds;
    std::vector<std::string> sessionSecrets;
    int trafficThreads = 2;
    core::Milliseconds drainLag{};
    core::Milliseconds drainLimit{};
    core::Milliseconds probeInterval{};
    core::Milliseconds handoverWait{};
    bool readFromReplicas = true;
    bool relayConfiguration = true;
    RateMode rateMode = RateMode::Shares;
    std::string logLevel;
    std::string logFormat;
    std::string logOutput;
    int logLinesPerSecond = 0;

    static std::span<const core::Setting> table();
    static core::ProgramInfo program();

    /// Throws core::Error(InvalidSetting).
    static DaemonSettings fromSettings(const core::Settings &settings);
};

}
