#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "tools/callerclient.h"
#include "tools/history.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Requests of one workspace.
struct WorkspaceLoad
{
    std::string name;
    std::string key;
    double requestsPerSecond = 0; ///< Offered, over all sessions of the workspace.
    int sessions = 1;
};

struct WorkloadOptions
{
    std::string service;
    std::vector<std::string> databases;
    std::vector<int> daemonPorts;
    std::vector<WorkspaceLoad> workspaces;
    core::Milliseconds duration{};
    core::Milliseconds timeout{3'000}; ///< Of one request.
    double writeShare = 0.2;
    double transactionShare = 0.02;
    double staleReadShare = 0.4; ///< Of the reads: those on the route with an accepted age.
    double firstDaemonShare = 0; ///< Share of requests sent to the first daemon; the rest is spread evenly.
    std::uint64_t seed = 1;
    std::string sessionPrefix = "session-"; ///< Two workloads on the same databases need different ones.
    int attempts = 1; ///< Attempts of a write with an unknown outcome, with the same request id, at other daemons.
};

/// Totals of one workspace.
struct WorkspaceTotals
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t refusedByRate = 0;
    std::uint64_t refusedOther = 0;
    std::uint64_t unknown = 0;
};

/// Open-loop load of sessions that roam between daemons. Records every request in a history.
class Workload : public std::enable_shared_from_this<Workload>
{
public:
    Workload(net::Executor executor, WorkloadOptions options);

    /// Runs until the duration is over and all requests have ended.
    net::awaitable<void> run();

    /// Ends the load early; run() returns once the pending requests have ended.
    void stop();

    const std::vector<HistoryEvent> &history() const;
    const std::vector<WorkspaceTotals> &totals() const;

    /// Keys written, for reading the final state.
    std::vector<std::string> keys() const;

    std::uint64_t replicaReads() const;
    std::uint64_t primaryReads() const;

private:
    struct Session;

    net::awaitable<void> runSession(std::shared_ptr<Session> session);
    net::awaitable<void> runRequest(Session &session);
    net::awaitable<void> write(Session &session);
    net::awaitable<void> transaction(Session &session);
    net::awaitable<void> read(Session &session);
    int choosePort(Session &session);
    HistoryEvent newEvent(const Session &session, EventKind kind) const;
    void finish(Session &session, HistoryEvent event, const CallerAnswer &answer);
    std::int64_t sinceStart() const;

    net::Executor executor;
    WorkloadOptions options;
    std::vector<HistoryEvent> events;
    std::vector<WorkspaceTotals> workspaceTotals;
    std::vector<std::shared_ptr<Session>> sessions;
    core::TimePoint start;
    std::uint64_t readsOfReplicas = 0;
    std::uint64_t readsOfPrimaries = 0;
    bool stopped = false;
};

/// Database in front of the first colon of a workload key.
std::string databaseOfKey(const std::string &key);

}
