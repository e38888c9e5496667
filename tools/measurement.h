#pragma once

#include "tools/measurecontext.h"

#include <string>

namespace endiveshore::tools {

/// One organisation's service as sized today.
struct OrganisationProfile
{
    std::string service;
    int connectionLimit = 0; ///< Per server.
    int connectMs = 0;
};

struct MeasurementOptions
{
    std::string binaryDirectory;
    std::string workDirectory;
    OrganisationProfile profile;
    int basePort = 41'000;
    std::uint64_t seed = 1;
    bool isBaseline = false; ///< Measures the baseline: static rates, reads of primaries only, every daemon watches.
};

/// Measures one form of the proxy with the workload of one organisation on real processes.
class Measurement
{
public:
    explicit Measurement(MeasurementOptions options);

    /// Runs all phases. A figure that could not be measured is null, with a line in "notes".
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

    /// Requests of a few workspaces above their rates, spread over all daemons.
    std::shared_ptr<OpenLoopLoad> loadAboveRate(net::Executor executor, core::Milliseconds duration);
    void recordRateExcesses(const OpenLoopLoad &load);
    void applyWorkspaceSettings(std::vector<WorkspaceSettings> workspaceSettings);
    void setStatementTime(int milliseconds);
    /// Servers that refused for want of a slot or a connection so far.
    boost::json::object limitViolations();
    double residentMegabytes(std::size_t daemon);

    MeasurementOptions options;
    Deployment deployment;
    MeasureContext context;
    boost::json::object figures;
    boost::json::array phases;
};

}
