#include "daemon/homeclient.h"

#include "core/json.h"
#include "daemon/transactionid.h"

namespace endiveshore::daemon {

namespace {

// The home answers by the deadline; the margin allows for the way back of that answer, since a local timeout would turn
// a known outcome into an unknown one.
constexpr core::Milliseconds AnswerMargin{150};

}

std::string_view transactionStepName(TransactionStep step)
{
    switch (step) {
    case TransactionStep::Begin:
        return "begin";
    case TransactionStep::Commit:
        return "commit";
    case TransactionStep::Rollback:
        break;
    }
    return "rollback";
}

HomeClient::HomeClient(std::string memberId,
                       net::PeerClient &peers,
                       LocalExecute localExecute,
                       LocalTransaction localTransaction)
    : memberId(std::move(memberId))
    , peers(peers)
    , localExecute(std::move(localExecute))
    , localTransaction(std::move(localTransaction))
{
}

net::awaitable<StatementAnswer> HomeClient::execute(const FleetView &view, StatementCall call)
{
    if (!call.transaction.empty()) {
        // Statements of a transaction go to the daemon that holds its connection, even if the home has moved since.
        const std::string owner(transactionOwner(call.transaction));
        if (owner == this->memberId) {
            co_return co_await this->localExecute(std::move(call));
        }
        const auto member = view.members.find(owner);
        if (member == view.members.end()) {
            throw core::Error(core::ResultCode::TransactionAborted,
                              "the daemon that held the transaction is unavailable");
        }
        co_return co_await this->forward(member->second, "/peer/statement", std::move(call));
    }
    const auto home = view.homes.find(call.server);
    if (home == view.homes.end()) {
        throw core::Error(core::ResultCode::NoServer, "no home for server " + call.server);
    }
    if (home->second.member == this->memberId) {
        co_return co_await this->localExecute(std::move(call));
    }
    co_return co_await this->forward(home->second.peerEndpoint, "/peer/statement", std::move(call));
}

net::awaitable<StatementAnswer> HomeClient::transact(const FleetView &view, TransactionStep step, StatementCall call)
{
    std::string owner;
    if (step == TransactionStep::Begin) {
        const auto home = view.homes.find(call.server);
        if (home == view.homes.end()) {
            throw core::Error(core::ResultCode::NoServer, "no home for server " + call.server);
        }
        owner = home->second.member;
    } else {
        owner = std::string(transactionOwner(call.transaction));
    }
    if (owner == this->memberId) {
        co_return co_await this->localTransaction(step, std::move(call));
    }
    const auto member = view.members.find(owner);
    if (member == view.members.end()) {
        core::Error error(step == TransactionStep::Begin ? core::ResultCode::PeerUnreachable
                                                         : core::ResultCode::TransactionAborted,
                          "daemon " + owner + " is unavailable");
        if (step == TransactionStep::Commit) {
            // An earlier attempt to commit may have reached the daemon before it became unavailable.
            error.outcome = core::Outcome::Unknown;
        }
        throw error;
    }
    std::string path = "/peer/transaction/";
    path += transactionStepName(step);
    co_return co_await this->forward(member->second, path, std::move(call));
}

net::awaitable<StatementAnswer>
HomeClient::forward(net::TcpEndpoint endpoint, std::string_view path, StatementCall call)
{
    const core::TimePoint now = core::Clock::now();
    const core::Duration timeout = call.deadline - now + AnswerMargin;
    const boost::json::object message = toJson(call, now);
    net::HttpRequest request = net::jsonRequest(path, message);
    const net::HttpResponse response = co_await this->peers.exchange(endpoint, std::move(request), timeout);
    const boost::json::object answer = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    throwIfError(response.status, answer);
    co_return statementAnswerFromJson(answer);
}

}
