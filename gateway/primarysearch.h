#pragma once

#include "gateway/candidatesurvey.h"
#include "telemetry/decisionlog.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace endiveshore::gateway {

struct PrimarySearchCallbacks
{
    std::function<std::shared_ptr<const GatewayView>()> view;
    /// @p server says that it leads @p service.
    std::function<void(std::string service, std::string server)> onFound;
};

/// Finds the primary of a service by asking its servers, after the one that this daemon believes in has said that it
/// does not lead. News of a promotion may not reach a daemon that is cut off from the metadata store and from the
/// holder of the duty. Runs on the control thread.
class PrimarySearch : public std::enable_shared_from_this<PrimarySearch>
{
public:
    PrimarySearch(net::Executor executor,
                  std::shared_ptr<CandidateSurvey> survey,
                  PrimarySearchCallbacks callbacks,
                  telemetry::DecisionLog &log);

    /// @p server has said that it does not lead @p service. Starts a search unless one is going on, or the daemon
    /// believes in another server by now.
    void onNotPrimary(const std::string &service, const std::string &server);

private:
    net::awaitable<void> search(std::string service, std::string server);
    bool isCurrentPrimary(const std::string &service, const std::string &server) const;

    net::Executor executor;
    std::shared_ptr<CandidateSurvey> survey;
    PrimarySearchCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::set<std::string, std::less<>> searching; ///< Services.
};

}
