#include "tools/faultphase.h"

#include "tools/loadthread.h"

#include <algorithm>
#include <csignal>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::size_t DatabaseCount = 3;
constexpr double ProbesPerSecond = 60;
// Number of probe writes per key. Each probe write appends to the list of its key, so the limit keeps the lists short.
constexpr std::uint64_t ProbesPerKey = 40;
constexpr core::Milliseconds ProbeTimeout{3'000};
constexpr core::Milliseconds DelayBeforeFault{1'500};
constexpr core::Milliseconds FaultDuration{4'500};
constexpr core::Milliseconds DelayAfterFault{2'500};
// Maximum delay of the responses that were in flight when the fault began. Only an acknowledgement after this delay
// shows that the database accepts writes again.
constexpr std::int64_t InFlightUs = 1'000'000;
constexpr core::Milliseconds MaxLoadDuration{90'000};
// Rate of the workload that runs besides the probes, as a fraction of the rate of each workspace.
constexpr double WorkloadShare = 0.15;
constexpr std::size_t ProbeWorkspace = 0;
constexpr std::size_t GreedyWorkspace = 3;
constexpr double GreedyFactor = 3;

std::string probeKey(const std::string &database, std::uint64_t index)
{
    return database + ":probe-" + std::to_string(index / ProbesPerKey);
}

std::string probeValue(const std::string &database, std::uint64_t index)
{
    return database + "/probe/" + std::to_string(index);
}

}

FaultPhase::FaultPhase(MeasureContext &context, bool allFaults)
    : context(context)
    , allFaults(allFaults)
{
}

json::array FaultPhase::run()
{
    static constexpr Fault FaultTable[] = {
        {"killed", 0, &FaultPhase::kill, &FaultPhase::leaveStopped},
        {"paused_and_resumed", 1, &FaultPhase::pause, &FaultPhase::resume},
        {"cut_one_way", 2, &FaultPhase::cutOneWay, &FaultPhase::heal},
        {"cut_both_ways", 1, &FaultPhase::cutBothWays, &FaultPhase::heal},
    };
    LoadThread thread;
    std::vector<RequestStream> streams;
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        streams.push_back(this->probeStream(database));
    }
    RequestStream greedy
        = this->context.stream(GreedyWorkspace, this->context.workspaceSettings[GreedyWorkspace].rate * GreedyFactor);
    greedy.body = [this](std::uint64_t index) { return this->context.readBody(index, "availability"); };
    streams.push_back(std::move(greedy));
    const auto load
        = this->context.createOpenLoopLoad(thread.executor(), std::move(streams), MaxLoadDuration, ProbeTimeout);
    const auto workload = this->context.createWorkload(thread.executor(), "faulted-", WorkloadShare, MaxLoadDuration);
    std::future<void> loadEnd = thread.spawn(load->run());
    std::future<void> workloadEnd = thread.spawn(workload->run());
    for (const Fault &fault : FaultTable) {
        this->inject(fault);
        if (!this->allFaults) {
            break;
        }
    }
    thread.post([load, workload] {
        load->stop();
        workload->stop();
    });
    loadEnd.get();
    workloadEnd.get();
    this->context.histories.push_back(workload->history());
    this->context.recordRateExcess(GreedyWorkspace, load->records(), DatabaseCount);
    this->recordProbes(*load);
    return this->gaps(*load);
}

void FaultPhase::inject(const Fault &fault)
{
    std::this_thread::sleep_for(DelayBeforeFault);
    const int primary = this->context.primaryOf(fault.database);
    if (primary < 0) {
        this->context.addNote(std::string(fault.name) + ": no primary to inject the fault into");
        return;
    }
    const auto server = static_cast<std::size_t>(primary);
    Window window{.fault = &fault, .startUs = this->context.now()};
    (this->*fault.begin)(fault.database, server);
    std::this_thread::sleep_for(FaultDuration);
    (this->*fault.end)(fault.database, server);
    std::this_thread::sleep_for(DelayAfterFault);
    window.endUs = this->context.now();
    this->windows.push_back(window);
}

void FaultPhase::kill(std::size_t database, std::size_t server)
{
    this->context.deployment.server(database, server).sendSignal(SIGKILL);
}

void FaultPhase::pause(std::size_t database, std::size_t server)
{
    this->context.deployment.server(database, server).sendSignal(SIGSTOP);
}

void FaultPhase::resume(std::size_t database, std::size_t server)
{
    this->context.deployment.server(database, server).sendSignal(SIGCONT);
}

void FaultPhase::cutOneWay(std::size_t database, std::size_t server)
{
    this->context.deployment.setServerFault(database, server, {{"cut", "from_target"}});
}

void FaultPhase::cutBothWays(std::size_t database, std::size_t server)
{
    this->context.deployment.setServerFault(database, server, {{"cut", "both"}});
}

void FaultPhase::heal(std::size_t database, std::size_t server)
{
    this->context.deployment.setServerFault(database, server, {{"cut", "none"}});
}

void FaultPhase::leaveStopped(std::size_t, std::size_t)
{
}

RequestStream FaultPhase::probeStream(std::size_t database) const
{
    RequestStream stream = this->context.stream(ProbeWorkspace, ProbesPerSecond);
    const std::string name = this->context.deployment.databaseName(database);
    stream.name = name;
    stream.body = [name](std::uint64_t index) -> json::object {
        const std::string value = probeValue(name, index);
        return {{"database", name},
                {"route", "book"},
                {"request_id", value},
                {"statement", json::object{{"op", "append"}, {"key", probeKey(name, index)}, {"value", value}}}};
    };
    return stream;
}

void FaultPhase::recordProbes(const OpenLoopLoad &load)
{
    std::vector<HistoryEvent> events;
    for (const RequestRecord &record : load.records()) {
        if (record.stream >= DatabaseCount) {
            continue;
        }
        const std::string name = this->context.deployment.databaseName(record.stream);
        HistoryEvent event;
        event.kind = EventKind::Write;
        event.outcome = eventOutcome(record.outcome);
        event.session = "probe-" + name + "-" + std::to_string(record.index);
        event.workspace = this->context.workspaceSettings[ProbeWorkspace].name;
        event.key = probeKey(name, record.index);
        event.value = probeValue(name, record.index);
        event.startUs = record.startUs;
        event.endUs = record.endUs;
        event.term = record.term;
        event.position = record.position;
        event.code = record.code;
        events.push_back(std::move(event));
    }
    this->context.histories.push_back(std::move(events));
}

json::array FaultPhase::gaps(const OpenLoopLoad &load) const
{
    json::array result;
    for (const Window &window : this->windows) {
        std::vector<std::int64_t> acknowledged;
        for (const RequestRecord &record : load.records()) {
            if (record.stream == window.fault->database && record.outcome == core::Outcome::Done) {
                acknowledged.push_back(record.endUs);
            }
        }
        std::sort(acknowledged.begin(), acknowledged.end());
        // Responses in flight still arrive after the start of the fault. The gap is therefore the longest interval
        // between two acknowledgements that overlaps the window, not the time from the start to the next
        // acknowledgement.
        std::int64_t longest = 0;
        for (std::size_t index = 1; index < acknowledged.size(); ++index) {
            const std::int64_t end = acknowledged[index];
            const std::int64_t begin = acknowledged[index - 1];
            if (end > window.startUs && begin < window.endUs) {
                longest = std::max(longest, end - begin);
            }
        }
        const bool resumed = !acknowledged.empty() && acknowledged.back() > window.startUs + InFlightUs;
        json::value gap;
        if (resumed && longest > 0) {
            gap = static_cast<double>(longest) / 1000;
        }
        result.push_back(json::object{{"fault", window.fault->name},
                                      {"database", this->context.deployment.databaseName(window.fault->database)},
                                      {"gap_ms", gap}});
    }
    return result;
}

}
