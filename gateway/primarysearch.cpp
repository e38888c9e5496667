#include "gateway/primarysearch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Interval between two rounds of queries while no server is the primary.
constexpr std::chrono::milliseconds RoundInterval{300};
/// A promotion takes effect within about one second. A search that found no primary ends after these rounds; the next
/// report of a server that is not the primary starts a new search.
constexpr int Rounds = 10;

}

PrimarySearch::PrimarySearch(net::Executor executor,
                             std::shared_ptr<CandidateSurvey> survey,
                             PrimarySearchCallbacks callbacks,
                             telemetry::DecisionLog &log)
    : executor(std::move(executor))
    , survey(std::move(survey))
    , callbacks(std::move(callbacks))
    , log(log)
{
}

bool PrimarySearch::isCurrentPrimary(const std::string &service, const std::string &server) const
{
    const std::shared_ptr<const GatewayView> view = this->callbacks.view();
    const BackendServer *const primary = view->primary(service);
    return primary != nullptr && primary->id == server;
}

void PrimarySearch::onNotPrimary(const std::string &service, const std::string &server)
{
    if (!this->isCurrentPrimary(service, server) || !this->searching.insert(service).second) {
        return;
    }
    const std::shared_ptr<PrimarySearch> self = this->shared_from_this();
    asio::co_spawn(
        this->executor,
        [self, service, server]() -> net::awaitable<void> {
            co_await self->search(service, server);
            self->searching.erase(service);
        },
        asio::detached);
}

net::awaitable<void> PrimarySearch::search(std::string service, std::string server)
{
    for (int round = 0; round < Rounds && this->isCurrentPrimary(service, server); ++round) {
        const std::vector<failover::PromotionCandidate> candidates = co_await this->survey->run(service, server);
        const failover::PromotionCandidate *const newPrimary = failover::findPrimary(candidates);
        if (newPrimary != nullptr && this->isCurrentPrimary(service, server)) {
            this->log.line("primary_found")
                .field("service", service)
                .field("server", newPrimary->server)
                .field("former", server)
                .field("term", newPrimary->term);
            this->callbacks.onFound(service, newPrimary->server);
            co_return;
        }
        asio::steady_timer pause(this->executor, RoundInterval);
        co_await pause.async_wait(UseTuple);
    }
}

}
