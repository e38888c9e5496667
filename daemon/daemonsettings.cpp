#include "daemon/daemonsettings.h"

#include "core/error.h"

#include <array>

namespace endiveshore::daemon {

namespace {

using core::Setting;
using core::SettingType;

constexpr std::array DaemonSettingsTable{
    Setting{.flag = "id",
            .type = SettingType::Text,
            .minimum = 1,
            .maximum = 64,
            .help = "Unique name of this daemon.",
            .required = true},
    Setting{.flag = "data-centre",
            .type = SettingType::Text,
            .minimum = 1,
            .maximum = 64,
            .help = "Data centre of this VM.",
            .required = true},
    Setting{.flag = "region",
            .type = SettingType::Text,
            .minimum = 1,
            .maximum = 64,
            .help = "Region of the data centre.",
            .required = true},
    Setting{.flag = "listen", .type = SettingType::Address, .help = "Address of the caller API.", .required = true},
    Setting{.flag = "admin-listen",
            .type = SettingType::Address,
            .help = "Address of the status API for operators.",
            .required = true},
    Setting{.flag = "peer-listen",
            .type = SettingType::Address,
            .help = "Address for other daemons, TCP and UDP.",
            .required = true},
    Setting{.flag = "metrics-listen",
            .type = SettingType::Address,
            .help = "Address of the metrics endpoint; none if absent."},
    Setting{.flag = "store",
            .type = SettingType::Address,
            .help = "Address of the platform's key-value store.",
            .required = true},
    Setting{
        .flag = "vm-list", .type = SettingType::Address, .help = "Address of the platform's VM list; none if absent."},
    Setting{.flag = "seeds", .type = SettingType::AddressList, .help = "Peer addresses of daemons to join through."},
    Setting{.flag = "session-secrets",
            .type = SettingType::List,
            .help = "Secrets of session tokens; the first signs, all verify.",
            .required = true,
            .secret = true},
    Setting{.flag = "traffic-threads",
            .type = SettingType::Integer,
            .unit = "threads",
            .minimum = 1,
            .maximum = 64,
            .defaultValue = "2",
            .help = "Threads that serve requests."},
    Setting{.flag = "drain-lag-ms",
            .type = SettingType::Integer,
            .unit = "milliseconds",
            .minimum = 0,
            .maximum = 60'000,
            .defaultValue = "2000",
            .help = "Time to keep accepting requests after readiness fails, so that the load balancer notices."},
    Setting{.flag = "drain-limit-ms",
            .type = SettingType::Integer,
            .unit = "milliseconds",
            .minimum = 100,
            .maximum = 600'000,
            .defaultValue = "15000",
            .help = "Longest time from the stop signal to the exit."},
    Setting{.flag = "handover-wait-ms",
            .type = SettingType::Integer,
            .unit = "milliseconds",
            .minimum = 0,
            .maximum = 60'000,
            .defaultValue = "2200",
            .help = "Time a new home waits before it uses a server whose previous home did not release it."},
    Setting{.flag = "probe-interval-ms",
            .type = SettingType::Integer,
            .unit = "milliseconds",
            .minimum = 50,
            .maximum = 10'000,
            .defaultValue = "400",
            .help
            = "Time between probes of a primary by each home of its group; a longer interval saves control traffic and "
              "lengthens a failover by about twice the difference."},
    Setting{.flag = "read-policy",
            .type = SettingType::Choice,
            .choices = "replicas,primary",
            .defaultValue = "replicas",
            .help = "Servers that answer reads; primary is the baseline for measurements."},
    Setting{.flag = "rate-mode",
            .type = SettingType::Choice,
            .choices = "shares,static",
            .defaultValue = "shares",
            .help = "Sharing of a workspace's rate by the daemons; static is the baseline for measurements."},
    Setting{.flag = "config-mode",
            .type = SettingType::Choice,
            .choices = "relay,direct",
            .defaultValue = "relay",
            .help = "Whether only relays watch the store; direct is the baseline for measurements."},
    Setting{.flag = "log-level",
            .type = SettingType::Choice,
            .choices = "debug,info,warning,error",
            .defaultValue = "info",
            .help = "Minimum level of the log lines that are written."},
    Setting{.flag = "log-format",
            .type = SettingType::Choice,
            .choices = "text,json",
            .defaultValue = "text",
            .help = "Format of log lines."},
    Setting{.flag = "log-output",
            .type = SettingType::Text,
            .maximum = 1024,
            .defaultValue = "stdout",
            .help = "stdout, stderr or a file."},
    Setting{.flag = "log-lines-per-second",
            .type = SettingType::Integer,
            .unit = "lines per second",
            .minimum = 1,
            .maximum = 100'000,
            .defaultValue = "50",
            .help = "Maximum number of lines per second for each event type."},
};

constexpr std::size_t MinimumSecretBytes = 16;

net::TcpEndpoint endpointOf(const core::Settings &settings, std::string_view flag)
{
    return net::parseEndpoint(settings.text(flag));
}

}

std::span<const core::Setting> DaemonSettings::table()
{
    return DaemonSettingsTable;
}

core::ProgramInfo DaemonSettings::program()
{
    return {.name = "endiveshored",
            .version = ENDIVESHORE_VERSION,
            .summary = "Database proxy daemon with session consistency.",
            .arguments = "",
            .argumentHelp = ""};
}

DaemonSettings DaemonSettings::fromSettings(const core::Settings &settings)
{
    DaemonSettings result;
    result.id = settings.text("id");
    result.dataCentre = settings.text("data-centre");
    result.region = settings.text("region");
    result.listen = endpointOf(settings, "listen");
    result.adminListen = endpointOf(settings, "admin-listen");
    result.peerListen = endpointOf(settings, "peer-listen");
    result.metricsListen = settings.has("metrics-listen") ? settings.text("metrics-listen") : std::string();
    result.store = endpointOf(settings, "store");
    if (settings.has("vm-list")) {
        result.vmList = endpointOf(settings, "vm-list");
    }
    if (settings.has("seeds")) {
        for (const std::string &seed : settings.list("seeds")) {
            result.seeds.push_back(net::parseEndpoint(seed));
        }
    }
    result.sessionSecrets = settings.list("session-secrets");
    for (const std::string &secret : result.sessionSecrets) {
        if (secret.size() < MinimumSecretBytes) {
            throw core::Error(core::ResultCode::InvalidSetting,
                              "--session-secrets: every secret needs at least 16 bytes");
        }
    }
    result.trafficThreads = static_cast<int>(settings.integer("traffic-threads"));
    result.drainLag = settings.milliseconds("drain-lag-ms");
    result.drainLimit = settings.milliseconds("drain-limit-ms");
    result.probeInterval = settings.milliseconds("probe-interval-ms");
    result.handoverWait = settings.milliseconds("handover-wait-ms");
    result.readFromReplicas = settings.text("read-policy") == "replicas";
    result.rateMode = settings.text("rate-mode") == "shares" ? RateMode::Shares : RateMode::Static;
    result.relayConfiguration = settings.text("config-mode") == "relay";
    result.logLevel = settings.text("log-level");
    result.logFormat = settings.text("log-format");
    result.logOutput = settings.text("log-output");
    result.logLinesPerSecond = static_cast<int>(settings.integer("log-lines-per-second"));
    return result;
}

}
