#pragma once

#include "daemon/fleetview.h"
#include "daemon/homeclient.h"
#include "daemon/retrybudget.h"
#include "daemon/serverobservations.h"
#include "daemon/statementcall.h"
#include "routing/readrouting.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace endiveshore::daemon {

/// An admitted statement: its names are resolved and its workspace is authorized.
struct AdmittedStatement
{
    std::shared_ptr<const document::ServiceDocument> service;
    const document::Database *database = nullptr;
    const document::Route *route = nullptr;
    std::string workspace;
    std::string requestId;
    std::string transaction;
    std::optional<session::LogPosition> required; ///< Position of the session in this database.
    core::TimePoint deadline;
    boost::json::value statement;
};

struct StatementRouterOptions
{
    std::string dataCentre; ///< Data centre of this daemon.
    bool readFromReplicas = true; ///< If false, all reads go to the primary; baseline for measurements.
    std::uint64_t seed = 1;
};

/// Chooses the server for each statement. Until the deadline, retries statements that surely did not run or may be
/// repeated. One per traffic thread.
class StatementRouter
{
public:
    using ViewSource = std::function<std::shared_ptr<const FleetView>()>;

    /// Routing decision for one attempt: the chosen server, the reason, and the servers passed over with their reasons.
    struct Decision
    {
        std::string_view database;
        std::string_view route;
        std::string_view workspace;
        std::string_view chosen;
        std::string_view reason;
        std::vector<std::string> passedOver;
    };
    using DecisionSink = std::function<void(const Decision &decision)>;

    StatementRouter(StatementRouterOptions options, ViewSource viewSource, HomeClient &homes, DecisionSink sink);

    /// Runs @p statement and returns the answer. Throws core::Error; its outcome is NotRun only if no attempt ran the
    /// statement.
    net::awaitable<StatementAnswer> run(AdmittedStatement statement);

    /// Runs a step of a transaction. For Begin, sets the server and the term of @p call to the current primary's.
    net::awaitable<StatementAnswer> transact(TransactionStep step, StatementCall call);

private:
    net::awaitable<StatementAnswer> runAtPrimary(const AdmittedStatement &statement);
    net::awaitable<StatementAnswer> runRead(const AdmittedStatement &statement);
    net::awaitable<StatementAnswer> attempt(const FleetView &view, StatementCall call);
    net::awaitable<void>
    waitForChange(std::string group, std::shared_ptr<const FleetView> before, core::Duration limit);
    routing::ReadPlan planRead(const FleetView &view, const AdmittedStatement &statement, const GroupView &group);
    std::vector<routing::ReadCandidate>
    readCandidates(const FleetView &view, const AdmittedStatement &statement, const GroupView &group);
    StatementCall callFor(const AdmittedStatement &statement) const;

    StatementRouterOptions options;
    ViewSource viewSource;
    HomeClient &homes;
    DecisionSink sink;
    ServerObservations observations;
    std::unordered_map<std::string, RetryBudget> budgets; ///< By service.
    std::mt19937_64 random;
};

/// Key of a server in FleetView: "service/server".
std::string serverKey(std::string_view service, std::string_view server);

}
