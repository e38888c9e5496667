#include "tools/blockinghttp.h"

#include "core/json.h"
#include "net/httpclient.h"
#include "tools/deploymentaddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace endiveshore::tools {

namespace {

constexpr core::Milliseconds ControlTimeout{3'000};

boost::json::object parseJsonResponse(const net::HttpResponse &response)
{
    if (response.status != 200) {
        throw core::Error(core::ResultCode::Internal,
                          "HTTP status " + std::to_string(response.status) + ": " + response.body);
    }
    if (response.body.empty()) {
        return {};
    }
    return core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
}

}

net::HttpResponse exchangeBlocking(int port, net::HttpRequest request, core::Duration timeout)
{
    net::asio::io_context context(1);
    const net::TcpEndpoint endpoint = deploymentEndpoint(port);
    auto answer
        = net::asio::co_spawn(context, net::exchangeOnce(endpoint, std::move(request), timeout), net::asio::use_future);
    context.run();
    return answer.get();
}

boost::json::object getJson(int port, std::string_view target)
{
    net::HttpRequest request;
    request.target = std::string(target);
    return parseJsonResponse(exchangeBlocking(port, std::move(request), ControlTimeout));
}

boost::json::object postJson(int port, std::string_view target, const boost::json::object &body)
{
    return parseJsonResponse(exchangeBlocking(port, net::jsonRequest(target, body), ControlTimeout));
}

}
