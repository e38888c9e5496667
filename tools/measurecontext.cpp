#include "tools/measurecontext.h"

#include "core/error.h"
#include "core/json.h"
#include "tools/blockinghttp.h"
#include "tools/ratewindow.h"

#include <algorithm>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::size_t DatabaseCount = 3;
constexpr std::size_t ServerCount = 3;
constexpr std::int64_t LedgerPage = 2'000;
constexpr int SessionsPerWorkspace = 4;
constexpr std::uint64_t ReadKeys = 20;

}

std::vector<WorkspaceSettings> defaultWorkspaceSettings()
{
    return {{.name = "workspace-1", .rate = 250, .burst = 250, .weight = 3},
            {.name = "workspace-2", .rate = 120, .burst = 120, .weight = 3},
            {.name = "workspace-3", .rate = 120, .burst = 120, .weight = 3},
            {.name = "workspace-4", .rate = 40, .burst = 40, .weight = 1},
            {.name = "workspace-5", .rate = 40, .burst = 40, .weight = 1},
            {.name = "workspace-6", .rate = 40, .burst = 40, .weight = 1},
            {.name = "workspace-7", .rate = 40, .burst = 40, .weight = 1},
            {.name = "workspace-8", .rate = 40, .burst = 40, .weight = 1}};
}

json::array workspacesJson(const std::vector<WorkspaceSettings> &workspaceSettings)
{
    json::array result;
    for (const WorkspaceSettings &settings : workspaceSettings) {
        result.push_back(json::object{{"name", settings.name},
                                      {"rate_per_s", settings.rate},
                                      {"burst", settings.burst},
                                      {"weight", settings.weight}});
    }
    return result;
}

MeasureContext::MeasureContext(Deployment &deployment, std::string service, std::uint64_t seed, bool isBaseline)
    : deployment(deployment)
    , service(std::move(service))
    , seed(seed)
    , isBaseline(isBaseline)
    , origin(core::Clock::now())
    , workspaceSettings(defaultWorkspaceSettings())
{
}

std::shared_ptr<Workload> MeasureContext::createWorkload(net::Executor executor,
                                                         std::string prefix,
                                                         double rateShare,
                                                         core::Milliseconds duration)
{
    WorkloadOptions options;
    options.service = this->service;
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        options.databases.push_back(this->deployment.databaseName(database));
    }
    for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
        options.daemonPorts.push_back(this->deployment.callerPort(daemon));
    }
    for (std::size_t workspace = 0; workspace < this->workspaceSettings.size(); ++workspace) {
        options.workspaces.push_back({.name = this->workspaceSettings[workspace].name,
                                      .key = this->deployment.key(workspace),
                                      .requestsPerSecond = this->workspaceSettings[workspace].rate * rateShare,
                                      .sessions = SessionsPerWorkspace});
    }
    options.duration = duration;
    options.seed = this->seed;
    options.sessionPrefix = std::move(prefix);
    options.attempts = 3;
    return std::make_shared<Workload>(std::move(executor), std::move(options));
}

RequestStream MeasureContext::stream(std::size_t workspace, double requestsPerSecond) const
{
    return {.name = this->workspaceSettings.at(workspace).name,
            .key = this->deployment.key(workspace),
            .requestsPerSecond = requestsPerSecond};
}

std::shared_ptr<OpenLoopLoad> MeasureContext::createOpenLoopLoad(net::Executor executor,
                                                                 std::vector<RequestStream> streams,
                                                                 core::Milliseconds duration,
                                                                 core::Milliseconds timeout) const
{
    OpenLoopLoadOptions options{.service = this->service,
                                .streams = std::move(streams),
                                .origin = this->origin,
                                .duration = duration,
                                .timeout = timeout,
                                .seed = this->seed};
    for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
        options.daemonPorts.push_back(this->deployment.callerPort(daemon));
    }
    return std::make_shared<OpenLoopLoad>(std::move(executor), std::move(options));
}

json::object MeasureContext::readBody(std::uint64_t index, std::string_view route) const
{
    const std::string database = this->deployment.databaseName(index % DatabaseCount);
    const std::string key = database + ":read-" + std::to_string(index % ReadKeys);
    return {{"database", database}, {"route", route}, {"statement", json::object{{"op", "get"}, {"key", key}}}};
}

std::int64_t MeasureContext::now() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(core::Clock::now() - this->origin).count();
}

void MeasureContext::recordRateExcess(std::size_t workspace,
                                      const std::vector<RequestRecord> &records,
                                      std::size_t stream)
{
    std::vector<RequestInterval> intervals;
    for (const RequestRecord &record : records) {
        if (record.stream == stream && record.outcome == core::Outcome::Done) {
            intervals.push_back({.startUs = record.startUs, .endUs = record.endUs});
        }
    }
    const WorkspaceSettings &settings = this->workspaceSettings.at(workspace);
    this->largestRateExcess
        = std::max(this->largestRateExcess, largestExcess(intervals, settings.rate, settings.burst));
}

void MeasureContext::readLedger(std::size_t database, std::size_t server)
{
    std::vector<std::string> keys = this->extraKeys;
    for (std::size_t workspace = 0; workspace < this->workspaceSettings.size(); ++workspace) {
        keys.push_back(this->deployment.key(workspace));
    }
    std::vector<bool> seen(keys.size(), false);
    json::object page;
    for (std::int64_t from = 0;; from += LedgerPage) {
        page = getJson(this->deployment.databasePort(database, server),
                       "/ledger?from=" + std::to_string(from) + "&limit=" + std::to_string(LedgerPage));
        const std::string text = json::serialize(page);
        for (std::size_t index = 0; index < keys.size(); ++index) {
            seen[index] = seen[index] || text.find(keys[index]) != std::string::npos;
        }
        if (from + LedgerPage >= core::jsonInteger(page, "total")) {
            break;
        }
    }
    this->keysSeen += std::count(seen.begin(), seen.end(), true);
    this->slotViolations += core::jsonInteger(page, "slot_violations");
    this->connectionViolations += core::jsonInteger(page, "connection_violations");
}

int MeasureContext::primaryOf(std::size_t database)
{
    int primary = -1;
    std::int64_t highest = -1;
    for (std::size_t server = 0; server < ServerCount; ++server) {
        if (!this->deployment.server(database, server).isRunning()) {
            continue;
        }
        try {
            const json::object status = getJson(this->deployment.databasePort(database, server), "/status");
            const std::int64_t term = core::jsonInteger(status, "term");
            if (core::jsonString(status, "role") == "primary" && term > highest) {
                highest = term;
                primary = static_cast<int>(server);
            }
        } catch (const core::Error &) {
            continue;
        }
    }
    return primary;
}

void MeasureContext::addNote(std::string text)
{
    this->notes.emplace_back(std::move(text));
}

}
