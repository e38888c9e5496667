#pragma once

#include "tools/measurecontext.h"

#include <string>

namespace endiveshore::tools {

/// Injects faults into primaries under load. Probe writes show for how long a database acknowledges no write.
class FaultPhase
{
public:
    /// Runs only the fault that kills a primary if @p allFaults is false.
    FaultPhase(MeasureContext &context, bool allFaults);

    /// Runs the faults one after the other. Returns one object {"fault","database","gap_ms"} per fault, where gap_ms is
    /// the longest time between two acknowledged probe writes; null if no acknowledgement arrived later than 1 s after
    /// the start of the fault.
    boost::json::array run();

private:
    struct Fault
    {
        std::string_view name;
        std::size_t database;
        void (FaultPhase::*begin)(std::size_t database, std::size_t server);
        void (FaultPhase::*end)(std::size_t database, std::size_t server);
    };
    /// Time from the start of a fault to the end of the delay after the fault.
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
