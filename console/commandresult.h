#pragma once

#include "core/error.h"

#include <boost/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::console {

/// What a command has to say, as text and as JSON.
struct CommandResult
{
    core::ResultCode code = core::ResultCode::Ok;
    core::Outcome outcome = core::Outcome::Done;
    std::string message; ///< Reason if the code is not Ok.
    std::string path; ///< Path of the offending field of a refused document.
    std::vector<std::string> lines; ///< For text output.
    boost::json::object fields; ///< For JSON output, besides code, name, outcome, message and path.
    std::optional<std::string> plainJson; ///< Replaces the whole JSON output of a command that shows a document.
};

/// Result of a command that failed with @p error.
CommandResult failedResult(const core::Error &error);

/// Writes @p result. Text goes to @p output and an error to @p errors; JSON goes to @p output only.
void writeResult(const CommandResult &result, bool asJson, std::ostream &output, std::ostream &errors);

/// 0 for Ok, 2 for a wrong setting or argument, otherwise 10 plus the hundreds of the code.
int exitCode(core::ResultCode code);

}
