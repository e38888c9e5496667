#pragma once

#include "tools/measurecontext.h"

#include <vector>

namespace endiveshore::tools {

/// Checks the histories of a measurement against the final state of the primaries, and reads the ledgers of the backend
/// servers.
class FinalCheck
{
public:
    explicit FinalCheck(MeasureContext &context);

    /// Adds the number of violations of each kind to @p figures, and the first violations of each history to the notes
    /// of the context.
    void run(boost::json::object &figures);

private:
    std::vector<HistoryEvent> readFinalState();

    MeasureContext &context;
};

}
