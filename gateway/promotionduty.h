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

/// What the holder of the promotion duty needs from its surroundings. All functions are called on the control thread.
struct PromotionDutyDependencies
{
    /// Asks servers, each through several daemons; see WorkRouter::runHedged().
    std::shared_ptr<CandidateSurvey> survey;
    std::function<std::shared_ptr<const GatewayView>()> view;
    /// Whether orders may be given now.
    std::function<bool()> mayOrder;
    /// A server has become the primary of a service.
    std::function<void(std::string service, std::string server, std::uint64_t fence)> onPromoted;
    /// The server says that it does not lead.
    std::function<void(std::string service, std::string server)> onNotPrimary;
    /// Another holder has used a higher fence.
    std::function<void()> onFenced;
};

/// Watches the primaries of all services while this daemon holds the duty, and orders promotions. Runs on the control
/// thread.
class PromotionDuty : public std::enable_shared_from_this<PromotionDuty>
{
public:
    PromotionDuty(net::Executor executor,
                  std::string daemonId,
                  std::shared_ptr<PromotionService> orders,
                  PromotionDutyDependencies dependencies,
                  telemetry::DecisionLog &log);

    /// Why a primary is replaced.
    enum class Reason {
        NoPrimary, ///< None is known.
        NoAnswer,
        Leaving,
    };

    /// This daemon has become the holder.
    void start(std::uint64_t electionRevision);

    /// This daemon is not the holder any more.
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

    /// One service under watch; ends when the duty does.
    net::awaitable<void> watchService(std::string service, std::uint64_t term);
    net::awaitable<void> watchServices(std::uint64_t term);
    /// Ends pauses of replicas that a former holder may have left behind.
    net::awaitable<void> resumeReplicas(std::string service, std::uint64_t term);
    /// Makes another server the primary, if one can be found that may.
    net::awaitable<void> replacePrimary(Replacement replacement);
    /// Candidates once one of them has received what the leaving primary had a moment ago, or after a time limit.
    net::awaitable<Candidates> awaitCatchUp(Replacement replacement);
    /// Stops the replicas from receiving, so that the former primary can acknowledge no more commits, and returns their
    /// positions; nothing if one of those that did not answer may have an acknowledged commit that no other one has.
    net::awaitable<Candidates> pauseReplicas(Replacement replacement, Candidates known, unsigned synchronous);
    std::optional<failover::PromotionCandidate> choose(const Replacement &replacement,
                                                       const Candidates &candidates) const;
    /// Orders the promotion and waits until the server leads. False if it does not.
    net::awaitable<bool> promote(Replacement replacement, failover::PromotionCandidate chosen, std::size_t candidates);
    bool mayContinue(const Replacement &replacement) const;
    unsigned synchronousReplicas(const std::string &service) const;
    struct Probe;
    /// Asks @p server for a proof that it leads: once, and a second time if the first question fails or hangs.
    net::awaitable<std::shared_ptr<const Probe>> probe(std::string server);
    net::awaitable<void> requestProof(std::shared_ptr<Probe> probe, std::string server);
    net::awaitable<void> pause(core::Duration time);
    bool isCurrent(std::uint64_t term) const;

    net::Executor executor;
    std::string daemonId;
    std::shared_ptr<PromotionService> orders;
    PromotionDutyDependencies dependencies;
    telemetry::DecisionLog &log;
    std::uint64_t dutyTerm = 0; ///< Rises with each start and stop; coroutines of an earlier term end.
    bool active = false;
    std::optional<failover::FenceCounter> fences;
    std::map<std::string, std::uint64_t, std::less<>> watched; ///< Services under watch, by duty term.
};

}
