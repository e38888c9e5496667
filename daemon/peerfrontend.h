#pragma once

#include "daemon/trafficthread.h"
#include "net/peerserver.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endiveshore::daemon {

/// Serves the requests of other daemons. Statements and transactions run on the traffic threads; other paths have
/// registered handlers that run on the control thread or on a traffic thread.
class PeerFrontend
{
public:
    using RequestHandler = std::function<net::awaitable<boost::json::object>(boost::json::object request)>;

    PeerFrontend(net::Executor control, TrafficPool &traffic);

    /// Registers a handler for POST @p path that runs on the control thread. Call before listen().
    void addHandler(std::string path, RequestHandler handler);

    /// Registers a handler for POST @p path that runs on the traffic thread of the connection. Call before listen().
    void addTrafficHandler(std::string path, RequestHandler handler);

    /// Accepts peers on all traffic threads.
    void listen(const net::TcpEndpoint &endpoint);
    void stop();

private:
    net::awaitable<net::HttpResponse> handle(TrafficThread &thread, net::HttpRequest request);
    net::awaitable<boost::json::object> dispatch(TrafficThread &thread, const net::HttpRequest &request);

    net::Executor control;
    TrafficPool &traffic;
    std::map<std::string, RequestHandler, std::less<>> controlHandlers;
    std::map<std::string, RequestHandler, std::less<>> trafficHandlers;
    std::vector<std::shared_ptr<net::PeerServer>> servers;
};

}
