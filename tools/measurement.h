#pragma once

#include "tools/measurecontext.h"

#include <string>

namespace endiveshore::tools {

/// Service of one organisation at its present size, and the properties of its backend servers.
struct OrganisationProfile
{
    std::string service;
    int connectionLimit = 0; ///< Maximum number of connections of each backend server.
    int connectMs = 0; ///< Simulated time to open a connection.
};

struct MeasurementOptions
{
    std::string binaryDirectory;
    std::string workDirectory;
    OrganisationProfile profile;
    int basePort = 41'000;
    std::uint64_t seed = 1;
    /// Measures the baseline: static rate shares, reads only at primaries, and a store watch in every daemon.
    bool isBaseline = false;
};

/// Measures the proxy or its baseline with the workload of one organisation, on real processes.
class Measurement
{
public:
    explicit Measurement(MeasurementOptions options);

    /// Runs all phases and returns the figures. A figure that could not be measured is absent or null, and a line in
    /// "notes" has the reason.
    boost::json::object run();

private:
    struct Phase
    {
        std::string_view name;
        void (Measurement::*run)();
    };

    void idle();
    void insideRate();
    void aboveRate();
    void keyWithdrawal();
    void lowerRates();
    void fairness();
    void restoreRates();
    void faults();
    void daemonFaults();
    void finalState();

    /// Creates a load of several workspaces above their rates, spread over all daemons.
    std::shared_ptr<OpenLoopLoad> loadAboveRate(net::Executor executor, core::Milliseconds duration);
    void recordRateExcesses(const OpenLoopLoad &load);
    /// Accepts a service document with these settings and records the time until all daemons have it in force.
    void applyWorkspaceSettings(std::vector<WorkspaceSettings> workspaceSettings);
    void setStatementTime(int milliseconds);
    /// Returns the backend servers whose ledger shows violations of the slot or connection limit.
    boost::json::object limitViolations();
    double residentMegabytes(std::size_t daemon);

    MeasurementOptions options;
    Deployment deployment;
    MeasureContext context;
    boost::json::object figures;
    boost::json::array phases;
};

}
