#pragma once

#include "backend/serverclient.h"
#include "daemon/replicationtracker.h"

#include <memory>

namespace endiveshore::daemon {

/// Connection to one replica for waiting on log positions; reopened after a failure. Only one wait may run at a time.
class ReplicaWait : public std::enable_shared_from_this<ReplicaWait>
{
public:
    ReplicaWait(const net::Executor &executor, net::TcpEndpoint endpoint);

    /// Waits up to @p timeout until the replica has received @p position of @p term. Throws core::Error.
    net::awaitable<ReplicationTracker::Progress>
    wait(std::uint64_t term, std::uint64_t position, core::Duration timeout);

private:
    backend::ServerClient client;
    net::TcpEndpoint endpoint;
};

}
