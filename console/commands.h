#pragma once

#include "console/commandresult.h"
#include "console/configeditor.h"
#include "console/daemonpoller.h"

#include <iosfwd>
#include <optional>
#include <span>
#include <string>

namespace endiveshore::console {

struct CommandOptions
{
    std::optional<std::int64_t> base; ///< Base revision of a change, unless the document has the field `revision`.
    core::Duration inForceTimeout = std::chrono::seconds(10); ///< Until all daemons have a change; 0 skips the check.
    core::Duration pollTimeout = std::chrono::seconds(1); ///< Timeout of one poll of all daemons.
    core::Duration pollInterval = std::chrono::milliseconds(100); ///< Pause between two polls.
};

/// Commands of the operator's command-line program.
class Commands
{
public:
    /// @p poller is null if no daemon addresses are configured; commands then skip the check whether a change is in
    /// force. @p input is read where an argument is "-".
    Commands(ConfigEditor &editor, DaemonPoller *poller, std::istream &input, CommandOptions options);

    /// Runs the command named by the first of @p arguments. A core::Error becomes a failed result.
    CommandResult run(std::span<const std::string> arguments);

    /// One line per command for the help text.
    static std::string helpText();

private:
    using Arguments = std::span<const std::string>;

    struct Command
    {
        std::string_view name;
        std::string_view arguments;
        std::size_t minimumArguments;
        std::size_t maximumArguments;
        CommandResult (Commands::*run)(Arguments arguments);
        std::string_view help;
    };

    static std::span<const Command> table();

    CommandResult accept(Arguments arguments);
    CommandResult withdraw(Arguments arguments);
    CommandResult show(Arguments arguments);
    CommandResult grant(Arguments arguments);
    CommandResult revoke(Arguments arguments);
    CommandResult keys(Arguments arguments);
    CommandResult status(Arguments arguments);

    /// Polls the daemons until all report at least @p revision or the timeout passes. Adds the outcome to @p result.
    void waitUntilInForce(std::int64_t revision, CommandResult &result);

    std::string readDocument(const std::string &file);

    ConfigEditor &editor;
    DaemonPoller *poller;
    std::istream &input;
    CommandOptions options;
};

}
