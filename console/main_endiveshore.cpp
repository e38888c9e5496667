#include "console/commands.h"
#include "console/platformconfigstore.h"
#include "core/settings.h"

#include <iostream>
#include <limits>

namespace {

using namespace endiveshore;

constexpr core::Setting Table[] = {
    {.flag = "store",
     .type = core::SettingType::Address,
     .help = "Address of the platform's key-value store.",
     .required = true},
    {.flag = "daemons",
     .type = core::SettingType::AddressList,
     .help = "Admin addresses of the daemons that a change must reach."},
    {.flag = "json",
     .type = core::SettingType::Boolean,
     .defaultValue = "false",
     .help = "Prints the result as one JSON value."},
    {.flag = "base",
     .type = core::SettingType::Integer,
     .minimum = 0,
     .maximum = std::numeric_limits<std::int64_t>::max(),
     .help = "Base revision of a change if the document has no field `revision`; 0 means a new document."},
    {.flag = "wait-ms",
     .type = core::SettingType::Integer,
     .unit = "milliseconds",
     .minimum = 0,
     .maximum = 600'000,
     .defaultValue = "10000",
     .help = "Maximum wait until a change is in force on all daemons; 0 skips the check."},
    {.flag = "timeout-ms",
     .type = core::SettingType::Integer,
     .unit = "milliseconds",
     .minimum = 100,
     .maximum = 600'000,
     .defaultValue = "10000",
     .help = "Timeout of one read or change in the store, including retries."},
    {.flag = "operator",
     .type = core::SettingType::Text,
     .minimum = 1,
     .maximum = 64,
     .help = "Name that is stored with an accepted document; the login name if absent."},
    {.flag = "operation-id",
     .type = core::SettingType::Text,
     .minimum = 1,
     .maximum = 64,
     .help = "Operation id of the earlier `accept` with unknown outcome that this call repeats; random if absent."},
};

core::ProgramInfo programInfo(const std::string &commandHelp)
{
    return {.name = "endiveshore",
            .version = ENDIVESHORE_VERSION,
            .summary = "operator command of the endiveshore database proxy",
            .arguments = "COMMAND [ARGUMENT...]",
            .argumentHelp = commandHelp};
}

net::TcpEndpoint toEndpoint(const core::IpAddress &address)
{
    return net::parseEndpoint(address.text());
}

std::string operatorName(const core::Settings &settings, const core::Environment &environment)
{
    if (settings.has("operator")) {
        return settings.text("operator");
    }
    const auto login = environment.find("USER");
    return login == environment.end() ? "unknown" : login->second;
}

console::CommandResult runCommand(const core::Settings &settings, const core::Environment &environment)
{
    console::PlatformConfigStore store(toEndpoint(settings.address("store")));
    console::EditorOptions editorOptions{.operatorName = operatorName(settings, environment),
                                         .operationId = settings.text("operation-id"),
                                         .timeout = settings.milliseconds("timeout-ms")};
    console::ConfigEditor editor(store, std::move(editorOptions));

    std::vector<net::TcpEndpoint> daemons;
    for (const std::string &address : settings.list("daemons")) {
        daemons.push_back(net::parseEndpoint(address));
    }
    console::HttpDaemonPoller poller(daemons);
    console::CommandOptions commandOptions{.inForceTimeout = settings.milliseconds("wait-ms")};
    if (settings.has("base")) {
        commandOptions.base = settings.integer("base");
    }
    console::Commands commands(editor, daemons.empty() ? nullptr : &poller, std::cin, commandOptions);
    return commands.run(settings.arguments());
}

}

int main(int argc, char **argv)
{
    const std::string commandHelp = console::Commands::helpText();
    const core::ProgramInfo program = programInfo(commandHelp);
    bool asJson = false;
    console::CommandResult result;
    try {
        const core::Environment environment = core::processEnvironment();
        const core::Settings settings(program, Table, {argv, static_cast<std::size_t>(argc)}, environment);
        if (const std::optional<int> exitCode = core::handleSettingsAction(settings, program, Table, std::cout)) {
            return *exitCode;
        }
        asJson = settings.boolean("json");
        result = runCommand(settings, environment);
    } catch (const core::Error &error) {
        result = console::failedResult(error);
    } catch (const std::exception &error) {
        result = console::failedResult(core::Error(core::ResultCode::Internal, error.what()));
    }
    console::writeResult(result, asJson, std::cout, std::cerr);
    return console::exitCode(result.code);
}
