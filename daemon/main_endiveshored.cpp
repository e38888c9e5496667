#include "core/error.h"
#include "daemon/daemon.h"
#include "daemon/daemonsettings.h"
#include "platform/platformadapter.h"
#include "platform/sessionsettings.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

using namespace endiveshore;

constexpr int InvalidSettingExitCode = 2;

/// First argument that selects the interface for long-lived caller sessions of the platform.
constexpr std::string_view SessionsCommand = "sessions";

/// Serves the proxy's own interface.
int serveStatements(std::span<const char *const> arguments)
{
    const core::ProgramInfo program = daemon::DaemonSettings::program();
    const core::Settings settings(program, daemon::DaemonSettings::table(), arguments, core::processEnvironment());
    if (settings.action() == core::SettingsAction::Check || settings.action() == core::SettingsAction::Run) {
        daemon::DaemonSettings::fromSettings(settings);
    }
    const std::optional<int> answered
        = core::handleSettingsAction(settings, program, daemon::DaemonSettings::table(), std::cout);
    if (answered) {
        return *answered;
    }
    daemon::Daemon process(daemon::DaemonSettings::fromSettings(settings));
    return process.run();
}

/// Serves caller sessions on the platform.
int serveSessions(std::span<const char *const> arguments)
{
    const core::ProgramInfo program = platform::sessionProgram();
    const core::Settings settings(program, platform::sessionSettings(), arguments, core::processEnvironment());
    if (settings.action() == core::SettingsAction::Check) {
        platform::makeAdapter(std::getenv(platform::SettingsVariable));
    }
    const std::optional<int> answered
        = core::handleSettingsAction(settings, program, platform::sessionSettings(), std::cout);
    if (answered) {
        return *answered;
    }
    gateway::PlatformAdapter adapter = platform::makeAdapter(std::getenv(platform::SettingsVariable));
    platform::applyCallerLimits(settings, adapter.deployment);
    const telemetry::LogOptions logOptions = platform::sessionLogOptions(settings, adapter);
    adapter.deployment.placesReadsByLoad = settings.boolean("reads-by-load");
    const auto process = std::make_unique<gateway::GatewayDaemon>(std::move(adapter), logOptions);
    const int exitCode = process->run();
    // All work for callers and peers has ended; destroying the remaining objects would only delay the exit.
    std::quick_exit(exitCode);
}

}

/// Runs the daemon. Exit code 0 after a graceful shutdown, 1 if the daemon could not run, 2 for an invalid setting.
int main(int argumentCount, char **arguments)
{
    try {
        std::signal(SIGPIPE, SIG_IGN);
        const std::span<const char *const> flags(arguments, static_cast<std::size_t>(argumentCount));
        if (flags.size() > 1 && flags[1] == SessionsCommand) {
            return serveSessions(flags.subspan(1));
        }
        return serveStatements(flags);
    } catch (const core::Error &error) {
        std::cerr << "endiveshored: " << error.message << '\n';
        return error.code == core::ResultCode::InvalidSetting ? InvalidSettingExitCode : 1;
    } catch (const std::exception &error) {
        std::cerr << "endiveshored: " << error.what() << '\n';
        return 1;
    }
}
