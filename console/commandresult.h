#pragma once

#include "core/error.h"

#include <boost/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace endiveshore::console {

/// Result of a command, for text and JSON output.
struct CommandResult
{
    core::ResultCode code = core::ResultCode::Ok;
    core::Outcome outcome = core::Outcome::Done;
    std::string message; ///< Reason of the failure if the code is not Ok.
    std::string path; ///< Path of the offending field of a refused document.
    std::vector<std::string> lines; ///< Lines of the text output.
    boost::json::object fields; ///< Members of the JSON output besides code, name, outcome, message and path.
    std::optional<std::string> plainJson; ///< Shown document; replaces the whole JSON output if the code is Ok.
};

/// Result of a command that failed with @p error.
CommandResult failedResult(const core::Error &error);

/// Writes @p result. Text lines go to @p output and the line of a failure to @p errors; JSON goes to @p output only.
void writeResult(const CommandResult &result, bool asJson, std::ostream &output, std::ostream &errors);

/// Exit code of the process: 0 for Ok, 2 for an invalid setting or argument, otherwise 10 plus the hundreds of @p code.
int exitCode(core::ResultCode code);

}
