#include "gateway/candidatesurvey.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::UnitKind;
using pooling::UnitOutcome;
using pooling::UnitResult;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Timeout of a query in the server's queue; also, counted separately, the timeout for its answer.
constexpr std::chrono::milliseconds QueryTimeout{500};

}

struct CandidateSurvey::Round
{
    explicit Round(const net::Executor &executor)
        : done(executor, core::TimePoint::max())
    {
    }

    asio::steady_timer done; ///< Cancelled when the last query ends.
    std::size_t open = 0; ///< Queries without a result.
    std::vector<failover::PromotionCandidate> candidates;
};

CandidateSurvey::CandidateSurvey(net::Executor executor, std::string workspace, CandidateSurveyCallbacks callbacks)
    : executor(std::move(executor))
    , workspace(std::move(workspace))
    , callbacks(std::move(callbacks))
{
}

pooling::WorkUnit CandidateSurvey::makeQuery(UnitKind kind) const
{
    return {.kind = kind, .workspace = this->workspace, .queueTimeout = QueryTimeout, .statementTimeout = QueryTimeout};
}

net::awaitable<UnitResult> CandidateSurvey::requestProof(std::string server)
{
    pooling::WorkUnit unit = this->makeQuery(UnitKind::Prove);
    unit.server = std::move(server);
    co_return co_await this->callbacks.query(std::move(unit));
}

net::awaitable<CandidateSurvey::Candidates> CandidateSurvey::run(std::string service, std::string excluded)
{
    co_return co_await this->queryAll(std::move(service), std::move(excluded), this->makeQuery(UnitKind::Status));
}

net::awaitable<CandidateSurvey::Candidates>
CandidateSurvey::pause(std::string service, std::string excluded, std::uint64_t term)
{
    pooling::WorkUnit unit = this->makeQuery(UnitKind::Pause);
    unit.pauseTerm = term;
    co_return co_await this->queryAll(std::move(service), std::move(excluded), std::move(unit));
}

net::awaitable<CandidateSurvey::Candidates> CandidateSurvey::resume(std::string service, std::string excluded)
{
    co_return co_await this->queryAll(std::move(service), std::move(excluded), this->makeQuery(UnitKind::Resume));
}

net::awaitable<CandidateSurvey::Candidates>
CandidateSurvey::queryAll(std::string service, std::string excluded, pooling::WorkUnit query)
{
    const auto round = std::make_shared<Round>(this->executor);
    const std::shared_ptr<CandidateSurvey> self = this->shared_from_this();
    const std::shared_ptr<const GatewayView> view = this->callbacks.view();
    for (const auto &[id, server] : view->servers) {
        const routing::EvacuationStage stage = view->evacuationOf(server);
        if (server.service != service || id == excluded || !routing::mayQueryStatus(stage)) {
            continue;
        }
        ++round->open;
        const bool isLeaving = server.isLeaving || stage != routing::EvacuationStage::None;
        asio::co_spawn(
            this->executor,
            [self, round, id = id, isLeaving, query]() -> net::awaitable<void> {
                co_await self->queryServer(round, id, isLeaving, query);
            },
            asio::detached);
    }
    if (round->open > 0) {
        co_await round->done.async_wait(UseTuple);
    }
    co_return round->candidates;
}

net::awaitable<void>
CandidateSurvey::queryServer(std::shared_ptr<Round> round, std::string server, bool isLeaving, pooling::WorkUnit query)
{
    query.server = server;
    const UnitResult result = co_await this->callbacks.query(std::move(query));
    const std::optional<ServerStatus> status = this->callbacks.readStatus(ServerReply{.rows = result.rows});
    if (result.outcome == UnitOutcome::Done && status) {
        round->candidates.push_back({.server = std::move(server),
                                     .isPrimary = status->isPrimary,
                                     .isLeaving = isLeaving,
                                     .term = status->term,
                                     .received = status->received});
    }
    if (--round->open == 0) {
        round->done.cancel();
    }
}

}
