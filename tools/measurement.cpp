#include "tools/measurement.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "tools/blockinghttp.h"
#include "tools/fairshare.h"
#include "tools/faultphase.h"
#include "tools/finalcheck.h"
#include "tools/loadthread.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::size_t DatabaseCount = 3;
constexpr std::size_t ServerCount = 3;
constexpr std::chrono::milliseconds SettleTime{2'000};
constexpr std::chrono::milliseconds IdleTime{5'000};
constexpr core::Milliseconds InsideRateTime{8'000};
constexpr core::Milliseconds AboveRateTime{5'000};
constexpr core::Milliseconds FairnessTime{9'000};
constexpr core::Milliseconds FairnessTimeout{2'000};
// Served requests are counted only after the queues have filled and the first deadlines have passed.
constexpr std::int64_t FairnessWarmUpUs = 2'500'000;
constexpr std::chrono::milliseconds ConfigurationTimeout{10'000};
constexpr std::chrono::milliseconds ProbePause{5};
constexpr double HistoryRateShare = 0.2;
constexpr double OpenRateShare = 0.6;
constexpr double FirstDaemonShare = 0.9;
constexpr double AboveRateFactor = 3;
constexpr std::size_t WorkspacesAboveRate[] = {1, 3, 4};
constexpr core::Milliseconds DaemonFaultTime{8'000};
constexpr std::chrono::milliseconds DaemonFaultStep{1'000};
// Longer than the lease of a home and the lifetime of a lent rate token, both 1 s.
constexpr std::chrono::milliseconds DaemonPause{2'000};
constexpr double DaemonFaultRateShare = 0.1;
constexpr std::size_t PausedDaemon = 1;
constexpr std::size_t KilledDaemon = 2;
constexpr double GreedyFactor = 5;
constexpr double LoweredRateDivisor = 4;
// Makes the slots of the three primaries the bottleneck: 15 slots at 120 ms run about 125 statements per second.
constexpr int SlowStatementMs = 120;
constexpr int StatementMs = 2;
constexpr std::size_t GreedyWorkspace = 0;
constexpr std::size_t WithdrawnWorkspace = 7;

DeploymentOptions deploymentOptions(const MeasurementOptions &options)
{
    DeploymentOptions result;
    result.binaryDirectory = options.binaryDirectory;
    result.workDirectory = options.workDirectory;
    result.basePort = options.basePort;
    result.service = options.profile.service;
    result.connectionLimit = options.profile.connectionLimit;
    result.connectMs = options.profile.connectMs;
    result.statementMs = StatementMs;
    result.workspaces = workspacesJson(defaultWorkspaceSettings());
    if (options.isBaseline) {
        result.daemonFlags = {"--rate-mode", "static", "--read-policy", "primary", "--config-mode", "direct"};
    }
    return result;
}

double numberOrZero(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

/// Bytes that the control thread of a daemon has sent and received, from the daemon's status.
double controlBytes(const json::object &status)
{
    return numberOrZero(status, status.contains("control_bytes") ? "control_bytes" : "gossip_bytes");
}

json::object codesJson(const std::map<int, std::uint64_t> &codes)
{
    json::object result;
    for (const auto &[code, count] : codes) {
        result[std::to_string(code)] = count;
    }
    return result;
}

double secondsSince(core::TimePoint start)
{
    return std::chrono::duration<double>(core::Clock::now() - start).count();
}

}

Measurement::Measurement(MeasurementOptions options)
    : options(std::move(options))
    , deployment(deploymentOptions(this->options))
    , context(this->deployment, this->options.profile.service, this->options.seed, this->options.isBaseline)
{
}

json::object Measurement::run()
{
    static constexpr Phase Phases[] = {
        {"idle", &Measurement::idle},
        {"inside_rate", &Measurement::insideRate},
        {"above_rate", &Measurement::aboveRate},
        {"key_withdrawal", &Measurement::keyWithdrawal},
        {"lower_rates", &Measurement::lowerRates},
        {"fairness", &Measurement::fairness},
        {"restore_rates", &Measurement::restoreRates},
        {"faults", &Measurement::faults},
        {"daemon_faults", &Measurement::daemonFaults},
        {"final_state", &Measurement::finalState},
    };
    const core::TimePoint begin = core::Clock::now();
    this->deployment.start();
    this->phases.push_back(json::object{{"name", "start"}, {"seconds", secondsSince(begin)}});
    for (const Phase &phase : Phases) {
        const core::TimePoint start = core::Clock::now();
        try {
            (this->*phase.run)();
        } catch (const core::Error &error) {
            this->context.addNote(std::string(phase.name) + ": " + error.message);
        } catch (const std::exception &error) {
            this->context.addNote(std::string(phase.name) + ": " + error.what());
        }
        const double seconds = secondsSince(start);
        json::object entry{{"name", phase.name}, {"seconds", seconds}};
        entry["violations"] = this->limitViolations();
        std::cout << "  " << this->options.profile.service << (this->options.isBaseline ? " baseline " : " ")
                  << phase.name << ' ' << std::setprecision(3) << seconds << " s "
                  << json::serialize(entry["violations"]) << std::endl;
        this->phases.push_back(std::move(entry));
    }
    for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
        if (!this->deployment.daemon(daemon).isRunning()) {
            this->context.addNote(this->deployment.daemonName(daemon) + " exited during the run");
        }
    }
    const std::uint64_t reads = this->context.replicaReads + this->context.primaryReads;
    this->figures["replica_reads"] = this->context.replicaReads;
    this->figures["reads"] = reads;
    this->figures["over_rate"] = this->context.largestRateExcess;
    this->figures["phases"] = this->phases;
    this->figures["notes"] = this->context.notes;
    return this->figures;
}

void Measurement::idle()
{
    std::this_thread::sleep_for(SettleTime);
    const std::size_t daemons = this->deployment.daemonCount();
    std::vector<json::object> before;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        before.push_back(this->deployment.daemonStatus(daemon));
    }
    const json::object storeBefore = getJson(this->deployment.storePort(), "/standin/stats");
    const core::TimePoint start = core::Clock::now();
    std::this_thread::sleep_for(IdleTime);
    const json::object storeAfter = getJson(this->deployment.storePort(), "/standin/stats");
    const double seconds = secondsSince(start);
    double largestCpu = 0;
    double largestBytes = 0;
    double largestMemory = 0;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        const json::object after = this->deployment.daemonStatus(daemon);
        const double cpu = numberOrZero(after, "control_cpu_s") - numberOrZero(before[daemon], "control_cpu_s");
        largestCpu = std::max(largestCpu, cpu / seconds);
        largestBytes = std::max(largestBytes, (controlBytes(after) - controlBytes(before[daemon])) / seconds);
        largestMemory = std::max(largestMemory, this->residentMegabytes(daemon));
    }
    this->figures["control_cpu_share"] = largestCpu;
    this->figures["control_rss_mb"] = largestMemory;
    this->figures["control_bytes_per_s"] = largestBytes;
    this->figures["store_calls_per_s"]
        = (numberOrZero(storeAfter, "calls_total") - numberOrZero(storeBefore, "calls_total")) / seconds;
    this->figures["store_open_watches"] = numberOrZero(storeAfter, "open_watches");
}

void Measurement::insideRate()
{
    LoadThread thread;
    std::vector<RequestStream> streams;
    for (std::size_t workspace = 0; workspace < this->context.workspaceSettings.size(); ++workspace) {
        RequestStream stream
            = this->context.stream(workspace, this->context.workspaceSettings[workspace].rate * OpenRateShare);
        stream.firstDaemonShare = FirstDaemonShare;
        stream.body = [this](std::uint64_t index) {
            return this->context.readBody(index, index % 2 == 0 ? "availability" : "own-bookings");
        };
        streams.push_back(std::move(stream));
    }
    const auto load = this->context.createOpenLoopLoad(thread.executor(), std::move(streams), InsideRateTime);
    const auto workload = this->context.createWorkload(thread.executor(), "calm-", HistoryRateShare, InsideRateTime);
    std::future<void> loadEnd = thread.spawn(load->run());
    std::future<void> workloadEnd = thread.spawn(workload->run());
    loadEnd.get();
    workloadEnd.get();
    std::map<int, std::uint64_t> refusals;
    std::uint64_t refused = 0;
    std::uint64_t offered = load->records().size();
    for (const RequestRecord &record : load->records()) {
        if (record.outcome == core::Outcome::Done) {
            ++(record.role == "replica" ? this->context.replicaReads : this->context.primaryReads);
            continue;
        }
        ++refusals[record.code];
        refused += record.outcome == core::Outcome::NotRun ? 1 : 0;
    }
    for (const HistoryEvent &event : workload->history()) {
        ++offered;
        if (event.outcome != EventOutcome::Done) {
            ++refusals[event.code];
            refused += event.outcome == EventOutcome::NotRun ? 1 : 0;
        }
    }
    this->context.replicaReads += workload->replicaReads();
    this->context.primaryReads += workload->primaryReads();
    this->context.histories.push_back(workload->history());
    this->figures["offered_inside_rate"] = offered;
    this->figures["refusals_inside_rate"] = refused;
    this->figures["failures_inside_rate_by_code"] = codesJson(refusals);
    if (load->dropped() > 0) {
        this->context.addNote("inside_rate: " + std::to_string(load->dropped())
                              + " requests were not sent, too many waited for an answer");
    }
}

void Measurement::aboveRate()
{
    LoadThread thread;
    const auto load = this->loadAboveRate(thread.executor(), AboveRateTime);
    thread.spawn(load->run()).get();
    this->recordRateExcesses(*load);
}

void Measurement::daemonFaults()
{
    if (this->options.isBaseline) {
        return;
    }
    LoadThread thread;
    const auto load = this->loadAboveRate(thread.executor(), DaemonFaultTime);
    const auto workload
        = this->context.createWorkload(thread.executor(), "moved-", DaemonFaultRateShare, DaemonFaultTime);
    std::future<void> loadEnd = thread.spawn(load->run());
    std::future<void> workloadEnd = thread.spawn(workload->run());
    std::this_thread::sleep_for(DaemonFaultStep);
    this->deployment.daemon(PausedDaemon).sendSignal(SIGSTOP);
    std::this_thread::sleep_for(DaemonPause);
    this->deployment.daemon(PausedDaemon).sendSignal(SIGCONT);
    std::this_thread::sleep_for(DaemonFaultStep);
    this->deployment.daemon(KilledDaemon).restart();
    loadEnd.get();
    workloadEnd.get();
    this->recordRateExcesses(*load);
    this->context.histories.push_back(workload->history());
}

std::shared_ptr<OpenLoopLoad> Measurement::loadAboveRate(net::Executor executor, core::Milliseconds duration)
{
    std::vector<RequestStream> streams;
    for (const std::size_t workspace : WorkspacesAboveRate) {
        RequestStream stream
            = this->context.stream(workspace, this->context.workspaceSettings[workspace].rate * AboveRateFactor);
        stream.body = [this](std::uint64_t index) { return this->context.readBody(index, "availability"); };
        streams.push_back(std::move(stream));
    }
    return this->context.createOpenLoopLoad(std::move(executor), std::move(streams), duration);
}

void Measurement::recordRateExcesses(const OpenLoopLoad &load)
{
    for (std::size_t index = 0; index < std::size(WorkspacesAboveRate); ++index) {
        this->context.recordRateExcess(WorkspacesAboveRate[index], load.records(), index);
    }
}

void Measurement::keyWithdrawal()
{
    std::string output;
    const std::string workspace = this->context.workspaceSettings[WithdrawnWorkspace].name;
    if (this->deployment.runOperator({"--json", "grant", this->options.profile.service, workspace}, &output) != 0) {
        this->context.addNote("key_withdrawal: grant: " + output);
        return;
    }
    const std::string key = json::parse(output).at("key").as_string().c_str();
    this->context.extraKeys.push_back(key);
    boost::asio::io_context loop(1);
    CallerClient client(loop.get_executor(), this->options.profile.service, key);
    const auto answerCode = [&](std::size_t daemon) {
        loop.restart();
        auto answer = boost::asio::co_spawn(loop,
                                            client.statement(this->deployment.callerPort(daemon),
                                                             this->context.readBody(0, "availability"),
                                                             core::Milliseconds(1'000)),
                                            boost::asio::use_future);
        loop.run();
        return answer.get().code;
    };
    for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
        if (!Deployment::waitUntil([&] { return answerCode(daemon) == 0; }, ConfigurationTimeout)) {
            this->context.addNote("key_withdrawal: the new key is not accepted by "
                                  + this->deployment.daemonName(daemon));
            return;
        }
    }
    const core::TimePoint start = core::Clock::now();
    std::future<int> command = std::async(std::launch::async, [this, &key] {
        return this->deployment.runOperator({"revoke", core::sha256Hex(key)});
    });
    std::set<std::size_t> accepting;
    for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
        accepting.insert(daemon);
    }
    constexpr int Rejected = static_cast<int>(core::ResultCode::KeyRejected);
    const bool stopped = Deployment::waitUntil(
        [&] {
            std::erase_if(accepting, [&](std::size_t daemon) { return answerCode(daemon) == Rejected; });
            return accepting.empty();
        },
        ConfigurationTimeout);
    if (stopped) {
        this->figures["key_withdrawal_ms"] = secondsSince(start) * 1000;
    } else {
        this->context.addNote("key_withdrawal: " + std::to_string(accepting.size()) + " daemons still accept the key");
    }
    command.get();
}

void Measurement::lowerRates()
{
    std::vector<WorkspaceSettings> workspaceSettings = this->context.workspaceSettings;
    for (WorkspaceSettings &settings : workspaceSettings) {
        settings.rate /= LoweredRateDivisor;
        settings.burst = settings.rate;
    }
    this->applyWorkspaceSettings(std::move(workspaceSettings));
}

void Measurement::restoreRates()
{
    this->applyWorkspaceSettings(defaultWorkspaceSettings());
}

void Measurement::applyWorkspaceSettings(std::vector<WorkspaceSettings> workspaceSettings)
{
    std::string output;
    if (this->deployment.runOperator({"--json", "show", this->options.profile.service}, &output) != 0) {
        throw std::runtime_error("show: " + output);
    }
    json::object document = json::parse(output).as_object();
    if (const json::object *inner = core::jsonObject(document, "document")) {
        json::object copy = *inner;
        if (document.contains("revision") && !copy.contains("revision")) {
            copy["revision"] = document["revision"];
        }
        document = std::move(copy);
    }
    document["workspaces"] = workspacesJson(workspaceSettings);
    const std::string file = this->deployment.workDirectory() + "/changed.json";
    std::ofstream(file) << json::serialize(document);
    const json::object store = getJson(this->deployment.storePort(), "/standin/stats");
    const std::int64_t before = core::jsonInteger(store, "revision");
    const core::TimePoint start = core::Clock::now();
    std::future<int> command = std::async(std::launch::async, [this, &file, &output] {
        return this->deployment.runOperator({"accept", file}, &output);
    });
    const bool inForce = Deployment::waitUntil(
        [&] {
            for (std::size_t daemon = 0; daemon < this->deployment.daemonCount(); ++daemon) {
                if (core::jsonInteger(this->deployment.daemonStatus(daemon), "revision") <= before) {
                    return false;
                }
            }
            return true;
        },
        ConfigurationTimeout);
    const double elapsed = secondsSince(start) * 1000;
    const int exitCode = command.get();
    if (exitCode != 0) {
        this->context.addNote("accept ended with " + std::to_string(exitCode) + ": " + output);
    }
    if (!inForce) {
        this->context.addNote("accept: the document was not in force on all daemons within 10 s");
        return;
    }
    this->figures["document_in_force_ms"] = std::max(numberOrZero(this->figures, "document_in_force_ms"), elapsed);
    this->context.workspaceSettings = std::move(workspaceSettings);
}

void Measurement::fairness()
{
    this->setStatementTime(SlowStatementMs);
    LoadThread thread;
    std::vector<RequestStream> streams;
    const std::vector<WorkspaceSettings> &workspaceSettings = this->context.workspaceSettings;
    for (std::size_t workspace = 0; workspace < workspaceSettings.size(); ++workspace) {
        const double factor = workspace == GreedyWorkspace ? GreedyFactor : 1;
        RequestStream stream = this->context.stream(workspace, workspaceSettings[workspace].rate * factor);
        stream.body = [this](std::uint64_t index) { return this->context.readBody(index, "exact"); };
        streams.push_back(std::move(stream));
    }
    const std::int64_t start = this->context.now() + FairnessWarmUpUs;
    const std::int64_t end = this->context.now() + core::toMilliseconds(FairnessTime) * 1000;
    const auto load
        = this->context.createOpenLoopLoad(thread.executor(), std::move(streams), FairnessTime, FairnessTimeout);
    thread.spawn(load->run()).get();
    this->setStatementTime(StatementMs);
    std::vector<double> served(workspaceSettings.size(), 0);
    std::map<int, std::uint64_t> failures;
    for (const RequestRecord &record : load->records()) {
        if (record.code != 0) {
            ++failures[record.code];
        }
        if (record.outcome == core::Outcome::Done && record.endUs >= start && record.endUs < end) {
            served[record.stream] += 1e6 / static_cast<double>(end - start);
        }
    }
    this->figures["failures_under_contention_by_code"] = codesJson(failures);
    double capacity = 0;
    std::vector<ShareDemand> demands;
    for (std::size_t workspace = 0; workspace < workspaceSettings.size(); ++workspace) {
        capacity += served[workspace];
        demands.push_back({.demand = workspaceSettings[workspace].rate, .weight = workspaceSettings[workspace].weight});
        this->context.recordRateExcess(workspace, load->records(), workspace);
    }
    const std::vector<double> entitled = fairShares(demands, capacity);
    json::array shares;
    double worst = -1;
    for (std::size_t workspace = 0; workspace < workspaceSettings.size(); ++workspace) {
        shares.push_back(json::object{{"workspace", workspaceSettings[workspace].name},
                                      {"served_per_s", served[workspace]},
                                      {"entitled_per_s", entitled[workspace]}});
        if (workspace == GreedyWorkspace || entitled[workspace] <= 0) {
            continue;
        }
        const double ratio = served[workspace] / entitled[workspace];
        worst = worst < 0 ? ratio : std::min(worst, ratio);
    }
    this->figures["shares_under_contention"] = std::move(shares);
    if (worst >= 0) {
        this->figures["worst_workspace_ratio"] = worst;
    }
}

void Measurement::faults()
{
    FaultPhase phase(this->context, !this->options.isBaseline);
    const json::array gaps = phase.run();
    json::array values;
    for (const json::value &gap : gaps) {
        values.push_back(gap.at("gap_ms"));
    }
    this->figures["failover_gap_ms"] = std::move(values);
    this->figures["failover_gaps"] = gaps;
}

void Measurement::finalState()
{
    FinalCheck check(this->context);
    check.run(this->figures);
}

void Measurement::setStatementTime(int milliseconds)
{
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        for (std::size_t server = 0; server < ServerCount; ++server) {
            postJson(this->deployment.databasePort(database, server), "/control", {{"statement_ms", milliseconds}});
        }
    }
}

json::object Measurement::limitViolations()
{
    json::object result;
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        for (std::size_t server = 0; server < ServerCount; ++server) {
            if (!this->deployment.server(database, server).isRunning()) {
                continue;
            }
            const json::object ledger = getJson(this->deployment.databasePort(database, server), "/ledger?limit=0");
            const std::int64_t slots = core::jsonInteger(ledger, "slot_violations");
            const std::int64_t connections = core::jsonInteger(ledger, "connection_violations");
            if (slots + connections > 0) {
                result[this->deployment.serverName(database, server)]
                    = json::object{{"slots", slots},
                                   {"connections", connections},
                                   {"peak_connections", core::jsonInteger(ledger, "peak_connections")}};
            }
        }
    }
    return result;
}

double Measurement::residentMegabytes(std::size_t daemon)
{
    std::ifstream status("/proc/" + std::to_string(this->deployment.daemon(daemon).processId()) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

}
