#include "core/json.h"
#include "tools/blockinghttp.h"
#include "tools/deployment.h"
#include "tools/fleetmodel.h"
#include "tools/processusage.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace endiveshore::tools {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds SettleTime{8};
constexpr std::chrono::seconds MeasureTime{15};
constexpr std::chrono::milliseconds InForceBound{9'000};

/// Cumulative control load of a deployment without callers: sums over all daemons, except residentMegabytes, which is
/// that of the largest daemon.
struct ControlLoad
{
    double controlCpuSeconds = 0;
    double processCpuSeconds = 0;
    double residentMegabytes = 0;
    double controlBytes = 0;
    double storeCalls = 0;
};

ControlLoad sampleDaemons(Deployment &deployment)
{
    ControlLoad total;
    for (std::size_t daemon = 0; daemon < deployment.daemonCount(); ++daemon) {
        const json::object status = deployment.daemonStatus(daemon);
        const ProcessUsage usage = processUsage(deployment.daemon(daemon).processId());
        total.controlCpuSeconds += core::jsonNumber(status, "control_cpu_s");
        total.processCpuSeconds += usage.cpuSeconds;
        total.residentMegabytes = std::max(total.residentMegabytes, usage.residentMegabytes);
        total.controlBytes += core::jsonNumber(status, "control_bytes");
    }
    total.storeCalls = core::jsonNumber(getJson(deployment.storePort(), "/standin/stats"), "calls_total");
    return total;
}

json::object measureSize(
    const std::string &binaries, const std::string &work, int daemons, int databases, std::vector<std::string> flags)
{
    DeploymentOptions options;
    options.binaryDirectory = binaries;
    options.workDirectory = work + "/" + std::to_string(daemons) + "-" + std::to_string(databases);
    options.daemons = daemons;
    options.databases = databases;
    options.daemonFlags = std::move(flags);
    Deployment deployment(std::move(options));
    deployment.start();
    std::this_thread::sleep_for(SettleTime);
    const ControlLoad before = sampleDaemons(deployment);
    std::this_thread::sleep_for(MeasureTime);
    const ControlLoad after = sampleDaemons(deployment);
    const double seconds = std::chrono::duration<double>(MeasureTime).count();
    const double perDaemon = seconds * daemons;

    std::string output;
    const auto start = std::chrono::steady_clock::now();
    const int exitCode = deployment.runOperator(
        {"--wait-ms", std::to_string(InForceBound.count()), "grant", "rota-db", "workspace-1"}, &output);
    const std::chrono::duration<double, std::milli> inForce = std::chrono::steady_clock::now() - start;

    json::object row;
    row["daemons"] = daemons;
    row["databases"] = databases;
    row["control_cpu_percent"] = 100 * (after.controlCpuSeconds - before.controlCpuSeconds) / perDaemon;
    row["process_cpu_percent"] = 100 * (after.processCpuSeconds - before.processCpuSeconds) / perDaemon;
    row["resident_mb"] = after.residentMegabytes;
    row["control_bytes_per_s"] = (after.controlBytes - before.controlBytes) / perDaemon;
    row["store_calls_per_s"] = (after.storeCalls - before.storeCalls) / seconds;
    row["in_force_ms"] = exitCode == 0 ? json::value(inForce.count()) : json::value(nullptr);
    return row;
}

}

}

/// Measures the CPU time, memory, control traffic and store calls of the daemons, and the time until a granted key is
/// in force, at several fleet sizes without callers. Prints one JSON object per size. With --model, measures the memory
/// and build times of a modelled fleet instead.
int main(int argumentCount, char **arguments)
{
    if (argumentCount == 3 && std::string_view(arguments[1]) == "--model") {
        try {
            const endiveshore::tools::FleetModelSize size = endiveshore::tools::parseFleetModelSize(arguments[2]);
            std::cout << boost::json::serialize(endiveshore::tools::fleetModelCost(size)) << '\n';
            return 0;
        } catch (const std::exception &error) {
            std::cerr << "capacity: " << error.what() << '\n';
            return 2;
        }
    }
    if (argumentCount < 4) {
        std::cerr << "usage: capacity BINARY-DIRECTORY WORK-DIRECTORY DAEMONS:DATABASES... [-- DAEMON-FLAG...]\n"
                     "       capacity --model DAEMONS:DATABASES:WORKSPACES:KEYS\n";
        return 2;
    }
    std::vector<std::string> sizes;
    std::vector<std::string> flags;
    bool inFlags = false;
    for (int index = 3; index < argumentCount; ++index) {
        const std::string argument = arguments[index];
        if (argument == "--") {
            inFlags = true;
            continue;
        }
        (inFlags ? flags : sizes).push_back(argument);
    }
    try {
        for (const std::string &size : sizes) {
            const int daemons = std::stoi(size);
            const int databases = std::stoi(size.substr(size.find(':') + 1));
            std::cout << boost::json::serialize(
                endiveshore::tools::measureSize(arguments[1], arguments[2], daemons, databases, flags))
                      << std::endl;
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "capacity: " << error.what() << '\n';
        return 1;
    }
}
