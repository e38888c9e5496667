#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace endiveshore::console {

/// What a daemon reports at `GET /admin/status`.
struct DaemonStatus
{
    std::string address; ///< "ip:port" of the admin interface.
    bool reachable = false;
    std::string error; ///< Why the daemon is not reachable.
    std::string daemon; ///< Daemon id.
    std::string dataCentre;
    std::int64_t revision = 0; ///< Store revision of the configuration in force.
};

/// Source of daemon states.
class DaemonPoller
{
public:
    virtual ~DaemonPoller() = default;

    /// State of every daemon, in the order of their addresses. Does not throw for daemons that do not answer.
    virtual std::vector<DaemonStatus> poll(core::Duration timeout) = 0;
};

/// DaemonPoller that asks the admin interfaces of all daemons at the same time.
class HttpDaemonPoller : public DaemonPoller
{
public:
    explicit HttpDaemonPoller(std::vector<net::TcpEndpoint> endpoints);
    std::vector<DaemonStatus> poll(core::Duration timeout) override;

private:
    std::vector<net::TcpEndpoint> endpoints;
};

}
