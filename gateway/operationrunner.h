#pragma once

#include "gateway/callerprotocol.h"
#include "gateway/serversearch.h"
#include "gateway/workrouter.h"
#include "routing/readplacement.h"
#include "session/freshnessproofs.h"

namespace endiveshore::gateway {

/// Session, route and workspace of an operation.
struct OperationContext
{
    std::string database;
    std::string workspace;
    Route route;
    const pooling::SessionValues *values = nullptr;
    session::LogPosition sessionPosition; ///< Latest position of the session's own commits; term 0 if none.
    core::Milliseconds transactionIdleTimeout{};
    routing::AllowedRegions regions; ///< Where the operation may run.
    core::TimePoint startedAt; ///< When the operation's current statement was received.
};

/// Result of a statement, and where its unit of work ran.
struct StatementOutcome
{
    pooling::UnitResult result; ///< Result of the last attempt.
    UnitPlace place;
    bool mayHaveRun = false; ///< A server may have run the statement in any of the attempts.
};

struct OperationRunnerOptions
{
    telemetry::DecisionLog *log = nullptr;
    const telemetry::Metrics *metrics = nullptr;
    /// Called when the server known as the primary of a service reports that it is not.
    std::function<void(std::string service, std::string server)> onNotPrimary = {};
    std::uint64_t seed = 1; ///< Seed of the random choices between servers; differs between daemons.
};

/// Runs the statements of callers: chooses a server that satisfies the route's consistency, and retries statements that
/// did not run. One per traffic thread.
class OperationRunner
{
public:
    OperationRunner(net::Executor executor, WorkRouter &router, OperationRunnerOptions options = {});

    void setView(std::shared_ptr<const GatewayView> view);

    /// Runs a single read or write or, with @p unit of kind OpenTransaction, the first statement of a transaction. @p
    /// readOnly is true for reads and read-only transactions.
    net::awaitable<StatementOutcome> run(OperationContext context, pooling::WorkUnit unit, bool readOnly);

    /// Runs a unit of an open transaction.
    net::awaitable<StatementOutcome> continueTransaction(UnitPlace place, pooling::WorkUnit unit);

    /// Records a proof of the primary of @p service that another daemon took.
    void recordProof(const std::string &service, session::LogPosition position, core::BootTime takenAt);

    /// Places the reads from now on by @p loads, as reported by the homes of the servers.
    void recordServerLoads(const routing::ServerLoads &loads, core::TimePoint now);

    /// Renews the proofs of freshness of services that callers read. To be called about every 100 ms.
    void tick(core::TimePoint now);

private:
    struct ServiceState
    {
        session::FreshnessProofs proofs;
        bool proving = false;
        core::TimePoint readUntil; ///< Proofs are renewed until then.
        core::Duration proofAge{}; ///< Age of a proof that the last reader's route accepts.
        std::string workspace; ///< Workspace of the last reader, for connections opened for proofs.
    };

    /// A server that can run a statement with the route's consistency.
    struct Target
    {
        const BackendServer *server = nullptr;
        bool atPrimary = false;
        session::LogPosition minimum; ///< Position the server must have received; term 0 for none.
    };

    std::vector<Target> findTargets(const OperationContext &context, bool readOnly, core::TimePoint now);
    std::vector<Target> findReadTargets(const OperationContext &context, core::TimePoint now);
    /// Moves the target that a read is placed on by load to the front.
    void placeByLoad(std::vector<Target> &targets, core::TimePoint now);
    void logPlacement(core::TimePoint now);
    std::vector<SearchCandidate> candidatesOf(const std::vector<Target> &targets, core::TimePoint now) const;
    pooling::WorkUnit
    unitFor(const pooling::WorkUnit &unit, const OperationContext &context, const Target &target, bool readOnly) const;
    net::awaitable<void> sleepFor(core::Duration time) const;
    std::vector<const BackendServer *> readOrder(const OperationContext &context) const;
    /// Result of a statement that no server may run; nothing if one may.
    std::optional<pooling::UnitResult> refusal(const OperationContext &context, bool readOnly) const;
    bool mayRunAt(const BackendServer &server, const OperationContext &context) const;
    int distance(const BackendServer &server) const;
    void penalise(const std::string &server, core::Duration time);
    void recordProof(const std::string &service, const pooling::UnitResult &result);
    net::awaitable<bool> prove(std::string service, std::string workspace, core::Milliseconds limit);
    void logAttempt(const OperationContext &context,
                    const pooling::WorkUnit &unit,
                    const UnitPlace &place,
                    const pooling::UnitResult &result,
                    int attempt) const;

    net::Executor executor;
    WorkRouter &router;
    OperationRunnerOptions options;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    std::map<std::string, ServiceState, std::less<>> services;
    routing::ReadPlacement placement;
    std::mt19937_64 random;
    std::set<std::string, std::less<>> relieved; ///< Servers that keep less than half of their reads.
    std::map<std::string, core::TimePoint, std::less<>> penalisedUntil; ///< Servers that reads avoid, by id.
    std::map<std::string, core::TimePoint, std::less<>> busyUntil; ///< Servers with a full queue, by id.
};

}
