#include "daemon/statementrouter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

// Maximum age of replica data for reads on routes that state no accepted age.
constexpr core::Milliseconds DefaultMaxAge{10'000};
// A read that follows a write of its session waits at most this long for a local replica to catch up, before the read
// goes to a server in another data centre.
constexpr core::Milliseconds CatchUpWait{10};
constexpr core::Milliseconds ViewPollInterval{5};
constexpr core::Milliseconds FirstRetryDelay{25};
constexpr core::Milliseconds LongestRetryDelay{400};

bool isRetryable(const core::Error &error)
{
    switch (error.code) {
    case core::ResultCode::NoPrimary:
    case core::ResultCode::NoServer:
    case core::ResultCode::BackendUnreachable:
    case core::ResultCode::TermChanged:
    case core::ResultCode::NotHome:
    case core::ResultCode::PeerUnreachable:
    case core::ResultCode::Leaving:
    case core::ResultCode::AnswerLost:
    case core::ResultCode::ReplicationUnconfirmed:
        return true;
    default:
        return false;
    }
}

std::string regionName(const document::ServiceDocument &service, std::string_view dataCentre)
{
    const document::Region *region = service.regionOf(dataCentre);
    return region == nullptr ? std::string() : region->name;
}

core::Duration maxAgeOf(const document::Route &route)
{
    return route.maxAge.value_or(DefaultMaxAge);
}

/// RAII guard that counts an active statement of a server.
class ActiveStatement
{
public:
    explicit ActiveStatement(ServerObservation &observation)
        : observation(observation)
    {
        ++this->observation.active;
    }
    ~ActiveStatement()
    {
        --this->observation.active;
    }
    ActiveStatement(const ActiveStatement &) = delete;
    ActiveStatement &operator=(const ActiveStatement &) = delete;

private:
    ServerObservation &observation;
};

}

std::string serverKey(std::string_view service, std::string_view server)
{
    return groupKey(service, server);
}

StatementRouter::StatementRouter(StatementRouterOptions options,
                                 ViewSource viewSource,
                                 HomeClient &homes,
                                 DecisionSink sink)
    : options(std::move(options))
    , viewSource(std::move(viewSource))
    , homes(homes)
    , sink(std::move(sink))
    , random(this->options.seed)
{
}

net::awaitable<StatementAnswer> StatementRouter::run(AdmittedStatement statement)
{
    this->budgets[statement.service->service].recordAttempt();
    const bool read = statement.route->kind == document::RouteKind::Read && statement.transaction.empty();
    const bool primaryOnly = statement.route->maxAge && statement.route->maxAge->count() == 0;
    if (read && !primaryOnly && this->options.readFromReplicas) {
        co_return co_await this->runRead(statement);
    }
    co_return co_await this->runAtPrimary(statement);
}

net::awaitable<StatementAnswer> StatementRouter::runAtPrimary(const AdmittedStatement &statement)
{
    const std::string group = groupKey(statement.service->service, statement.database->name);
    const bool read = statement.route->kind == document::RouteKind::Read;
    const bool mayRepeat = read || (statement.route->repeatable && statement.transaction.empty());
    core::Duration delay = FirstRetryDelay;
    bool outcomeUnknown = false;
    for (;;) {
        const std::shared_ptr<const FleetView> view = this->viewSource();
        core::Error error(core::ResultCode::NoPrimary, "no primary of " + group + " is known");
        const auto groupView = view->groups.find(group);
        if (groupView != view->groups.end() && !groupView->second.primaryServer.empty()) {
            StatementCall call = this->callFor(statement);
            call.server = serverKey(statement.service->service, groupView->second.primaryServer);
            call.term = groupView->second.term;
            call.readOnly = read;
            if (read && statement.required) {
                call.required = *statement.required;
            }
            this->sink({.database = statement.database->name,
                        .route = statement.route->name,
                        .workspace = statement.workspace,
                        .chosen = call.server,
                        .reason = read ? "primary_read" : "write",
                        .passedOver = {}});
            try {
                co_return co_await this->attempt(*view, std::move(call));
            } catch (const core::Error &caught) {
                error = caught;
            }
        }
        // A statement whose outcome is unknown is retried only if it is a read or its route is marked as repeatable.
        const bool unknown = error.outcome != core::Outcome::NotRun;
        outcomeUnknown = outcomeUnknown || (unknown && !read);
        const bool timeLeft = core::Clock::now() + delay < statement.deadline;
        const bool inTransaction = !statement.transaction.empty();
        if (!isRetryable(error) || (unknown && !mayRepeat) || inTransaction || !timeLeft) {
            if (outcomeUnknown && error.outcome == core::Outcome::NotRun) {
                // An earlier attempt may have run the statement, so the request must not be reported as not run.
                error.outcome = core::Outcome::Unknown;
            }
            throw error;
        }
        co_await this->waitForChange(group, view, delay);
        delay = std::min<core::Duration>(delay * 2, LongestRetryDelay);
        if (this->viewSource() == view && !this->budgets[statement.service->service].takeRetry()) {
            co_await this->waitForChange(group, view, LongestRetryDelay);
        }
    }
}

net::awaitable<StatementAnswer> StatementRouter::runRead(const AdmittedStatement &statement)
{
    const std::string group = groupKey(statement.service->service, statement.database->name);
    const core::Duration maxAge = maxAgeOf(*statement.route);
    core::Duration delay = FirstRetryDelay;
    for (;;) {
        const std::shared_ptr<const FleetView> view = this->viewSource();
        const auto found = view->groups.find(group);
        const GroupView groupView = found == view->groups.end() ? GroupView() : found->second;
        const routing::ReadPlan plan = this->planRead(*view, statement, groupView);
        std::vector<std::string> passedOver;
        for (const routing::PassedOver &item : plan.passedOver) {
            passedOver.push_back(item.serverId + ":" + std::string(routing::passOverReasonName(item.reason)));
        }
        core::Error error(core::ResultCode::NoServer, "no server of " + group + " is available for the read");
        // Only the primary's log shows whether the session's position is lost for good.
        bool diverged = false;
        for (const std::string &server : plan.servers) {
            const bool primary = server == groupView.primaryServer;
            StatementCall call = this->callFor(statement);
            call.server = serverKey(statement.service->service, server);
            call.readOnly = true;
            call.staleRead = statement.route->maxAge.has_value();
            if (statement.required) {
                call.required = *statement.required;
            }
            if (primary) {
                call.term = groupView.term;
            }
            this->sink({.database = statement.database->name,
                        .route = statement.route->name,
                        .workspace = statement.workspace,
                        .chosen = call.server,
                        .reason = primary ? "primary_read" : "replica_read",
                        .passedOver = passedOver});
            try {
                StatementAnswer answer = co_await this->attempt(*view, std::move(call));
                const bool tooOld = !primary && core::Milliseconds(answer.lagMilliseconds) > maxAge;
                if (!tooOld) {
                    co_return answer;
                }
                passedOver.push_back(server + ":lag");
                error = core::Error(core::ResultCode::NoServer,
                                    "server " + server + " lags behind by more than the accepted age");
            } catch (const core::Error &caught) {
                passedOver.push_back(server + ":" + std::string(core::resultCodeInfo(caught.code).name));
                error = caught;
            }
            diverged = diverged || (primary && error.code == core::ResultCode::SessionAhead);
            if (error.code == core::ResultCode::BadStatement || core::Clock::now() >= statement.deadline) {
                throw error;
            }
        }
        if (diverged) {
            throw core::Error(core::ResultCode::SessionAhead,
                              "the session's position no longer exists in the log of the database");
        }
        if (core::Clock::now() + delay >= statement.deadline) {
            error.outcome = core::Outcome::NotRun;
            throw error;
        }
        co_await this->waitForChange(group, view, delay);
        delay = std::min<core::Duration>(delay * 2, LongestRetryDelay);
    }
}

net::awaitable<StatementAnswer> StatementRouter::transact(TransactionStep step, StatementCall call)
{
    const std::string group = groupKey(call.service, call.database);
    for (;;) {
        const std::shared_ptr<const FleetView> view = this->viewSource();
        if (step == TransactionStep::Begin) {
            const auto found = view->groups.find(group);
            if (found != view->groups.end()) {
                call.server = serverKey(call.service, found->second.primaryServer);
                call.term = found->second.term;
            }
        }
        try {
            StatementCall copy = call;
            co_return co_await this->homes.transact(*view, step, std::move(copy));
        } catch (const core::Error &error) {
            const bool retry = step == TransactionStep::Begin && isRetryable(error)
                && core::Clock::now() + LongestRetryDelay < call.deadline;
            if (!retry) {
                throw;
            }
        }
        co_await this->waitForChange(group, view, LongestRetryDelay);
    }
}

net::awaitable<StatementAnswer> StatementRouter::attempt(const FleetView &view, StatementCall call)
{
    const std::string server = call.server;
    ServerObservation &observation = this->observations[server];
    const ActiveStatement active(observation);
    try {
        StatementAnswer answer = co_await this->homes.execute(view, std::move(call));
        observation.observedAt = core::Clock::now();
        observation.applied = answer.position.position;
        observation.lag = core::Milliseconds(answer.lagMilliseconds);
        observation.termStarts = answer.termStarts;
        observation.failedAt = {};
        observation.failures = 0;
        co_return answer;
    } catch (const core::Error &error) {
        if (isRetryable(error)) {
            recordFailure(observation, core::Clock::now());
        }
        throw;
    }
}

net::awaitable<void>
StatementRouter::waitForChange(std::string group, std::shared_ptr<const FleetView> before, core::Duration limit)
{
    const core::TimePoint end = core::Clock::now() + limit;
    const auto groupBefore = before->groups.find(group);
    const std::uint64_t termBefore = groupBefore == before->groups.end() ? 0 : groupBefore->second.term;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (core::Clock::now() < end) {
        const std::shared_ptr<const FleetView> view = this->viewSource();
        const auto found = view->groups.find(group);
        if (view != before && found != view->groups.end() && found->second.term != termBefore) {
            co_return;
        }
        timer.expires_after(ViewPollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

routing::ReadPlan
StatementRouter::planRead(const FleetView &view, const AdmittedStatement &statement, const GroupView &group)
{
    const std::vector<routing::ReadCandidate> candidates = this->readCandidates(view, statement, group);
    const std::string region = regionName(*statement.service, this->options.dataCentre);
    routing::ReadRequest request;
    request.dataCentre = this->options.dataCentre;
    request.region = region;
    request.required = statement.required;
    request.maxAge = maxAgeOf(*statement.route);
    request.catchUpWait = CatchUpWait;
    request.tieBreaker = this->random();
    return routing::chooseReadServers(request, candidates);
}

std::vector<routing::ReadCandidate>
StatementRouter::readCandidates(const FleetView &view, const AdmittedStatement &statement, const GroupView &group)
{
    const core::TimePoint now = core::Clock::now();
    std::vector<routing::ReadCandidate> candidates;
    for (const document::BackendServer &server : statement.database->servers) {
        const std::string key = serverKey(statement.service->service, server.id);
        routing::ReadCandidate candidate;
        candidate.serverId = server.id;
        candidate.dataCentre = server.dataCentre;
        candidate.region = regionName(*statement.service, server.dataCentre);
        candidate.isPrimary = server.id == group.primaryServer;
        candidate.term = group.term;
        const auto serverView = view.servers.find(key);
        candidate.leaving = serverView != view.servers.end() && serverView->second.leaving;
        const auto observed = this->observations.find(key);
        if (observed != this->observations.end()) {
            const ServerObservation &observation = observed->second;
            candidate.reachable = mayRead(observation, now);
            candidate.appliedPosition = observation.applied;
            candidate.termStarts = observation.termStarts;
            candidate.lag = observation.lag;
            candidate.load = static_cast<std::uint32_t>(observation.active);
            if (observation.observedAt != core::TimePoint()) {
                candidate.statusAge = now - observation.observedAt;
            }
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

StatementCall StatementRouter::callFor(const AdmittedStatement &statement) const
{
    StatementCall call;
    call.service = statement.service->service;
    call.database = statement.database->name;
    call.workspace = statement.workspace;
    call.requestId = statement.requestId;
    call.transaction = statement.transaction;
    call.deadline = statement.deadline;
    call.statement = statement.statement;
    return call;
}

}
