#pragma once

#include "failover/primarytracker.h"
#include "failover/promotionchoice.h"
#include "gateway/candidatesurvey.h"
#include "gateway/gatewayview.h"
#include "gateway/metadatastore.h"
#include "telemetry/decisionlog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace endiveshore::gateway {

/// Dependencies of the holder of the promotion duty. All functions are called on the control thread.
struct PromotionDutyDependencies
{
    /// Queries servers, each through several daemons; see WorkRouter::runHedged().
    std::shared_ptr<CandidateSurvey> survey;
    std::function<std::shared_ptr<const GatewayView>()> view;
    /// Whether promotions may be ordered now.
    std::function<bool()> mayOrder;
    /// A server has become the primary of a service.
    std::function<void(std::string service, std::string server, std::uint64_t fence)> onPromoted;
    /// The server reports that it is not the primary.
    std::function<void(std::string service, std::string server)> onNotPrimary;
    /// An order was refused: another holder may have used a higher fence.
    std::function<void()> onFenced;
};

/// Probes the primaries of all services while this daemon holds the promotion duty, and orders promotions. Runs on the
/// control thread.
class PromotionDuty : public std::enable_shared_from_this<PromotionDuty>
{
public:
    PromotionDuty(net::Executor executor,
                  std::string daemonId,
                  std::shared_ptr<PromotionService> orders,
                  PromotionDutyDependencies dependencies,
                  telemetry::DecisionLog &log);

    /// Reason for replacing a primary.
    enum class Reason {
        NoPrimary, ///< No primary is known.
        NoAnswer,
        Leaving,
        Evacuated, ///< The data centre of the primary is being evacuated.
    };

    /// This daemon has become the holder.
    void start(core::StorePoint election);

    /// This daemon is no longer the holder.
    void stop();

private:
    using Candidates = CandidateSurvey::Candidates;

    struct Replacement
    {
        std::string service;
        std::string former = {}; ///< Empty if none is known.
        Reason reason = Reason::NoPrimary;
        std::uint64_t dutyTerm = 0;
    };

    /// Watches the primary of one service until the duty term ends.
    net::awaitable<void> watchService(std::string service, std::uint64_t term);
    net::awaitable<void> watchServices(std::uint64_t term);
    /// Resumes replicas that a former holder may have left paused.
    net::awaitable<void> resumeReplicas(std::string service, std::uint64_t term);
    /// Promotes a suitable candidate, if there is one.
    net::awaitable<void> replacePrimary(Replacement replacement);
    /// Waits until a candidate has received the position that the leaving primary had at the previous query, or until a
    /// timeout. An evacuated primary is not queried in the end; its last position counts then. Returns the candidates
    /// without the leaving primary.
    net::awaitable<Candidates> awaitCatchUp(Replacement replacement);
    /// Pauses replication on the replicas, so that the former primary cannot acknowledge further commits, and returns
    /// the paused candidates. Returns none if a replica that did not answer may be the only one with an acknowledged
    /// commit.
    net::awaitable<Candidates> pauseReplicas(Replacement replacement, Candidates known, unsigned synchronous);
    std::optional<failover::PromotionCandidate> choose(const Replacement &replacement,
                                                       const Candidates &candidates) const;
    /// Orders the promotion and waits until the server is the primary. Returns false if it does not become the primary.
    net::awaitable<bool> promote(Replacement replacement, failover::PromotionCandidate chosen, std::size_t candidates);
    /// Reason for a planned replacement of @p primary, which still runs; nothing if it may stay.
    std::optional<Reason> plannedReason(const BackendServer &primary) const;
    bool mayContinue(const Replacement &replacement) const;
    unsigned synchronousReplicas(const std::string &service) const;
    struct Probe;
    /// Requests a proof from @p server that it is the primary, and a second proof if the first request fails or hangs.
    net::awaitable<std::shared_ptr<const Probe>> probe(std::string server);
    net::awaitable<void> requestProof(std::shared_ptr<Probe> probe, std::string server);
    net::awaitable<void> sleepFor(core::Duration time);
    bool isCurrent(std::uint64_t term) const;

    net::Executor executor;
    std::string daemonId;
    std::shared_ptr<PromotionService> orders;
    PromotionDutyDependencies dependencies;
    telemetry::DecisionLog &log;
    std::uint64_t dutyTerm = 0; ///< Incremented by each start and stop; coroutines of an earlier term end.
    bool active = false;
    std::optional<failover::FenceCounter> fences;
    std::map<std::string, std::uint64_t, std::less<>> watched; ///< Duty term in which each service is watched.
};

}
