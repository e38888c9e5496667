#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <string_view>

/// Evacuation of data centres: an operator asks that nothing more is sent to the backend servers of a data centre.
namespace endiveshore::routing {

/// Progress of an evacuation as one daemon sees it. Later stages allow less.
enum class EvacuationStage {
    None,
    Draining, ///< Other servers are preferred; primaries are handed over; open transactions may go on.
    Closed, ///< No statement is sent. Positions may still be queried, so that a handover loses no commit.
    Silent, ///< Nothing is sent.
};

/// Name of the stage in logs.
std::string_view stageName(EvacuationStage stage);

/// True if statements of callers may be sent to a server in this stage.
bool mayRunStatements(EvacuationStage stage);

/// True if the status of a server may be queried in this stage.
bool mayQueryStatus(EvacuationStage stage);

/// Stages by data centre; data centres without an evacuation are absent.
using EvacuationStages = std::map<std::string, EvacuationStage, std::less<>>;

EvacuationStage stageOf(const EvacuationStages &stages, std::string_view dataCentre);

/// Keeps the evacuations that are requested, and their stages. Each daemon counts the stages from the moment at which
/// it learned of the request. The stages take a part of the bound only; the rest is left for the request to reach the
/// daemon. Does no I/O.
class EvacuationSchedule
{
public:
    /// @p bound is the time after the acknowledgement of a request in which it must be in force.
    explicit EvacuationSchedule(core::Duration bound);

    /// Records a request. A repeated request does not start the stages again.
    void request(std::string_view dataCentre, core::TimePoint now);

    /// Records a request that is older than this daemon's knowledge of the store, so that its bound may have passed.
    void requestInForce(std::string_view dataCentre);

    /// Ends an evacuation. Without one, nothing changes.
    void withdraw(std::string_view dataCentre);

    EvacuationStages stages(core::TimePoint now) const;

private:
    EvacuationStage stageAfter(core::Duration elapsed) const;

    core::Duration bound;
    /// Time at which each request became known; the earliest time point if its bound may have passed.
    std::map<std::string, core::TimePoint, std::less<>> requestedAt;
};

}
