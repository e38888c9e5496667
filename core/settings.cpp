#include "core/settings.h"

#include "core/error.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <charconv>

#include <unistd.h>

namespace endiveshore::core {

namespace options = boost::program_options;

namespace {

constexpr const char *PositionalName = "arguments";

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        items.emplace_back(text.substr(0, comma));
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
        if (text.empty()) {
            items.emplace_back();
        }
    }
    return items;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

bool isValidListItem(const std::string &item)
{
    return !item.empty() && item.find_first_of(" \t\r\n") == std::string::npos;
}

bool acceptsText(const Setting &setting, const std::string &value)
{
    const auto size = static_cast<std::int64_t>(value.size());
    return setting.maximum == 0 || (size >= setting.minimum && size <= setting.maximum);
}

bool acceptsChoice(const Setting &setting, const std::string &value)
{
    const std::vector<std::string> choices = splitList(setting.choices);
    return std::find(choices.begin(), choices.end(), value) != choices.end();
}

bool acceptsInteger(const Setting &setting, const std::string &value)
{
    const std::optional<std::int64_t> number = parseInteger(value);
    return number && *number >= setting.minimum && *number <= setting.maximum;
}

bool acceptsAddress(const Setting &, const std::string &value)
{
    return parseIpAddress(value).has_value();
}

bool acceptsList(const Setting &setting, const std::string &value)
{
    const std::vector<std::string> items = splitList(value);
    return !(setting.required && items.empty()) && std::all_of(items.begin(), items.end(), isValidListItem);
}

bool acceptsAddressList(const Setting &setting, const std::string &value)
{
    const std::vector<std::string> items = splitList(value);
    return !(setting.required && items.empty()) && std::all_of(items.begin(), items.end(), [](const std::string &item) {
        return parseIpAddress(item).has_value();
    });
}

bool acceptsBoolean(const Setting &, const std::string &value)
{
    return value == "true" || value == "false";
}

struct TypeInfo
{
    SettingType type;
    bool (*accepts)(const Setting &setting, const std::string &value);
};

constexpr std::array TypeTable{
    TypeInfo{SettingType::Text, acceptsText},
    TypeInfo{SettingType::Choice, acceptsChoice},
    TypeInfo{SettingType::Integer, acceptsInteger},
    TypeInfo{SettingType::Address, acceptsAddress},
    TypeInfo{SettingType::List, acceptsList},
    TypeInfo{SettingType::AddressList, acceptsAddressList},
    TypeInfo{SettingType::Boolean, acceptsBoolean},
};

void checkValue(const Setting &setting, const std::string &value, const std::string &source)
{
    const auto info = std::find_if(
        TypeTable.begin(), TypeTable.end(), [&](const TypeInfo &candidate) { return candidate.type == setting.type; });
    if (info->accepts(setting, value)) {
        return;
    }
    const std::string shown = setting.secret ? "the given value" : "\"" + value + "\"";
    throw Error(ResultCode::InvalidSetting, source + ": " + shown + " is invalid; expected " + acceptedValues(setting));
}

/// Flag name without dashes and without a value, which may be secret.
std::string flagName(std::string name)
{
    name = name.substr(0, name.find('='));
    return name.substr(std::min(name.find_first_not_of('-'), name.size()));
}

options::options_description describeFlags(std::span<const Setting> table)
{
    options::options_description description;
    auto add = description.add_options();
    add("help", options::bool_switch());
    add("version", options::bool_switch());
    add("check", options::bool_switch());
    add(PositionalName, options::value<std::vector<std::string>>());
    for (const Setting &setting : table) {
        const std::string flag(setting.flag);
        // All values are read as text and checked by one path, whether they come from a flag, a variable or a default.
        add(flag.c_str(), options::value<std::string>());
    }
    return description;
}

/// Arguments with every bare boolean flag written as `--flag=true`, because an implicit value of Program_options would
/// take the next argument as its value.
std::vector<std::string> expandBooleans(std::span<const Setting> table, std::span<const char *const> arguments)
{
    std::vector<std::string> expanded;
    bool flagsEnded = false;
    for (const std::string_view argument : arguments) {
        flagsEnded = flagsEnded || argument == "--";
        const bool bareBoolean = !flagsEnded && argument.starts_with("--")
            && std::any_of(table.begin(), table.end(), [&](const Setting &setting) {
                   return setting.type == SettingType::Boolean && setting.flag == argument.substr(2);
               });
        expanded.push_back(std::string(argument) + (bareBoolean ? "=true" : ""));
    }
    return expanded;
}

options::variables_map parseArguments(const options::options_description &description,
                                      const std::vector<std::string> &texts,
                                      bool acceptPositional)
{
    namespace style = options::command_line_style;
    options::positional_options_description positional;
    positional.add(PositionalName, -1);
    options::variables_map variables;
    try {
        options::command_line_parser parser(texts);
        // Abbreviated flags are not accepted, since a new flag could change the meaning of an abbreviation.
        parser.options(description)
            .positional(positional)
            .style(style::allow_long | style::long_allow_adjacent | style::long_allow_next);
        options::store(parser.run(), variables);
    } catch (const options::unknown_option &error) {
        throw Error(ResultCode::InvalidSetting,
                    "unknown flag --" + flagName(error.get_option_name()) + "; --help lists the flags");
    } catch (const options::multiple_occurrences &error) {
        throw Error(ResultCode::InvalidSetting, "--" + flagName(error.get_option_name()) + " is given more than once");
    } catch (const options::error_with_option_name &error) {
        throw Error(ResultCode::InvalidSetting,
                    "--" + flagName(error.get_option_name()) + " needs a value or does not accept one");
    } catch (const options::error &error) {
        throw Error(ResultCode::InvalidSetting, error.what());
    }
    if (!acceptPositional && variables.count(PositionalName) > 0) {
        throw Error(ResultCode::InvalidSetting,
                    "unexpected argument \"" + variables[PositionalName].as<std::vector<std::string>>().front() + "\"");
    }
    return variables;
}

}

Environment processEnvironment()
{
    Environment environment;
    for (char **entry = ::environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text(*entry);
        const std::size_t equals = text.find('=');
        if (equals != std::string_view::npos) {
            environment.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return environment;
}

std::string environmentName(std::string_view flag)
{
    std::string name = "ENDIVESHORE_";
    for (const char character : flag) {
        const bool lower = character >= 'a' && character <= 'z';
        name.push_back(character == '-' ? '_' : lower ? static_cast<char>(character - 'a' + 'A') : character);
    }
    return name;
}

Settings::Settings(const ProgramInfo &program,
                   std::span<const Setting> table,
                   std::span<const char *const> arguments,
                   const Environment &environment)
{
    const options::options_description description = describeFlags(table);
    // The first argument is the name of the program.
    const std::vector<std::string> texts
        = expandBooleans(table, arguments.subspan(std::min<std::size_t>(arguments.size(), 1)));
    const options::variables_map variables = parseArguments(description, texts, !program.arguments.empty());
    if (variables["help"].as<bool>()) {
        this->chosenAction = SettingsAction::Help;
    } else if (variables["version"].as<bool>()) {
        this->chosenAction = SettingsAction::Version;
    } else if (variables["check"].as<bool>()) {
        this->chosenAction = SettingsAction::Check;
    }
    if (variables.count(PositionalName) > 0) {
        this->positional = variables[PositionalName].as<std::vector<std::string>>();
    }
    const bool checked = this->chosenAction == SettingsAction::Run || this->chosenAction == SettingsAction::Check;
    for (const Setting &setting : table) {
        const std::string flag(setting.flag);
        const std::string variableName = environmentName(flag);
        const auto variable = environment.find(variableName);
        this->types.emplace(flag, setting.type);
        if (!checked) {
            continue;
        }
        if (variables.count(flag) > 0) {
            this->values[flag] = variables[flag].as<std::string>();
            checkValue(setting, this->values[flag], "--" + flag);
        } else if (variable != environment.end() && !variable->second.empty()) {
            this->values[flag] = variable->second;
            checkValue(setting, variable->second, variableName);
        } else if (!setting.defaultValue.empty()) {
            this->values[flag] = setting.defaultValue;
            checkValue(setting, this->values[flag], "the default of --" + flag);
        } else if (setting.required) {
            throw Error(ResultCode::InvalidSetting,
                        "--" + flag + " or " + variableName + " is required; expected " + acceptedValues(setting));
        }
    }
}

SettingsAction Settings::action() const
{
    return this->chosenAction;
}

const std::vector<std::string> &Settings::arguments() const
{
    return this->positional;
}

bool Settings::has(std::string_view flag) const
{
    return this->values.find(flag) != this->values.end();
}

const std::string &Settings::value(std::string_view flag, std::span<const SettingType> acceptedTypes) const
{
    static const std::string empty;
    const auto type = this->types.find(flag);
    if (type == this->types.end()
        || std::find(acceptedTypes.begin(), acceptedTypes.end(), type->second) == acceptedTypes.end()) {
        throw Error(ResultCode::Internal,
                    "the settings table has no setting of this name and type: " + std::string(flag));
    }
    const auto found = this->values.find(flag);
    return found == this->values.end() ? empty : found->second;
}

const std::string &Settings::text(std::string_view flag) const
{
    static constexpr std::array Types{SettingType::Text, SettingType::Choice, SettingType::Address};
    return this->value(flag, Types);
}

std::int64_t Settings::integer(std::string_view flag) const
{
    static constexpr std::array Types{SettingType::Integer};
    return parseInteger(this->value(flag, Types)).value_or(0);
}

std::chrono::milliseconds Settings::milliseconds(std::string_view flag) const
{
    return std::chrono::milliseconds(this->integer(flag));
}

IpAddress Settings::address(std::string_view flag) const
{
    static constexpr std::array Types{SettingType::Address};
    return parseIpAddress(this->value(flag, Types)).value_or(IpAddress());
}

std::vector<std::string> Settings::list(std::string_view flag) const
{
    static constexpr std::array Types{SettingType::List, SettingType::AddressList};
    return splitList(this->value(flag, Types));
}

bool Settings::boolean(std::string_view flag) const
{
    static constexpr std::array Types{SettingType::Boolean};
    return this->value(flag, Types) == "true";
}

}
