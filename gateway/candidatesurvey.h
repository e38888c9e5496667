#pragma once

#include "failover/promotionchoice.h"
#include "gateway/gatewayview.h"
#include "gateway/serverlink.h"
#include "pooling/statement.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::gateway {

/// How the servers of a service are asked for their state. The functions are called on the control thread.
struct CandidateSurveyCallbacks
{
    std::function<net::awaitable<pooling::UnitResult>(pooling::WorkUnit unit)> query;
    std::function<std::shared_ptr<const GatewayView>()> view;
    StatusReader readStatus;
};

/// Asks the servers of one service for their role and position, all at once.
class CandidateSurvey : public std::enable_shared_from_this<CandidateSurvey>
{
public:
    /// @p workspace is the workspace under which connections for the questions are opened.
    CandidateSurvey(net::Executor executor, std::string workspace, CandidateSurveyCallbacks callbacks);

    using Candidates = std::vector<failover::PromotionCandidate>;

    /// Those of the servers of @p service, @p excluded not among them, that answered in time.
    net::awaitable<Candidates> run(std::string service, std::string excluded);

    /// Like run(); those that answer receive nothing more until they resume or a server is promoted. @p term must be
    /// above every term that they have.
    net::awaitable<Candidates> pause(std::string service, std::string excluded, std::uint64_t term);

    /// Ends the pause of the servers of @p service.
    net::awaitable<Candidates> resume(std::string service, std::string excluded);

    /// Asks @p server to prove that it leads.
    net::awaitable<pooling::UnitResult> requestProof(std::string server);

private:
    struct Round;
    net::awaitable<Candidates> queryAll(std::string service, std::string excluded, pooling::WorkUnit query);
    net::awaitable<void> queryServer(std::shared_ptr<Round> round, BackendServer server, pooling::WorkUnit query);
    pooling::WorkUnit makeQuery(pooling::UnitKind kind) const;

    net::Executor executor;
    std::string workspace;
    CandidateSurveyCallbacks callbacks;
};

}
