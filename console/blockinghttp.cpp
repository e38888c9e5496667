#include "console/blockinghttp.h"

#include "net/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace endiveshore::console {

namespace {

net::awaitable<void>
exchange(net::TcpEndpoint endpoint, net::HttpRequest request, core::Duration timeout, HttpResult *result)
{
    try {
        net::HttpResponse response = co_await net::exchangeOnce(endpoint, std::move(request), timeout);
        *result = std::move(response);
    } catch (const core::Error &error) {
        *result = error;
    } catch (const std::exception &error) {
        *result = core::Error(core::ResultCode::Internal, error.what());
    }
}

}

std::vector<HttpResult>
exchangeWithAll(std::span<const net::TcpEndpoint> endpoints, const net::HttpRequest &request, core::Duration timeout)
{
    std::vector<HttpResult> results(endpoints.size());
    net::asio::io_context context;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        net::asio::co_spawn(
            context, exchange(endpoints[index], request, timeout, &results[index]), net::asio::detached);
    }
    context.run();
    return results;
}

}
