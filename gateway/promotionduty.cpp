#include "gateway/promotionduty.h"

#include "core/error.h"
#include "session/freshnessproofs.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitError;
using pooling::UnitOutcome;
using pooling::UnitResult;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds ProbeInterval{250};
/// Interval after a failed probe; shorter than ProbeInterval, because callers wait for a working primary.
constexpr std::chrono::milliseconds SuspectInterval{60};
/// Delay after which a second proof request is sent if the first is unanswered.
constexpr std::chrono::milliseconds SecondProbeDelay{250};
constexpr std::chrono::milliseconds OrderTimeout{800};
/// Attempts to send an order, all with the same fence, until it is answered.
constexpr int OrderAttempts = 3;
/// A promotion takes effect a few hundred ms after its order. If the server is not the primary after this time, the
/// promotion counts as failed.
constexpr std::chrono::milliseconds PromotionTimeout{3'000};
constexpr std::chrono::milliseconds PromotionPollInterval{80};
constexpr std::chrono::milliseconds ServiceScanInterval{200};
/// Interval between queries of positions. A leaving primary is replaced once a replica has received the position that
/// the primary had one interval before.
constexpr std::chrono::milliseconds CatchUpInterval{100};
/// Timeout for a replica to catch up. A leaving server does not run for much longer than this.
constexpr std::chrono::milliseconds CatchUpTimeout{3'000};
/// Time for which a service must have no known primary before a server is promoted. Until then, a running primary may
/// not have registered yet.
constexpr std::chrono::milliseconds MissingPrimaryTimeout{1'000};

std::string_view reasonName(PromotionDuty::Reason reason)
{
    switch (reason) {
    case PromotionDuty::Reason::NoPrimary:
        return "no primary is known";
    case PromotionDuty::Reason::NoAnswer:
        return "primary does not answer";
    case PromotionDuty::Reason::Leaving:
        return "leaving";
    case PromotionDuty::Reason::Evacuated:
        return "evacuated";
    }
    return {};
}

bool isPlanned(PromotionDuty::Reason reason)
{
    return reason == PromotionDuty::Reason::Leaving || reason == PromotionDuty::Reason::Evacuated;
}

bool showsRunningServer(const UnitResult &result)
{
    switch (result.error) {
    case UnitError::Unreachable:
    case UnitError::ConnectionLost:
    case UnitError::NoAnswer:
    case UnitError::WrongServer:
        return false;
    default:
        return true;
    }
}

}

PromotionDuty::PromotionDuty(net::Executor executor,
                             std::string daemonId,
                             std::shared_ptr<PromotionService> orders,
                             PromotionDutyDependencies dependencies,
                             telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , daemonId(std::move(daemonId))
    , orders(std::move(orders))
    , dependencies(std::move(dependencies))
    , log(log)
{
}

void PromotionDuty::start(core::StorePoint election)
{
    this->active = true;
    this->fences.emplace(election);
    ++this->dutyTerm;
    asio::co_spawn(this->executor, this->watchServices(this->dutyTerm), asio::detached);
}

void PromotionDuty::stop()
{
    this->active = false;
    ++this->dutyTerm;
}

bool PromotionDuty::isCurrent(std::uint64_t term) const
{
    return this->active && term == this->dutyTerm;
}

net::awaitable<void> PromotionDuty::sleepFor(core::Duration time)
{
    asio::steady_timer timer(this->executor, time);
    co_await timer.async_wait(UseTuple);
}

net::awaitable<void> PromotionDuty::watchServices(std::uint64_t term)
{
    const std::shared_ptr<PromotionDuty> self = this->shared_from_this();
    while (this->isCurrent(term)) {
        const std::shared_ptr<const GatewayView> view = this->dependencies.view();
        for (const auto &[id, server] : view->servers) {
            std::uint64_t &watchedIn = this->watched[server.service];
            if (watchedIn != term) {
                watchedIn = term;
                asio::co_spawn(this->executor, this->watchService(server.service, term), asio::detached);
            }
        }
        co_await this->sleepFor(ServiceScanInterval);
    }
}

struct PromotionDuty::Probe
{
    explicit Probe(const net::Executor &executor)
        : changed(executor)
    {
    }

    asio::steady_timer changed; ///< Cancelled when a request ends.
    unsigned open = 0; ///< Requests without a result.
    bool isAnswered = false;
    bool reportsNotPrimary = false; ///< The server reported that it is not the primary.
    std::vector<std::string> failures; ///< Reason of each failed request.
};

net::awaitable<void> PromotionDuty::requestProof(std::shared_ptr<Probe> probe, std::string server)
{
    const UnitResult result = co_await this->dependencies.survey->requestProof(std::move(server));
    --probe->open;
    if (showsRunningServer(result)) {
        probe->isAnswered = true;
        probe->reportsNotPrimary = probe->reportsNotPrimary || result.error == UnitError::NotPrimary;
    } else {
        probe->failures.push_back(result.errorText);
    }
    probe->changed.cancel();
}

net::awaitable<std::shared_ptr<const PromotionDuty::Probe>> PromotionDuty::probe(std::string server)
{
    const auto probe = std::make_shared<Probe>(this->executor);
    const std::shared_ptr<PromotionDuty> self = this->shared_from_this();
    const auto sendQuery
        = [self, probe, server]() -> net::awaitable<void> { co_await self->requestProof(probe, server); };
    probe->changed.expires_after(SecondProbeDelay);
    probe->open = 1;
    asio::co_spawn(this->executor, sendQuery, asio::detached);
    if (probe->open > 0) {
        co_await probe->changed.async_wait(UseTuple);
    }
    if (!probe->isAnswered) {
        if (!probe->failures.empty()) {
            co_await this->sleepFor(SuspectInterval);
        }
        // The second request uses a different connection and does not wait for a first request that hangs.
        probe->changed.expires_at(core::TimePoint::max());
        ++probe->open;
        asio::co_spawn(this->executor, sendQuery, asio::detached);
        while (!probe->isAnswered && probe->open > 0) {
            co_await probe->changed.async_wait(UseTuple);
        }
    }
    co_return probe;
}

net::awaitable<void> PromotionDuty::watchService(std::string service, std::uint64_t term)
{
    const std::shared_ptr<PromotionDuty> self = this->shared_from_this();
    failover::PrimarySuspicion suspicion;
    std::string watchedServer;
    std::optional<core::TimePoint> missingSince;
    co_await this->resumeReplicas(service, term);
    while (this->isCurrent(term)) {
        const std::shared_ptr<const GatewayView> view = this->dependencies.view();
        const BackendServer *const primary = view->primary(service);
        const core::TimePoint now = core::Clock::now();
        if (primary == nullptr) {
            missingSince = missingSince.value_or(now);
            if (now >= *missingSince + MissingPrimaryTimeout && this->dependencies.mayOrder()) {
                Replacement first{.service = service, .reason = Reason::NoPrimary, .dutyTerm = term};
                co_await this->replacePrimary(std::move(first));
                missingSince.reset();
            }
            co_await this->sleepFor(ProbeInterval);
            continue;
        }
        missingSince.reset();
        if (primary->id != watchedServer) {
            watchedServer = primary->id;
            suspicion.reset();
        }
        const std::optional<Reason> planned = this->plannedReason(*primary);
        if (planned && this->dependencies.mayOrder()) {
            Replacement replacement{.service = service, .former = watchedServer, .reason = *planned, .dutyTerm = term};
            co_await this->replacePrimary(std::move(replacement));
            co_await this->sleepFor(ProbeInterval);
            continue;
        }
        const std::shared_ptr<const Probe> probe = co_await this->probe(watchedServer);
        if (probe->reportsNotPrimary) {
            this->dependencies.onNotPrimary(service, watchedServer);
        }
        for (const std::string &reason : probe->failures) {
            suspicion.record(false, core::Clock::now());
            this->log.line("primary_suspected", telemetry::LogLevel::Warning)
                .field("service", service)
                .field("server", watchedServer)
                .field("reason", reason);
        }
        if (probe->isAnswered) {
            suspicion.reset();
        }
        if (suspicion.isDead() && this->isCurrent(term) && this->dependencies.mayOrder()) {
            Replacement urgent{
                .service = service, .former = watchedServer, .reason = Reason::NoAnswer, .dutyTerm = term};
            co_await this->replacePrimary(std::move(urgent));
            suspicion.reset();
        }
        co_await this->sleepFor(probe->isAnswered ? ProbeInterval : SuspectInterval);
    }
}

net::awaitable<void> PromotionDuty::replacePrimary(Replacement replacement)
{
    CandidateSurvey &survey = *this->dependencies.survey;
    Candidates candidates = co_await survey.run(replacement.service, replacement.former);
    const failover::PromotionCandidate *const alreadyPromoted = failover::findPrimary(candidates);
    if (alreadyPromoted != nullptr && this->mayContinue(replacement)) {
        // The server was promoted already, but this daemon has not received the update yet.
        this->log.line("primary_found").field("service", replacement.service).field("server", alreadyPromoted->server);
        this->dependencies.onPromoted(replacement.service, alreadyPromoted->server, this->fences->next());
        co_return;
    }
    if (isPlanned(replacement.reason)) {
        candidates = co_await this->awaitCatchUp(replacement);
    }
    const unsigned synchronous = this->synchronousReplicas(replacement.service);
    if (synchronous > 0) {
        candidates = co_await this->pauseReplicas(replacement, std::move(candidates), synchronous);
    }
    const std::optional<failover::PromotionCandidate> chosen
        = this->mayContinue(replacement) ? this->choose(replacement, candidates) : std::nullopt;
    bool promoted = false;
    if (chosen) {
        promoted = co_await this->promote(replacement, *chosen, candidates.size());
    }
    if (!promoted && synchronous > 0) {
        // While its replicas are paused, the primary cannot acknowledge any commit.
        co_await survey.resume(replacement.service, std::string());
    }
}

std::optional<PromotionDuty::Reason> PromotionDuty::plannedReason(const BackendServer &primary) const
{
    if (primary.isLeaving) {
        return Reason::Leaving;
    }
    const bool isEvacuated = this->dependencies.view()->evacuationOf(primary) != routing::EvacuationStage::None;
    return isEvacuated ? std::optional(Reason::Evacuated) : std::nullopt;
}

bool PromotionDuty::mayContinue(const Replacement &replacement) const
{
    return this->isCurrent(replacement.dutyTerm) && this->dependencies.mayOrder();
}

unsigned PromotionDuty::synchronousReplicas(const std::string &service) const
{
    const std::shared_ptr<const GatewayView> view = this->dependencies.view();
    if (view->configuration == nullptr) {
        return 0;
    }
    const auto found = view->configuration->services.find(service);
    return found == view->configuration->services.end() ? 0 : found->second.synchronousReplicas;
}

net::awaitable<void> PromotionDuty::resumeReplicas(std::string service, std::uint64_t term)
{
    const std::shared_ptr<const GatewayView> view = this->dependencies.view();
    const BackendServer *const primary = view->primary(service);
    if (this->synchronousReplicas(service) == 0 || primary == nullptr) {
        co_return;
    }
    // An order for the current primary changes nothing, but its higher fence makes the platform refuse late orders of
    // the former holder.
    PromotionOrder order{
        .service = service, .server = primary->id, .holder = this->daemonId, .fence = this->fences->next()};
    const PromotionAnswer answer = co_await this->orders->promote(std::move(order), OrderTimeout);
    if (answer == PromotionAnswer::Accepted && this->isCurrent(term)) {
        co_await this->dependencies.survey->resume(service, std::string());
    }
}

net::awaitable<PromotionDuty::Candidates> PromotionDuty::awaitCatchUp(Replacement replacement)
{
    const core::TimePoint deadline = core::Clock::now() + CatchUpTimeout;
    std::optional<session::LogPosition> target;
    while (true) {
        Candidates candidates = co_await this->dependencies.survey->run(replacement.service, std::string());
        std::optional<session::LogPosition> primary; // Position of the leaving primary; nothing if it did not answer.
        std::erase_if(candidates, [&](const failover::PromotionCandidate &candidate) {
            if (candidate.server == replacement.former) {
                primary = candidate.received;
            }
            return candidate.server == replacement.former;
        });
        const failover::PromotionCandidate *const best = failover::choosePromotion(candidates);
        const bool caughtUp = best != nullptr && target && !session::isBefore(best->received, *target);
        const bool isGone = !primary && (replacement.reason != Reason::Evacuated || !target);
        if (caughtUp || isGone || core::Clock::now() >= deadline || !this->mayContinue(replacement)) {
            co_return candidates;
        }
        target = primary ? primary : target;
        co_await this->sleepFor(CatchUpInterval);
    }
}

net::awaitable<PromotionDuty::Candidates>
PromotionDuty::pauseReplicas(Replacement replacement, Candidates known, unsigned synchronous)
{
    std::uint64_t newestTerm = 0;
    for (const failover::PromotionCandidate &candidate : known) {
        newestTerm = std::max(newestTerm, candidate.term);
    }
    Candidates paused
        = co_await this->dependencies.survey->pause(replacement.service, replacement.former, newestTerm + 1);
    const std::shared_ptr<const GatewayView> view = this->dependencies.view();
    const auto replicas = std::ranges::count_if(view->servers, [&](const auto &entry) {
        return entry.second.service == replacement.service && entry.first != replacement.former;
    });
    // Every acknowledged commit is on at least `synchronous` replicas. If fewer than `synchronous` replicas did not
    // answer, each of these commits is on at least one replica that answered.
    if (paused.size() + synchronous <= static_cast<std::size_t>(replicas)) {
        this->log.line("replicas_missing", telemetry::LogLevel::Warning)
            .field("service", replacement.service)
            .field("answered", paused.size())
            .field("replicas", replicas)
            .field("synchronous", synchronous);
        paused.clear();
    }
    co_return paused;
}

std::optional<failover::PromotionCandidate> PromotionDuty::choose(const Replacement &replacement,
                                                                  const Candidates &candidates) const
{
    const bool keepsCommits = this->synchronousReplicas(replacement.service) > 0;
    const failover::PromotionCandidate *const chosen
        = keepsCommits ? failover::mostAdvanced(candidates) : failover::choosePromotion(candidates);
    if (chosen == nullptr || (isPlanned(replacement.reason) && chosen->isLeaving)) {
        this->log.line("promotion_impossible", telemetry::LogLevel::Warning)
            .field("service", replacement.service)
            .field("former", replacement.former)
            .field("reason", reasonName(replacement.reason))
            .field("candidates", candidates.size());
        return std::nullopt;
    }
    return *chosen;
}

net::awaitable<bool>
PromotionDuty::promote(Replacement replacement, failover::PromotionCandidate chosen, std::size_t candidates)
{
    const std::uint64_t fence = this->fences->next();
    this->log.line("promotion_ordered", telemetry::LogLevel::Warning)
        .field("service", replacement.service)
        .field("server", chosen.server)
        .field("former", replacement.former)
        .field("reason", reasonName(replacement.reason))
        .field("received_term", chosen.received.term)
        .field("received_position", chosen.received.position)
        .field("candidates", candidates)
        .field("fence", fence);
    PromotionAnswer answer = PromotionAnswer::Busy;
    for (int attempt = 0; attempt < OrderAttempts && this->mayContinue(replacement); ++attempt) {
        PromotionOrder order{
            .service = replacement.service, .server = chosen.server, .holder = this->daemonId, .fence = fence};
        answer = co_await this->orders->promote(std::move(order), OrderTimeout);
        if (answer == PromotionAnswer::Accepted || answer == PromotionAnswer::Refused) {
            break;
        }
        co_await this->sleepFor(SuspectInterval);
    }
    this->log.line("promotion_answered")
        .field("service", replacement.service)
        .field("server", chosen.server)
        .field("fence", fence)
        .field("answer", static_cast<int>(answer));
    if (answer == PromotionAnswer::Refused) {
        this->dependencies.onFenced();
        co_return false;
    }
    const core::TimePoint deadline = core::Clock::now() + PromotionTimeout;
    while (core::Clock::now() < deadline && this->isCurrent(replacement.dutyTerm)) {
        const UnitResult result = co_await this->dependencies.survey->requestProof(chosen.server);
        if (result.outcome == UnitOutcome::Done) {
            this->dependencies.onPromoted(replacement.service, chosen.server, fence);
            co_return true;
        }
        co_await this->sleepFor(PromotionPollInterval);
    }
    co_return false;
}

}
