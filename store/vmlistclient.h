#pragma once

#include "core/time.h"
#include "net/asyncio.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endiveshore::store {

enum class VmKind {
    Daemon,
    Backend,
};

/// Entry of the platform's VM list. The list lags behind the actual state of the VM.
struct Vm
{
    std::string id;
    std::string address; ///< "ip:port" or a bare IP address, as given in the list.
    std::string dataCentre;
    VmKind kind = VmKind::Daemon;
    bool leaving = false;
};

struct VmList
{
    std::int64_t revision = 0;
    std::vector<Vm> vms;
};

/// Client of the platform's list of VMs. Each fetch opens its own connection, since fetches are rare.
class VmListClient
{
public:
    explicit VmListClient(net::TcpEndpoint endpoint, core::Duration timeout = std::chrono::milliseconds(2'000));

    /// Fetches the current list. Entries without an id or address, or of an unknown kind, are skipped. Throws
    /// core::Error: BackendUnreachable or AnswerLost if the list cannot be fetched, MalformedRequest if the response
    /// is not a list.
    net::awaitable<VmList> fetch();

private:
    net::TcpEndpoint endpoint;
    core::Duration timeout;
};

}
