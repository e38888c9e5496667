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
struct CandidateSurveySurroundings
{
    std::function<net::awaitable<pooling::UnitResult>(pooling::WorkUnit unit)> ask;
    std::function<std::shared_ptr<const GatewayView>()> view;
    StatusReader readStatus;
};

/// Asks the servers of one service for their role and position, all at once.
class CandidateSurvey : public std::enable_shared_from_this<CandidateSurvey>
{
public:
    /// @p asker is the workspace under which connections for the questions are opened.
    CandidateSurvey(net::Executor executor, std::string asker, CandidateSurveySurroundings surroundings);

    /// Those of the servers of @p service, @p excluded not among them, that answered in time.
    net::awaitable<std::vector<failover::PromotionCandidate>> run(std::string service, std::string excluded);

    /// Asks one server with a unit of @p kind, Status or Prove.
    net::awaitable<pooling::UnitResult> ask(pooling::UnitKind kind, std::string server);

private:
    struct Round;
    net::awaitable<void> askOne(std::shared_ptr<Round> round, BackendServer server);

    net::Executor executor;
    std::string asker;
    CandidateSurveySurroundings surroundings;
};

}
