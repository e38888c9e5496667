#pragma once

#include "core/time.h"
#include "net/httpserver.h"

#include <boost/json/object.hpp>

#include <deque>

namespace endiveshore::standins {

/// Stand-in for the platform's VM list. GET /v1/vms returns the newest list that was set at least the lag ago;
/// POST /standin/set with `{"vms":[..]}` replaces the list and raises its revision.
class VmListStandin : public std::enable_shared_from_this<VmListStandin>
{
public:
    explicit VmListStandin(std::chrono::milliseconds lag);

    /// Serves @p endpoint. Throws boost::system::system_error if the address is in use.
    void listen(const net::Executor &executor, const net::TcpEndpoint &endpoint);
    void stop();

    /// Sets the list at @p now. Throws core::Error(MalformedRequest) if @p body has no array "vms".
    void set(const boost::json::object &body, core::TimePoint now);

    /// List that GET /v1/vms returns at @p now.
    boost::json::object visible(core::TimePoint now) const;

private:
    struct Version
    {
        core::TimePoint setAt;
        boost::json::object list;
    };

    net::awaitable<net::HttpResponse> handle(net::HttpRequest request);

    std::chrono::milliseconds lag;
    std::int64_t revision = 0;
    std::deque<Version> versions; ///< In order of time; the first is the oldest that may still be visible.
    std::shared_ptr<net::HttpServer> server;
};

}
