#include "console/daemonpoller.h"

#include "console/blockinghttp.h"
#include "core/json.h"

namespace endiveshore::console {

namespace {

constexpr int HttpOk = 200;

DaemonStatus toStatus(const net::TcpEndpoint &endpoint, const HttpResult &result)
{
    DaemonStatus status{.address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port())};
    if (const auto *error = std::get_if<core::Error>(&result)) {
        status.error = error->message;
        return status;
    }
    const auto &response = std::get<net::HttpResponse>(result);
    boost::json::error_code parseError;
    const boost::json::value body = boost::json::parse(response.body, parseError);
    if (response.status != HttpOk || parseError || !body.is_object() || !body.get_object().contains("revision")) {
        status.error = "the response contains no daemon status; HTTP status " + std::to_string(response.status);
        return status;
    }
    status.reachable = true;
    status.daemon = core::jsonString(body.get_object(), "daemon");
    status.dataCentre = core::jsonString(body.get_object(), "data_centre");
    status.revision = core::jsonInteger(body.get_object(), "revision");
    return status;
}

}

HttpDaemonPoller::HttpDaemonPoller(std::vector<net::TcpEndpoint> endpoints)
    : endpoints(std::move(endpoints))
{
}

std::vector<DaemonStatus> HttpDaemonPoller::poll(core::Duration timeout)
{
    net::HttpRequest request;
    request.target = "/admin/status";
    const std::vector<HttpResult> results = exchangeWithAll(this->endpoints, request, timeout);
    std::vector<DaemonStatus> statuses;
    for (std::size_t index = 0; index < results.size(); ++index) {
        statuses.push_back(toStatus(this->endpoints[index], results[index]));
    }
    return statuses;
}

}
