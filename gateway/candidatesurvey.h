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

/// Callbacks by which a survey queries servers. All are called on the control thread.
struct CandidateSurveyCallbacks
{
    std::function<net::awaitable<pooling::UnitResult>(pooling::WorkUnit unit)> query;
    std::function<std::shared_ptr<const GatewayView>()> view;
    StatusReader readStatus;
};

/// Queries the servers of one service for their role and position in parallel.
class CandidateSurvey : public std::enable_shared_from_this<CandidateSurvey>
{
public:
    /// @p workspace is announced on the connections that are opened for queries.
    CandidateSurvey(net::Executor executor, std::string workspace, CandidateSurveyCallbacks callbacks);

    using Candidates = std::vector<failover::PromotionCandidate>;

    /// Queries all servers of @p service except @p excluded and returns those that answered in time. Servers of data
    /// centres that are being evacuated count as leaving, and are not queried once nothing may be sent there.
    net::awaitable<Candidates> run(std::string service, std::string excluded);

    /// Like run(); also pauses replication on the servers that answer, until a resume() or a promotion. @p term must be
    /// above the terms of all servers.
    net::awaitable<Candidates> pause(std::string service, std::string excluded, std::uint64_t term);

    /// Like run(); also ends the pause of the servers.
    net::awaitable<Candidates> resume(std::string service, std::string excluded);

    /// Requests a proof from @p server that it is the primary.
    net::awaitable<pooling::UnitResult> requestProof(std::string server);

private:
    struct Round;
    net::awaitable<Candidates> queryAll(std::string service, std::string excluded, pooling::WorkUnit query);
    net::awaitable<void>
    queryServer(std::shared_ptr<Round> round, std::string server, bool isLeaving, pooling::WorkUnit query);
    pooling::WorkUnit makeQuery(pooling::UnitKind kind) const;

    net::Executor executor;
    std::string workspace;
    CandidateSurveyCallbacks callbacks;
};

}
