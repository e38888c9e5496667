#include "gateway/operationrunner.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;
using pooling::UnitResult;
using pooling::WorkUnit;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Part of the route's statement timeout within which a statement must start. The rest is left for the server to run
/// the statement.
constexpr double StartDeadlinePart = 0.95;
/// Part of the latency objective that a statement waits in the queue of one server while other servers have not been
/// tried.
constexpr double SpillTimeoutPart = 0.1;
/// Part of the latency objective after which an unanswered read is retried on a different server.
constexpr double ReadTimeoutPart = 0.4;
/// Attempts of a read whose answers are lost. The last attempt has the full statement timeout.
constexpr int ReadAttempts = 3;
/// Pause before the next attempt while no server can run the statement.
constexpr std::chrono::milliseconds RetryPause{40};
/// Time for which reads avoid a replica that had not received the required position.
constexpr std::chrono::milliseconds BehindPenalty{200};
/// Time for which reads avoid a server that did not answer in time.
constexpr std::chrono::milliseconds LostAnswerPenalty{50};
/// Time for which a server whose queue was full is tried after the others.
constexpr std::chrono::milliseconds BusyPenalty{50};
constexpr std::chrono::milliseconds LostConnectionPenalty{500};
/// Part of a route's maximum age reserved for the transit of the read to the server, during which the proof ages.
constexpr std::chrono::milliseconds ProofMargin{100};
/// A daemon asks the primary itself when the newest proof has this much left of the accepted age. Until then it waits
/// for the proofs that other daemons took, which come with the digests.
constexpr std::chrono::milliseconds ProofRenewalReserve{400};
/// Proofs of a service are renewed for this long after its last read.
constexpr std::chrono::seconds ProofUseWindow{3};
constexpr std::chrono::milliseconds ProofTimeout{500};
/// Round trips to a server of the own data centre, of the own region and of another region.
constexpr std::array TravelTimes{core::Milliseconds(0), core::Milliseconds(1), core::Milliseconds(40)};
/// A server whose share of the reads falls below this is logged, and again when it is back.
constexpr double RelievedShare = 0.5;
constexpr unsigned FullPercent = 100;

std::chrono::milliseconds milliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

core::Duration partOf(core::Milliseconds whole, double part)
{
    return std::chrono::duration_cast<core::Duration>(whole * part);
}

bool isActive(const std::map<std::string, core::TimePoint, std::less<>> &times,
              const std::string &server,
              core::TimePoint now)
{
    const auto found = times.find(server);
    return found != times.end() && now < found->second;
}

/// True if the result shows that no server ran the unit.
bool isKnownNotRun(const UnitResult &result)
{
    return result.outcome == UnitOutcome::NotRun && result.error != UnitError::NoAnswer
        && result.error != UnitError::ConnectionLost;
}

bool isFinal(const UnitResult &result, bool writes)
{
    switch (result.outcome) {
    case UnitOutcome::Done:
    case UnitOutcome::Unknown:
        return true;
    case UnitOutcome::ServerError:
        return writes || result.error != UnitError::Failed;
    case UnitOutcome::NotRun:
        return false;
    }
    return true;
}

}

OperationRunner::OperationRunner(net::Executor executor, WorkRouter &router, OperationRunnerOptions options)
    : executor(std::move(executor))
    , router(router)
    , options(std::move(options))
    , random(this->options.seed)
{
}

void OperationRunner::setView(std::shared_ptr<const GatewayView> newView)
{
    this->view = std::move(newView);
}

int OperationRunner::distance(const BackendServer &server) const
{
    const auto self = this->view->daemons.find(this->view->self);
    if (self == this->view->daemons.end() || self->second.dataCentre == server.dataCentre) {
        return 0;
    }
    return this->view->regionOf(self->second.dataCentre) == this->view->regionOf(server.dataCentre) ? 1 : 2;
}

void OperationRunner::penalise(const std::string &server, core::Duration time)
{
    this->penalisedUntil[server] = core::Clock::now() + time;
}

bool OperationRunner::mayRunAt(const BackendServer &server, const OperationContext &context) const
{
    return routing::mayRunStatements(this->view->evacuationOf(server))
        && context.regions.allows(this->view->regionOf(server.dataCentre));
}

std::optional<UnitResult> OperationRunner::refusal(const OperationContext &context, bool readOnly) const
{
    if (context.regions.isEverywhere() && this->view->evacuations.empty()) {
        return std::nullopt;
    }
    const bool needsPrimary = !readOnly || context.route.kind == RouteKind::Primary;
    switch (routing::servingVerdict(this->view->placesOf(context.route.service), context.regions, needsPrimary)) {
    case routing::ServingVerdict::Possible:
        return std::nullopt;
    case routing::ServingVerdict::NotAllowed:
        return UnitResult{.outcome = UnitOutcome::NotRun,
                          .error = UnitError::NoAllowedServer,
                          .errorText = "no server is in an allowed region"};
    case routing::ServingVerdict::Evacuated:
        return UnitResult{.outcome = UnitOutcome::NotRun,
                          .error = UnitError::Evacuated,
                          .errorText = "all servers are in data centres that are being evacuated"};
    }
    return std::nullopt;
}

std::vector<const BackendServer *> OperationRunner::readOrder(const OperationContext &context) const
{
    const Route &route = context.route;
    const BackendServer *const primary = this->view->primary(route.service);
    std::vector<std::pair<int, const BackendServer *>> ranked;
    const limits::ColdBound bound = this->view->coldBoundOf(route.service);
    const bool limitsCold = bound.ratePerSecond > 0 && bound.excess > 0;
    const core::TimePoint now = core::Clock::now();
    for (const auto &[id, server] : this->view->servers) {
        const routing::EvacuationStage stage = this->view->evacuationOf(server);
        if (server.service != route.service || (server.isLeaving && &server != primary)
            || !this->mayRunAt(server, context)) {
            continue;
        }
        // The primary is tried after the replicas of its own region, but before replicas across the narrow link between
        // regions.
        constexpr int RankSteps = 2;
        constexpr int PrimaryStep = 3;
        constexpr int EvacuationStep = 100; // After all other servers.
        constexpr int ColdStep = 50; // After all warm servers.
        const int rank = this->distance(server) * RankSteps + (&server == primary ? PrimaryStep : 0)
            + (stage == routing::EvacuationStage::None ? 0 : EvacuationStep)
            + (limitsCold && now < server.coldUntil ? ColdStep : 0);
        ranked.emplace_back(rank, &server);
    }
    std::ranges::stable_sort(ranked, {}, &std::pair<int, const BackendServer *>::first);
    std::vector<const BackendServer *> order;
    for (const auto &[rank, server] : ranked) {
        order.push_back(server);
    }
    return order;
}

std::vector<OperationRunner::Target>
OperationRunner::findTargets(const OperationContext &context, bool readOnly, core::TimePoint now)
{
    if (readOnly && context.route.kind != RouteKind::Primary) {
        return this->findReadTargets(context, now);
    }
    const BackendServer *const primary = this->view->primary(context.route.service);
    if (primary == nullptr || !this->mayRunAt(*primary, context)) {
        return {};
    }
    return {{.server = primary, .atPrimary = true}};
}

std::vector<OperationRunner::Target> OperationRunner::findReadTargets(const OperationContext &context,
                                                                      core::TimePoint now)
{
    const Route &route = context.route;
    const BackendServer *const primary = this->view->primary(route.service);
    ServiceState &state = this->services[route.service];
    state.readUntil = now + ProofUseWindow;
    state.proofAge = route.maximumAge - ProofMargin;
    state.workspace = context.workspace;
    const std::optional<session::LogPosition> proven
        = state.proofs.earliestPositionWithin(route.maximumAge - ProofMargin, core::BootClock::now());
    std::vector<Target> found;
    for (const BackendServer *const server : this->readOrder(context)) {
        const bool atPrimary = server == primary;
        if (!atPrimary && !proven) {
            continue;
        }
        const session::LogPosition minimum
            = proven ? session::laterOf(*proven, context.sessionPosition) : session::LogPosition();
        found.push_back({.server = server, .atPrimary = atPrimary, .minimum = minimum});
    }
    this->placeByLoad(found, now);
    return found;
}

void OperationRunner::placeByLoad(std::vector<Target> &targets, core::TimePoint now)
{
    if (targets.size() < 2) {
        return;
    }
    std::vector<routing::PlacementCandidate> candidates;
    for (const Target &target : targets) {
        candidates.push_back({.server = target.server->id,
                              .travel = TravelTimes.at(static_cast<std::size_t>(this->distance(*target.server)))});
    }
    const auto chosen = static_cast<std::ptrdiff_t>(this->placement.choose(candidates, this->random, now));
    if (chosen > 0) {
        std::rotate(targets.begin(), targets.begin() + chosen, targets.begin() + chosen + 1);
        if (this->options.metrics != nullptr) {
            this->options.metrics->movedReads().add();
        }
    }
}

void OperationRunner::recordServerLoads(const routing::ServerLoads &loads, core::TimePoint now)
{
    std::map<std::string_view, routing::ReadPlacement::Group> groups;
    for (const auto &[id, server] : this->view->servers) {
        if (!server.isLeaving) {
            groups[server.service].push_back(id);
        }
    }
    std::vector<routing::ReadPlacement::Group> list;
    for (auto &[service, group] : groups) {
        list.push_back(std::move(group));
    }
    this->placement.update(loads, list, now);
    this->logPlacement(now);
}

void OperationRunner::logPlacement(core::TimePoint now)
{
    for (const auto &[id, server] : this->view->servers) {
        const double share = this->placement.share(id, now);
        const bool isRelieved = share < RelievedShare;
        if (isRelieved == this->relieved.contains(id)) {
            continue;
        }
        if (isRelieved) {
            this->relieved.insert(id);
        } else {
            this->relieved.erase(id);
        }
        const routing::ServerLoad *const load = this->placement.load(id, now);
        if (this->options.log != nullptr) {
            this->options.log->line("read_share")
                .field("server", id)
                .field("service", server.service)
                .field("share", share)
                .field("pressure", load == nullptr ? 0 : load->pressure)
                .field("failing", load == nullptr ? 0 : load->failing)
                .field("slowness", load == nullptr ? FullPercent : load->slowness)
                .field("delay_ms", load == nullptr ? 0 : load->delay.count());
        }
    }
}

std::vector<SearchCandidate> OperationRunner::candidatesOf(const std::vector<Target> &targets,
                                                           core::TimePoint now) const
{
    std::vector<SearchCandidate> candidates;
    for (const Target &target : targets) {
        candidates.push_back({.server = target.server->id,
                              .isPrimary = target.atPrimary,
                              .isPenalised = isActive(this->penalisedUntil, target.server->id, now),
                              .isBusy = isActive(this->busyUntil, target.server->id, now)});
    }
    return candidates;
}

WorkUnit OperationRunner::unitFor(const WorkUnit &unit,
                                  const OperationContext &context,
                                  const Target &target,
                                  bool readOnly) const
{
    WorkUnit next = unit;
    next.server = target.server->id;
    next.workspace = context.workspace;
    next.values = *context.values;
    next.minimumPosition = target.minimum;
    next.urgency = urgencyOf(context.route);
    next.rank = this->view->rankOf(context.route);
    next.statementTimeout = context.route.statementTimeout;
    next.transactionIdleTimeout = context.transactionIdleTimeout;
    if (unit.kind == UnitKind::OpenTransaction) {
        next.kind = readOnly && !target.atPrimary ? UnitKind::OpenReadOnly : UnitKind::OpenTransaction;
    } else if (readOnly) {
        next.kind = target.atPrimary ? UnitKind::PrimaryRead : UnitKind::ReplicaRead;
    }
    return next;
}

net::awaitable<void> OperationRunner::sleepFor(core::Duration time) const
{
    asio::steady_timer timer(this->executor, time);
    co_await timer.async_wait(UseTuple);
}

net::awaitable<StatementOutcome> OperationRunner::run(OperationContext context, WorkUnit unit, bool readOnly)
{
    const Route &route = context.route;
    const core::Duration spillTimeout = partOf(route.latencyObjective, SpillTimeoutPart);
    const core::Milliseconds readTimeout = milliseconds(partOf(route.latencyObjective, ReadTimeoutPart));
    ServerSearch search({.deadline = context.startedAt + partOf(route.statementTimeout, StartDeadlinePart),
                         .spillTimeout = spillTimeout});
    int lostReads = 0;
    StatementOutcome outcome;
    outcome.result = {.outcome = UnitOutcome::NotRun,
                      .error = UnitError::QueueFull,
                      .errorText = "no server could run the statement in time"};
    for (int attempt = 1;; ++attempt) {
        if (std::optional<UnitResult> refused = this->refusal(context, readOnly)) {
            // Nothing else can run the statement, so that the caller does not wait for its deadline.
            outcome.result = std::move(*refused);
            break;
        }
        const core::TimePoint now = core::Clock::now();
        const std::vector<Target> found = this->findTargets(context, readOnly, now);
        const SearchStep step = search.next(this->candidatesOf(found, now), now);
        if (step.kind == SearchStep::Kind::Refuse) {
            break;
        }
        if (step.kind == SearchStep::Kind::Wait) {
            co_await this->sleepFor(RetryPause);
            continue;
        }
        WorkUnit next = this->unitFor(unit, context, found[step.candidate], readOnly);
        next.queueTimeout = milliseconds(step.queueTimeout);
        if (readOnly && lostReads + 1 < ReadAttempts) {
            next.statementTimeout = std::min(next.statementTimeout, readTimeout);
        }
        const std::string server = next.server;
        outcome.result = co_await this->router.run(std::move(next), outcome.place, context.regions);
        outcome.mayHaveRun = outcome.mayHaveRun || !isKnownNotRun(outcome.result);
        this->recordProof(route.service, outcome.result);
        this->logAttempt(context, unit, outcome.place, outcome.result, attempt);
        if (isFinal(outcome.result, !readOnly)) {
            break;
        }
        core::Duration pauseTime = core::Duration::zero();
        switch (outcome.result.error) {
        case UnitError::Behind:
            this->penalise(server, BehindPenalty);
            break;
        case UnitError::QueueFull:
            this->busyUntil[server] = core::Clock::now() + BusyPenalty;
            search.queueFull(server, step.queueTimeout);
            break;
        case UnitError::NoAnswer:
            // The server runs but its answer was lost. A different server may answer sooner than the caller's own
            // retry.
            this->penalise(server, LostAnswerPenalty);
            if (++lostReads < ReadAttempts) {
                search.extend(core::Clock::now() + readTimeout);
            }
            break;
        case UnitError::ConnectionLost:
            this->penalise(server, LostConnectionPenalty);
            break;
        case UnitError::Evacuated:
            // The server's home knows of the evacuation before this daemon does.
            this->penalise(server, BehindPenalty);
            pauseTime = RetryPause;
            break;
        case UnitError::NotPrimary:
            if (this->options.onNotPrimary) {
                this->options.onNotPrimary(route.service, server);
            }
            pauseTime = RetryPause;
            break;
        case UnitError::Unreachable:
            this->penalise(server, LostConnectionPenalty);
            pauseTime = RetryPause;
            break;
        default:
            pauseTime = RetryPause;
            break;
        }
        if (pauseTime > core::Duration::zero()) {
            co_await this->sleepFor(pauseTime);
        }
    }
    co_return outcome;
}

net::awaitable<StatementOutcome> OperationRunner::continueTransaction(UnitPlace place, WorkUnit unit)
{
    StatementOutcome outcome{.place = place};
    outcome.result = co_await this->router.runAt(std::move(unit), std::move(place));
    co_return outcome;
}

void OperationRunner::recordProof(const std::string &service, const UnitResult &result)
{
    if (result.provenPosition) {
        this->services[service].proofs.record(
            *result.provenPosition,
            core::BootClock::now() - std::chrono::duration_cast<core::BootClock::duration>(result.proofAge));
    }
}

void OperationRunner::recordProof(const std::string &service, session::LogPosition position, core::BootTime takenAt)
{
    this->services[service].proofs.record(position, takenAt);
}

net::awaitable<bool> OperationRunner::prove(std::string service, std::string workspace, core::Milliseconds limit)
{
    const BackendServer *const primary = this->view->primary(service);
    if (primary == nullptr) {
        co_return false;
    }
    WorkUnit unit{.kind = UnitKind::Prove,
                  .server = primary->id,
                  .workspace = std::move(workspace),
                  .queueTimeout = limit,
                  .statementTimeout = limit};
    UnitPlace place;
    const UnitResult result = co_await this->router.run(std::move(unit), place);
    this->recordProof(service, result);
    co_return result.outcome == UnitOutcome::Done;
}

void OperationRunner::tick(core::TimePoint now)
{
    for (auto &[service, state] : this->services) {
        if (state.proving || now >= state.readUntil) {
            continue;
        }
        const std::optional<core::Duration> age = state.proofs.age(core::BootClock::now());
        if (age && *age + ProofRenewalReserve < state.proofAge) {
            continue;
        }
        state.proving = true;
        const auto renew = [this, service = service, workspace = state.workspace]() -> net::awaitable<void> {
            co_await this->prove(service, workspace, ProofTimeout);
            this->services[service].proving = false;
        };
        asio::co_spawn(this->executor, renew, asio::detached);
    }
}

void OperationRunner::logAttempt(const OperationContext &context,
                                 const WorkUnit &unit,
                                 const UnitPlace &place,
                                 const UnitResult &result,
                                 int attempt) const
{
    if (this->options.log == nullptr || (result.outcome == UnitOutcome::Done && attempt == 1)) {
        return;
    }
    this->options.log->line("statement_attempt", telemetry::LogLevel::Info)
        .field("request", unit.id)
        .field("database", context.database)
        .field("workspace", context.workspace)
        .field("attempt", attempt)
        .field("server", place.server)
        .field("home", place.daemon)
        .field("outcome", static_cast<int>(result.outcome))
        .field("error", static_cast<int>(result.error))
        .field("detail", result.errorText)
        .field("elapsed_ms", core::toMilliseconds(core::Clock::now() - context.startedAt));
}

}
