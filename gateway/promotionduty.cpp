#include "gateway/promotionduty.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;
using pooling::UnitResult;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds ProbeInterval{250};
/// After a failed probe the next one follows sooner, since callers wait.
constexpr std::chrono::milliseconds SuspectInterval{60};
/// A probe that has no answer after this time is joined by a second one.
constexpr std::chrono::milliseconds ProbeOverlap{250};
constexpr std::chrono::milliseconds OrderTimeout{800};
/// An unanswered order is repeated with the same fence this many times.
constexpr int OrderAttempts = 3;
/// A promotion takes effect some hundred ms after its order; a server that does not lead by then is given up.
constexpr std::chrono::milliseconds PromotionWait{3'000};
constexpr std::chrono::milliseconds PromotionPoll{80};
constexpr std::chrono::milliseconds ServiceScan{200};
/// A service without a primary gets one after this time; before it the primary may still be reporting itself.
constexpr std::chrono::milliseconds MissingPrimaryPatience{1'000};

bool isAnswer(const UnitResult &result)
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
                             PromotionDutySurroundings surroundings,
                             telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , daemonId(std::move(daemonId))
    , orders(std::move(orders))
    , surroundings(std::move(surroundings))
    , log(log)
{
}

void PromotionDuty::start(std::uint64_t electionRevision)
{
    this->active = true;
    this->fences.emplace(electionRevision);
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

net::awaitable<void> PromotionDuty::pause(core::Duration time)
{
    asio::steady_timer timer(this->executor, time);
    co_await timer.async_wait(UseTuple);
}

net::awaitable<void> PromotionDuty::watchServices(std::uint64_t term)
{
    const std::shared_ptr<PromotionDuty> self = this->shared_from_this();
    while (this->isCurrent(term)) {
        const std::shared_ptr<const GatewayView> view = this->surroundings.view();
        for (const auto &[id, server] : view->servers) {
            std::uint64_t &watchedIn = this->watched[server.service];
            if (watchedIn != term) {
                watchedIn = term;
                asio::co_spawn(this->executor, this->watchService(server.service, term), asio::detached);
            }
        }
        co_await this->pause(ServiceScan);
    }
}

struct PromotionDuty::Probe
{
    explicit Probe(const net::Executor &executor)
        : changed(executor)
    {
    }

    asio::steady_timer changed; ///< Cancelled when a question has ended.
    unsigned open = 0; ///< Questions without a result.
    bool isAnswered = false;
    bool isDenied = false; ///< The server does not lead.
    std::vector<std::string> failures; ///< One reason for each question that failed.
};

net::awaitable<void> PromotionDuty::askForProof(std::shared_ptr<Probe> probe, std::string server)
{
    const UnitResult result = co_await this->surroundings.survey->ask(UnitKind::Prove, std::move(server));
    --probe->open;
    if (isAnswer(result)) {
        probe->isAnswered = true;
        probe->isDenied = probe->isDenied || result.error == UnitError::NotPrimary;
    } else {
        probe->failures.push_back(result.errorText);
    }
    probe->changed.cancel();
}

net::awaitable<std::shared_ptr<const PromotionDuty::Probe>> PromotionDuty::probe(std::string server)
{
    const auto probe = std::make_shared<Probe>(this->executor);
    const std::shared_ptr<PromotionDuty> self = this->shared_from_this();
    const auto ask = [self, probe, server]() -> net::awaitable<void> { co_await self->askForProof(probe, server); };
    probe->changed.expires_after(ProbeOverlap);
    probe->open = 1;
    asio::co_spawn(this->executor, ask, asio::detached);
    if (probe->open > 0) {
        co_await probe->changed.async_wait(UseTuple);
    }
    if (!probe->isAnswered) {
        if (!probe->failures.empty()) {
            co_await this->pause(SuspectInterval);
        }
        // The second question takes another connection, and does not wait for the end of a first one that hangs.
        probe->changed.expires_at(core::TimePoint::max());
        ++probe->open;
        asio::co_spawn(this->executor, ask, asio::detached);
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
    while (this->isCurrent(term)) {
        const std::shared_ptr<const GatewayView> view = this->surroundings.view();
        const BackendServer *const primary = view->primary(service);
        const core::TimePoint now = core::Clock::now();
        if (primary == nullptr) {
            missingSince = missingSince.value_or(now);
            if (now >= *missingSince + MissingPrimaryPatience && this->surroundings.mayAct()) {
                co_await this->replacePrimary(service, std::string(), "no primary known", term);
                missingSince.reset();
            }
            co_await this->pause(ProbeInterval);
            continue;
        }
        missingSince.reset();
        if (primary->id != watchedServer) {
            watchedServer = primary->id;
            suspicion.reset();
        }
        if (primary->isLeaving && this->surroundings.mayAct()) {
            co_await this->replacePrimary(service, watchedServer, "leaving", term);
            co_await this->pause(ProbeInterval);
            continue;
        }
        const std::shared_ptr<const Probe> probe = co_await this->probe(watchedServer);
        if (probe->isDenied) {
            this->surroundings.onDenied(service, watchedServer);
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
        if (suspicion.isDead() && this->isCurrent(term) && this->surroundings.mayAct()) {
            co_await this->replacePrimary(service, watchedServer, "no answer", term);
            suspicion.reset();
        }
        co_await this->pause(probe->isAnswered ? ProbeInterval : SuspectInterval);
    }
}

net::awaitable<void>
PromotionDuty::replacePrimary(std::string service, std::string former, std::string reason, std::uint64_t term)
{
    const std::vector<failover::PromotionCandidate> candidates
        = co_await this->surroundings.survey->run(service, former);
    if (!this->isCurrent(term) || !this->surroundings.mayAct()) {
        co_return;
    }
    const failover::PromotionCandidate *const leading = failover::leadingCandidate(candidates);
    if (leading != nullptr) {
        // Somebody else has promoted it; the news has not arrived yet.
        this->log.line("primary_found").field("service", service).field("server", leading->server);
        this->surroundings.onPromoted(service, leading->server, this->fences->next());
        co_return;
    }
    const failover::PromotionCandidate *const chosen = failover::choosePromotion(candidates);
    if (chosen == nullptr || (reason == "leaving" && chosen->isLeaving)) {
        this->log.line("promotion_impossible", telemetry::LogLevel::Warning)
            .field("service", service)
            .field("former", former)
            .field("reason", reason)
            .field("candidates", candidates.size());
        co_return;
    }
    const std::string server = chosen->server;
    const std::uint64_t fence = this->fences->next();
    this->log.line("promotion_ordered", telemetry::LogLevel::Warning)
        .field("service", service)
        .field("server", server)
        .field("former", former)
        .field("reason", reason)
        .field("received_term", chosen->received.term)
        .field("received_position", chosen->received.position)
        .field("candidates", candidates.size())
        .field("fence", fence);
    PromotionAnswer answer = PromotionAnswer::Busy;
    for (int attempt = 0; attempt < OrderAttempts && this->isCurrent(term); ++attempt) {
        PromotionOrder order{.service = service, .server = server, .holder = this->daemonId, .fence = fence};
        answer = co_await this->orders->promote(std::move(order), OrderTimeout);
        if (answer == PromotionAnswer::Accepted || answer == PromotionAnswer::Refused) {
            break;
        }
        co_await this->pause(SuspectInterval);
    }
    this->log.line("promotion_answered")
        .field("service", service)
        .field("server", server)
        .field("fence", fence)
        .field("answer", static_cast<int>(answer));
    if (answer == PromotionAnswer::Refused) {
        this->surroundings.onFenced();
        co_return;
    }
    const core::TimePoint giveUp = core::Clock::now() + PromotionWait;
    while (core::Clock::now() < giveUp && this->isCurrent(term)) {
        const UnitResult result = co_await this->surroundings.survey->ask(UnitKind::Prove, server);
        if (result.outcome == UnitOutcome::Done) {
            this->surroundings.onPromoted(service, server, fence);
            co_return;
        }
        co_await this->pause(PromotionPoll);
    }
}

}
