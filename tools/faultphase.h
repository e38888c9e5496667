#pragma once

#include "tools/measurecontext.h"

#include <string>

namespace endiveshore::tools {

/// Faults of primaries under load. Probe writes measure how long each database acknowledges nothing.
class FaultPhase
{
public:
    /// @p allFaults false limits the phase to the killed primary.
    FaultPhase(MeasureContext &context, bool allFaults);

    /// Runs the faults one after the other. Returns the gaps: a list of {"fault","database","gap_ms"}, where gap_ms is
    /// null if the service did not resume.
    boost::json::array run();

private:
    struct Fault
    {
        std::string_view name;
        std::size_t database;
        void (FaultPhase::*begin)(std::size_t database, std::size_t server);
        void (FaultPhase::*end)(std::size_t database, std::size_t server);
    };
    struct Window
    {
        const Fault *fault = nullptr;
        std::int64_t startUs = 0;
        std::int64_t endUs = 0;
    };

    void inject(const Fault &fault);
    void kill(std::size_t database, std::size_t server);
    void pause(std::size_t database, std::size_t server);
    void resume(std::size_t database, std::size_t server);
    void cutOneWay(std::size_t database, std::size_t server);
    void cutBothWays(std::size_t database, std::size_t server);
    void heal(std::size_t database, std::size_t server);
    void leaveStopped(std::size_t database, std::size_t server);
    RequestStream probeStream(std::size_t database) const;
    void recordProbes(const OpenLoopLoad &load);
    boost::json::array gaps(const OpenLoopLoad &load) const;

    MeasureContext &context;
    bool allFaults;
    std::vector<Window> windows;
};

}
