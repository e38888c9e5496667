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

/// VM as the platform's list shows it. The list lags behind the VM's real state.
struct Vm
{
    std::string id;
    std::string address; ///< "ip:port" or IP number, as the list gives it.
    std::string dataCentre;
    VmKind kind = VmKind::Daemon;
    bool leaving = false;
};

struct VmList
{
    std::int64_t revision = 0;
    std::vector<Vm> vms;
};

/// Client of the platform's list of VMs. Each fetch uses a connection of its own, as fetches are rare.
class VmListClient
{
public:
    explicit VmListClient(net::TcpEndpoint endpoint, core::Duration timeout = std::chrono::milliseconds(2'000));

    /// The current list. Entries without an id or address, or of an unknown kind, are left out. Throws core::Error:
    /// BackendUnreachable or AnswerLost if the list cannot be fetched, MalformedRequest if the answer is not a list.
    net::awaitable<VmList> fetch();

private:
    net::TcpEndpoint endpoint;
    core::Duration timeout;
};

}
