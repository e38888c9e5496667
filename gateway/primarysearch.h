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
    /// @p server reports that it is the primary of @p service.
    std::function<void(std::string service, std::string server)> onFound;
};

/// Finds the primary of a service by querying its servers, after the server known as the primary reported that it is
/// not the primary. A daemon that can reach neither the metadata store nor the holder of the promotion duty learns of a
/// promotion only in this way. Runs on the control thread.
class PrimarySearch : public std::enable_shared_from_this<PrimarySearch>
{
public:
    PrimarySearch(net::Executor executor,
                  std::shared_ptr<CandidateSurvey> survey,
                  PrimarySearchCallbacks callbacks,
                  telemetry::DecisionLog &log);

    /// @p server reported that it is not the primary of @p service. Starts a search, unless a search of the service is
    /// running or a different server is known as the primary by now.
    void onNotPrimary(const std::string &service, const std::string &server);

private:
    net::awaitable<void> search(std::string service, std::string server);
    bool isCurrentPrimary(const std::string &service, const std::string &server) const;

    net::Executor executor;
    std::shared_ptr<CandidateSurvey> survey;
    PrimarySearchCallbacks callbacks;
    telemetry::DecisionLog &log;
    std::set<std::string, std::less<>> searching; ///< Services with a running search.
};

}
