#include "core/settings.h"

#include <ostream>

namespace endiveshore::core {

namespace {

std::string formatRange(const Setting &setting)
{
    return "from " + std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
}

std::string_view placeholder(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return " TEXT";
    case SettingType::Choice:
        return " NAME";
    case SettingType::Integer:
        return " N";
    case SettingType::Address:
        return " IP:PORT";
    case SettingType::List:
        return " TEXT,...";
    case SettingType::AddressList:
        return " IP:PORT,...";
    case SettingType::Boolean:
        break;
    }
    return "";
}

}

std::string acceptedValues(const Setting &setting)
{
    const std::string unit(setting.unit);
    switch (setting.type) {
    case SettingType::Text:
        return setting.maximum > 0 ? "a text " + formatRange(setting) + " bytes long" : "a text";
    case SettingType::Choice: {
        std::string names(setting.choices);
        for (std::size_t comma = names.find(','); comma != std::string::npos; comma = names.find(',', comma + 2)) {
            names.replace(comma, 1, ", ");
        }
        return "one of " + names;
    }
    case SettingType::Integer:
        return "a whole number " + (unit.empty() ? std::string() : "of " + unit + " ") + formatRange(setting);
    case SettingType::Address:
        return "an IPv4 address of the form ip:port";
    case SettingType::List:
        return "a comma-separated list without blanks";
    case SettingType::AddressList:
        return "a comma-separated list of IPv4 addresses of the form ip:port";
    case SettingType::Boolean:
        break;
    }
    return "true or false";
}

std::string helpText(const ProgramInfo &program, std::span<const Setting> table)
{
    std::string text(program.name);
    text.append(" - ").append(program.summary).append("\n\nUsage: ").append(program.name).append(" [FLAGS]");
    if (!program.arguments.empty()) {
        text.append(" ").append(program.arguments);
    }
    text.append("\n\n");
    if (!program.argumentHelp.empty()) {
        text.append(program.argumentHelp).append("\n\n");
    }
    text.append("Flags, which take precedence over environment variables:\n");
    for (const Setting &setting : table) {
        text.append("  --").append(setting.flag).append(placeholder(setting.type)).append("\n      ");
        text.append(setting.help).append(" Accepts ").append(acceptedValues(setting)).append(".");
        if (setting.required) {
            text.append(" Required.");
        } else if (!setting.defaultValue.empty()) {
            text.append(" Default ").append(setting.defaultValue).append(".");
        }
        text.append("\n      Environment: ").append(environmentName(setting.flag)).append("\n");
    }
    text.append("  --check\n      Validates the settings and exits.\n");
    text.append("  --help\n      Shows this text and exits.\n");
    text.append("  --version\n      Shows the version and exits.\n");
    return text;
}

std::optional<int> handleSettingsAction(const Settings &settings,
                                        const ProgramInfo &program,
                                        std::span<const Setting> table,
                                        std::ostream &output)
{
    switch (settings.action()) {
    case SettingsAction::Run:
        return std::nullopt;
    case SettingsAction::Help:
        output << helpText(program, table);
        break;
    case SettingsAction::Version:
        output << program.name << " " << program.version << "\n";
        break;
    case SettingsAction::Check:
        output << "The settings are valid.\n";
        break;
    }
    return 0;
}

}
