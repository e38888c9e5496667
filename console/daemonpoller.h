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
    std::string error; ///< Reason if the daemon is not reachable.
    std::string daemon; ///< Daemon id.
    std::string dataCentre;
    std::int64_t revision = 0; ///< Store revision of the configuration in force.
};

/// Source of the status of all daemons.
class DaemonPoller
{
public:
    virtual ~DaemonPoller() = default;

    /// Status of every daemon, in the order of the configured addresses. A daemon that does not answer within
    /// @p timeout is reported as unreachable.
    virtual std::vector<DaemonStatus> poll(core::Duration timeout) = 0;
};

/// DaemonPoller that queries the admin interfaces of all daemons concurrently.
class HttpDaemonPoller : public DaemonPoller
{
public:
    explicit HttpDaemonPoller(std::vector<net::TcpEndpoint> endpoints);
    std::vector<DaemonStatus> poll(core::Duration timeout) override;

private:
    std::vector<net::TcpEndpoint> endpoints;
};

}
