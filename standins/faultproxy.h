#pragma once

#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <memory>
#include <vector>

namespace endiveshore::standins {

/// Faults of one route of the proxy.
struct RouteFaults
{
    enum class Cut {
        None,
        Both,
        ToTarget,
        FromTarget,
    };

    std::int64_t delayMs = 0; ///< Delay of each chunk of bytes in each direction.
    Cut cut = Cut::None; ///< Bytes in this direction are discarded; connections stay open.
    bool refuse = false; ///< New connections are reset at once; open connections are closed when the fault starts.
};

struct ProxyRoute
{
    net::TcpEndpoint listen;
    net::TcpEndpoint target;
};

/// TCP proxy whose faults can be switched at run time. All work runs on one thread, and no fault depends on chance.
class FaultProxy
{
public:
    FaultProxy(net::asio::io_context &context, std::vector<ProxyRoute> routes, net::TcpEndpoint control);
    ~FaultProxy();

    /// Binds all addresses. Throws boost::system::system_error if this fails.
    void start();

private:
    struct Route;
    struct Link;

    net::awaitable<net::HttpResponse> control(net::HttpRequest request);
    void applyControl(Route &route, const boost::json::object &request);
    net::awaitable<void> accept(Route &route);
    net::awaitable<void> connect(std::shared_ptr<Link> link);
    net::awaitable<void> forward(std::shared_ptr<Link> link, bool toTarget);

    net::asio::io_context &context;
    std::vector<std::unique_ptr<Route>> routes;
    net::TcpEndpoint controlEndpoint;
    std::shared_ptr<net::HttpServer> server;
};

}
