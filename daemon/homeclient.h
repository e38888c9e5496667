#pragma once

#include "daemon/fleetview.h"
#include "daemon/statementcall.h"
#include "net/peerclient.h"

#include <functional>
#include <memory>

namespace endiveshore::daemon {

/// Steps of a transaction, carried out by the home daemon on the connection to which the transaction is pinned.
enum class TransactionStep {
    Begin,
    Commit,
    Rollback,
};

/// Last segment of the peer path of a transaction step.
std::string_view transactionStepName(TransactionStep step);

/// Sends statements to the home of a backend server: in process if this daemon is the home, otherwise over a peer
/// connection. One per traffic thread.
class HomeClient
{
public:
    /// Runs a call at a home on this daemon, on the thread that owns the server's queue.
    using LocalExecute = std::function<net::awaitable<StatementAnswer>(StatementCall call)>;
    using LocalTransaction = std::function<net::awaitable<StatementAnswer>(TransactionStep step, StatementCall call)>;

    HomeClient(std::string memberId,
               net::PeerClient &peers,
               LocalExecute localExecute,
               LocalTransaction localTransaction);

    /// Runs @p call at the home of its server. Throws core::Error.
    net::awaitable<StatementAnswer> execute(const FleetView &view, StatementCall call);

    /// Begins, commits or rolls back the transaction named in @p call. The transaction id starts with the id of the
    /// daemon that holds the connection. Throws core::Error.
    net::awaitable<StatementAnswer> transact(const FleetView &view, TransactionStep step, StatementCall call);

private:
    net::awaitable<StatementAnswer> forward(net::TcpEndpoint endpoint, std::string_view path, StatementCall call);

    std::string memberId;
    net::PeerClient &peers;
    LocalExecute localExecute;
    LocalTransaction localTransaction;
};

}
