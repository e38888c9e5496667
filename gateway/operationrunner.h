#pragma once

#include "gateway/callerprotocol.h"
#include "gateway/serversearch.h"
#include "gateway/workrouter.h"
#include "session/freshnessproofs.h"

namespace endiveshore::gateway {

/// What an operation needs to know of its session.
struct OperationContext
{
    std::string database;
    std::string workspace;
    Route route;
    const pooling::SessionValues *values = nullptr;
    session::LogPosition sessionPosition; ///< Of the session's own commits; term 0 without any.
    core::Milliseconds transactionIdleTimeout{};
    core::TimePoint startedAt; ///< When the operation's current statement was received.
};

/// Answer of a server to a statement, or why there is none.
struct StatementOutcome
{
    pooling::UnitResult result;
    UnitPlace place; ///< Where the unit ran.
};

/// Runs statements of callers: chooses the servers, keeps the route's promise of consistency, and tries again where
/// nothing has run. One per traffic thread.
class OperationRunner
{
public:
    /// Called when the server taken for the primary of a service says that it does not lead.
    using NotPrimaryHandler = std::function<void(std::string service, std::string server)>;

    OperationRunner(net::Executor executor,
                    WorkRouter &router,
                    telemetry::DecisionLog *log,
                    NotPrimaryHandler onNotPrimary = {});

    void setView(std::shared_ptr<const GatewayView> view);

    /// Runs a single read or write, or with @p unit of kind OpenTransaction the first statement of a transaction.
    /// @p readOnly tells whether the caller promised only to read.
    net::awaitable<StatementOutcome> run(OperationContext context, pooling::WorkUnit unit, bool readOnly);

    /// Runs a unit of an open transaction.
    net::awaitable<StatementOutcome> continueTransaction(UnitPlace place, pooling::WorkUnit unit);

    /// To be called every 100 ms or so: keeps a proof of freshness at hand for services that callers read.
    void tick(core::TimePoint now);

private:
    struct ServiceState
    {
        session::FreshnessProofs proofs;
        bool proving = false;
        core::TimePoint readUntil; ///< Proofs are kept fresh until then.
        core::Duration proofAge{}; ///< Age that the routes in use accept.
        std::string workspace; ///< Of the last reader; a proof may need a new connection.
    };

    /// A server that may run a statement under the route's promise.
    struct Target
    {
        const BackendServer *server = nullptr;
        bool atPrimary = false;
        session::LogPosition minimum;
    };

    std::vector<Target> findTargets(const OperationContext &context, bool readOnly, core::TimePoint now);
    std::vector<Target> findReadTargets(const OperationContext &context, core::TimePoint now);
    std::vector<SearchCandidate> candidatesOf(const std::vector<Target> &targets, core::TimePoint now) const;
    pooling::WorkUnit
    unitFor(const pooling::WorkUnit &unit, const OperationContext &context, const Target &target, bool readOnly) const;
    net::awaitable<void> pause(core::Duration time) const;
    std::vector<const BackendServer *> readOrder(const Route &route) const;
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
    telemetry::DecisionLog *log;
    NotPrimaryHandler onNotPrimary;
    std::shared_ptr<const GatewayView> view = std::make_shared<GatewayView>();
    std::map<std::string, ServiceState, std::less<>> services;
    std::map<std::string, core::TimePoint, std::less<>> penalisedUntil; ///< By server.
    std::map<std::string, core::TimePoint, std::less<>> busyUntil; ///< By server.
};

}
