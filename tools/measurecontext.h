#pragma once

#include "core/time.h"
#include "tools/deployment.h"
#include "tools/history.h"
#include "tools/openloopload.h"
#include "tools/workload.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Rate, burst and weight of a workspace, as in the service document.
struct WorkspaceSettings
{
    std::string name;
    double rate = 0;
    double burst = 0;
    double weight = 1;
};

/// Settings of eight workspaces, three of them large. The first one has the highest rate, which leaves room for the
/// probe writes during the faults.
std::vector<WorkspaceSettings> defaultWorkspaceSettings();
boost::json::array workspacesJson(const std::vector<WorkspaceSettings> &workspaceSettings);

/// State shared by the phases of a measurement: the deployment, the settings of the load, and the results.
class MeasureContext
{
public:
    MeasureContext(Deployment &deployment, std::string service, std::uint64_t seed, bool isBaseline);

    /// Creates a load of all workspaces at @p rateShare of their rates, which records a history. @p prefix begins the
    /// names of the sessions.
    std::shared_ptr<Workload>
    createWorkload(net::Executor executor, std::string prefix, double rateShare, core::Milliseconds duration);

    /// Returns a stream of requests of the workspace with the index @p workspace. The caller sets the request body.
    RequestStream stream(std::size_t workspace, double requestsPerSecond) const;

    /// Creates an open-loop load of @p streams. The times in its records count from the origin of this context.
    std::shared_ptr<OpenLoopLoad> createOpenLoopLoad(net::Executor executor,
                                                     std::vector<RequestStream> streams,
                                                     core::Milliseconds duration,
                                                     core::Milliseconds timeout = core::Milliseconds(2'000)) const;

    /// Returns the body of a read on @p route. @p index selects the database and the key.
    boost::json::object readBody(std::uint64_t index, std::string_view route) const;

    /// Microseconds since the origin.
    std::int64_t now() const;

    /// Compares the successful requests of @p stream with the rate and burst of @p workspace, and updates the largest
    /// rate excess.
    void recordRateExcess(std::size_t workspace, const std::vector<RequestRecord> &records, std::size_t stream);

    /// Reads the ledger of one backend server. Adds its violations, and the number of keys found in the ledger, to the
    /// totals.
    void readLedger(std::size_t database, std::size_t server);

    /// Index of the server that reports to be primary with the highest term; -1 if no server does.
    int primaryOf(std::size_t database);

    /// Adds a line to the "notes" of the results.
    void addNote(std::string text);

    Deployment &deployment;
    std::string service;
    std::uint64_t seed;
    bool isBaseline; ///< True if the baseline is measured instead of the full proxy.
    core::TimePoint origin; ///< Zero point of all times of the measurement.
    std::vector<WorkspaceSettings> workspaceSettings; ///< Settings in force.
    std::vector<std::vector<HistoryEvent>> histories;
    std::vector<std::string> extraKeys; ///< Keys granted besides the one key per workspace.
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    double largestRateExcess = 0;
    std::int64_t slotViolations = 0;
    std::int64_t connectionViolations = 0;
    std::int64_t keysSeen = 0;
    boost::json::array notes;
};

}
