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
    std::optional<std::int64_t> base; ///< Revision that a change is based on, if the document does not say.
    core::Duration inForceTimeout
        = std::chrono::seconds(10); ///< For a change to be in force; 0 does not ask the daemons.
    core::Duration pollTimeout = std::chrono::seconds(1); ///< For one round of daemon states.
    core::Duration pollInterval = std::chrono::milliseconds(100); ///< Between rounds.
};

/// The commands of the operator.
class Commands
{
public:
    /// @p poller is null if no daemons are known; changes are then not waited for. @p input is read for the argument
    /// "-".
    Commands(ConfigEditor &editor, DaemonPoller *poller, std::istream &input, CommandOptions options);

    /// Runs @p arguments, the first of which is the name of the command. Does not throw core::Error.
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

    /// Waits until the daemons report @p revision, and adds that to @p result.
    void waitUntilInForce(std::int64_t revision, CommandResult &result);

    std::string readDocument(const std::string &file);

    ConfigEditor &editor;
    DaemonPoller *poller;
    std::istream &input;
    CommandOptions options;
};

}
