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

/// Rate, burst and weight of a workspace as in the service document.
struct WorkspaceSettings
{
    std::string name;
    double rate = 0;
    double burst = 0;
    double weight = 1;
};

/// Eight workspaces, a few of them large. The first has room for the probe writes of a failover.
std::vector<WorkspaceSettings> defaultWorkspaceSettings();
boost::json::array workspacesJson(const std::vector<WorkspaceSettings> &workspaceSettings);

/// What the phases of a measurement share: the deployment, the load and what was seen so far.
class MeasureContext
{
public:
    MeasureContext(Deployment &deployment, std::string service, std::uint64_t seed, bool isBaseline);

    /// Load of all workspaces with a history, at @p rateShare of their rates.
    std::shared_ptr<Workload>
    createWorkload(net::Executor executor, std::string prefix, double rateShare, core::Milliseconds duration);

    /// Stream of the workspace number @p workspace.
    RequestStream stream(std::size_t workspace, double requestsPerSecond) const;

    /// Load of @p streams, whose times count from the same origin.
    std::shared_ptr<OpenLoopLoad> createOpenLoopLoad(net::Executor executor,
                                                     std::vector<RequestStream> streams,
                                                     core::Milliseconds duration,
                                                     core::Milliseconds timeout = core::Milliseconds(2'000)) const;

    /// Read of an existing key, spread over the databases by @p index.
    boost::json::object readBody(std::uint64_t index, std::string_view route) const;

    /// Microseconds since the origin of all times.
    std::int64_t now() const;

    /// Compares requests of one workspace with its rate and keeps the largest excess.
    void recordRateExcess(std::size_t workspace, const std::vector<RequestRecord> &records, std::size_t stream);

    /// Adds the peaks, violations and key sightings in the ledger of one backend server.
    void readLedger(std::size_t database, std::size_t server);

    /// Number of the server that is primary with the highest term; -1 if none answers.
    int primaryOf(std::size_t database);

    void addNote(std::string text);

    Deployment &deployment;
    std::string service;
    std::uint64_t seed;
    bool isBaseline; ///< The baseline form is measured.
    core::TimePoint origin;
    std::vector<WorkspaceSettings> workspaceSettings; ///< As in force.
    std::vector<std::vector<HistoryEvent>> histories;
    std::vector<std::string> extraKeys; ///< Keys granted in addition to one per workspace.
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    double largestRateExcess = 0;
    std::int64_t slotViolations = 0;
    std::int64_t connectionViolations = 0;
    std::int64_t keysSeen = 0;
    boost::json::array notes;
};

}
