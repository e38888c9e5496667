#include "core/error.h"
#include "daemon/daemon.h"
#include "daemon/daemonsettings.h"

#include <csignal>
#include <iostream>

namespace {

constexpr int InvalidSettingExitCode = 2;

}

/// The daemon. Exit code 0 after a graceful shutdown, 1 if it could not run, 2 for an invalid setting.
int main(int argumentCount, char **arguments)
{
    using namespace endiveshore;
    try {
        const core::ProgramInfo program = daemon::DaemonSettings::program();
        const std::span<const char *const> flags(arguments, static_cast<std::size_t>(argumentCount));
        const core::Settings settings(program, daemon::DaemonSettings::table(), flags, core::processEnvironment());
        if (settings.action() == core::SettingsAction::Check || settings.action() == core::SettingsAction::Run) {
            daemon::DaemonSettings::fromSettings(settings);
        }
        const std::optional<int> answered
            = core::answerAction(settings, program, daemon::DaemonSettings::table(), std::cout);
        if (answered) {
            return *answered;
        }
        std::signal(SIGPIPE, SIG_IGN);
        daemon::Daemon process(daemon::DaemonSettings::fromSettings(settings));
        return process.run();
    } catch (const core::Error &error) {
        std::cerr << "endiveshored: " << error.message << '\n';
        return error.code == core::ResultCode::InvalidSetting ? InvalidSettingExitCode : 1;
    } catch (const std::exception &error) {
        std::cerr << "endiveshored: " << error.what() << '\n';
        return 1;
    }
}
