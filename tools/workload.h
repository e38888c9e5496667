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

/// Load of one workspace.
struct WorkspaceLoad
{
    std::string name;
    std::string key;
    double requestsPerSecond = 0; ///< Target rate over all sessions of the workspace.
    int sessions = 1;
};

struct WorkloadOptions
{
    std::string service;
    std::vector<std::string> databases;
    std::vector<int> daemonPorts;
    std::vector<WorkspaceLoad> workspaces;
    core::Milliseconds duration{};
    core::Milliseconds timeout{3'000}; ///< Timeout of one request.
    double writeShare = 0.2;
    double transactionShare = 0.02;
    double staleReadShare = 0.4; ///< Share of the reads that use the route with max_age_ms above 0.
    /// Share of requests sent to the first daemon. Each other request goes to a random daemon, which may be the first.
    double firstDaemonShare = 0;
    std::uint64_t seed = 1;
    std::string sessionPrefix = "session-"; ///< Must be unique among the workloads on the same databases.
    /// Maximum number of attempts of a write whose outcome is unknown. Each retry has the same request id and goes to a
    /// randomly chosen daemon.
    int attempts = 1;
};

/// Request counts of one workspace by outcome.
struct WorkspaceTotals
{
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t refusedByRate = 0;
    std::uint64_t refusedOther = 0;
    std::uint64_t unknown = 0;
};

/// Load of sessions that send each request to a randomly chosen daemon. A session sends a request only after the
/// response to the preceding one, so its rate drops below the target rate if responses take longer than its interval.
/// Records every request in a history.
class Workload : public std::enable_shared_from_this<Workload>
{
public:
    Workload(net::Executor executor, WorkloadOptions options);

    /// Sends requests until the duration is over or stop() is called, then waits for the pending responses.
    net::awaitable<void> run();

    /// Stops sending requests before the duration is over.
    void stop();

    const std::vector<HistoryEvent> &history() const;
    const std::vector<WorkspaceTotals> &totals() const;

    /// Keys that the sessions write; the final state is read from them.
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

/// Database of a workload key, which is the part before the first colon.
std::string databaseOfKey(const std::string &key);

}
