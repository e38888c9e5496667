#pragma once

#include "core/settingsaddress.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Settings of a program: flags and environment variables from one registration table.
namespace endiveshore::core {

enum class SettingType {
    Text, ///< `minimum` and `maximum` bound the length in bytes; a maximum of 0 means no bound.
    Choice, ///< One of `choices`.
    Integer, ///< Decimal whole number from `minimum` to `maximum`.
    Address, ///< "ip:port".
    List, ///< Comma-separated texts without blanks. An empty list is allowed unless required.
    AddressList, ///< Comma-separated addresses.
    Boolean, ///< "true" or "false"; the bare flag means true.
};

/// One row of a registration table.
struct Setting
{
    std::string_view flag; ///< Without the leading dashes, for example "listen".
    SettingType type = SettingType::Text;
    std::string_view unit; ///< Plural, for example "milliseconds".
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view choices; ///< Comma-separated, for Choice.
    std::string_view defaultValue; ///< Empty if the setting has none.
    std::string_view help; ///< One sentence.
    bool required = false;
    bool secret = false; ///< The value must not appear in any message.
};

/// Name, version and positional arguments of a program, as shown by `--help` and `--version`.
struct ProgramInfo
{
    std::string_view name;
    std::string_view version;
    std::string_view summary; ///< One sentence.
    std::string_view arguments; ///< For the usage line, for example "COMMAND [ARGUMENT]"; empty if none are accepted.
    std::string_view argumentHelp; ///< Text between the usage line and the flags; may be empty.
};

using Environment = std::map<std::string, std::string>;

/// Environment of this process.
Environment processEnvironment();

/// Name of the environment variable of @p flag, for example ENDIVESHORE_DRAIN_LAG_MS for "drain-lag-ms".
std::string environmentName(std::string_view flag);

enum class SettingsAction {
    Run,
    Help,
    Version,
    Check, ///< `--check`: the settings are valid and the program must end without opening a socket.
};

/// Validated settings of a program. Accessors throw core::Error(Internal) for a flag or type that is not in the table.
class Settings
{
public:
    /// @p arguments are those of main(), including the name of the program.
    /// Reads flags first, then environment variables, then defaults. An empty environment variable counts as absent.
    /// Variables of other programs are ignored, because several programs share an environment.
    /// Throws core::Error(InvalidSetting) whose message names the setting, the value unless it is secret, and the
    /// accepted values. With `--help` or `--version` nothing else is checked.
    Settings(const ProgramInfo &program,
             std::span<const Setting> table,
             std::span<const char *const> arguments,
             const Environment &environment);

    SettingsAction action() const;

    /// Positional arguments.
    const std::vector<std::string> &arguments() const;

    /// True if the setting was given or has a default.
    bool has(std::string_view flag) const;

    const std::string &text(std::string_view flag) const;
    std::int64_t integer(std::string_view flag) const;
    std::chrono::milliseconds milliseconds(std::string_view flag) const; ///< For an integer setting in milliseconds.
    IpAddress address(std::string_view flag) const;
    std::vector<std::string> list(std::string_view flag) const;
    bool boolean(std::string_view flag) const;

private:
    const std::string &value(std::string_view flag, std::span<const SettingType> types) const;

    SettingsAction chosenAction = SettingsAction::Run;
    std::vector<std::string> positional;
    std::map<std::string, SettingType, std::less<>> types;
    std::map<std::string, std::string, std::less<>> values; ///< Validated values by flag.
};

/// Describes the accepted values of @p setting, for example "a whole number of milliseconds from 1 to 60000".
std::string acceptedValues(const Setting &setting);

/// Text of `--help`: every flag with its accepted values, its default and its environment variable.
std::string helpText(const ProgramInfo &program, std::span<const Setting> table);

/// Handles `--help`, `--version` and `--check`: writes to @p output and returns the exit code. Returns nullopt if the
/// program must run.
std::optional<int> handleSettingsAction(const Settings &settings,
                                        const ProgramInfo &program,
                                        std::span<const Setting> table,
                                        std::ostream &output);

}
