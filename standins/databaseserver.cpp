#include "standins/databaseserver.h"

#include "core/error.h"
#include "core/json.h"
#include "core/time.h"
#include "standins/databasesupport.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// Time that a statement waits for a key locked by a transaction before it is refused with "conflict".
constexpr std::int64_t LockTimeoutMs = 200;

constexpr std::int64_t DefaultLedgerLimit = 5'000;

DatabaseState initialState(const DatabaseServerOptions &options)
{
    const auto primary = options.peers.find(options.primary);
    return DatabaseState(
        options.primary == options.id, primary != options.peers.end() ? primary->second : std::string(), nowMs());
}

std::int64_t queryNumber(std::string_view target, std::string_view name, std::int64_t fallback)
{
    const std::string marker = std::string(name) + "=";
    const std::size_t found = target.find(marker);
    return found == std::string_view::npos ? fallback
                                           : std::atoll(std::string(target.substr(found + marker.size())).c_str());
}

}

struct DatabaseServer::Connection
{
    bool counted = false;
    bool refused = false;
    bool classified = false;
    std::string transaction;
    std::string target;
};

struct DatabaseServer::PathHandler
{
    std::string_view path;
    Answer (DatabaseServer::*handler)(const Request &, const net::HttpHeaders &, Connection &);
    bool counted; ///< Connections whose first request is this call count against the limit.
};

DatabaseServer::DatabaseServer(asio::io_context &context, DatabaseServerOptions options)
    : context(context)
    , options(std::move(options))
    , state(initialState(this->options))
    , pullConnection(context.get_executor())
{
}

DatabaseServer::~DatabaseServer() = default;

void DatabaseServer::start()
{
    this->openJournal();
    this->server = std::make_shared<net::HttpServer>(
        [this](net::HttpRequest request, net::HttpConnection &connection) {
            return this->handle(std::move(request), connection);
        },
        net::HttpServerOptions{},
        [this](net::HttpConnection &connection) { this->connectionClosed(connection); });
    this->server->listen(this->context.get_executor(), this->options.listen);
    asio::co_spawn(this->context, this->pullLog(), asio::detached);
}

DatabaseServer::Answer DatabaseServer::handle(net::HttpRequest request, net::HttpConnection &connection)
{
    static constexpr PathHandler Handlers[] = {
        {"/statement", &DatabaseServer::statement, true},
        {"/begin", &DatabaseServer::begin, true},
        {"/commit", &DatabaseServer::commit, true},
        {"/rollback", &DatabaseServer::rollback, true},
        {"/status", &DatabaseServer::status, true},
        {"/wait", &DatabaseServer::wait, true},
        {"/fence", &DatabaseServer::fence, true},
        {"/promote", &DatabaseServer::promote, true},
        {"/follow", &DatabaseServer::follow, true},
        {"/log", &DatabaseServer::log, false},
        {"/control", &DatabaseServer::control, false},
        {"/ledger", &DatabaseServer::ledger, false},
    };
    if (!connection.state.has_value()) {
        connection.state = std::make_shared<Connection>();
    }
    const auto connectionState = std::any_cast<std::shared_ptr<Connection>>(connection.state);
    const std::string path = request.target.substr(0, request.target.find('?'));
    for (const PathHandler &entry : Handlers) {
        if (entry.path != path) {
            continue;
        }
        if (!connectionState->classified && entry.counted) {
            connectionState->classified = true;
            ++this->connections;
            connectionState->counted = true;
            this->requestLedger.recordConnections(this->connections);
            if (this->connections > this->options.connectionLimit) {
                connectionState->refused = true;
                this->requestLedger.recordConnectionViolation();
            }
            co_await this->sleep(this->options.connectMs);
        }
        connectionState->classified = true;
        if (connectionState->refused) {
            co_return net::jsonResponse(503, json::object{{"error", "connections"}});
        }
        json::object body;
        if (!request.body.empty()) {
            body = parseBody(request.body);
        }
        connectionState->target = request.target;
        co_return co_await (this->*entry.handler)(body, request.headers, *connectionState);
    }
    co_return net::jsonResponse(404, json::object{{"error", "unknown_path"}});
}

void DatabaseServer::connectionClosed(net::HttpConnection &connection)
{
    if (!connection.state.has_value()) {
        return;
    }
    const auto connectionState = std::any_cast<std::shared_ptr<Connection>>(connection.state);
    if (connectionState->counted) {
        --this->connections;
    }
    if (!connectionState->transaction.empty()) {
        this->state.abort(connectionState->transaction);
        this->notifyChange();
    }
}

DatabaseServer::Answer
DatabaseServer::statement(const Request &request, const net::HttpHeaders &headers, Connection &connection)
{
    const json::object *statementObject = core::jsonObject(request, "statement");
    const std::optional<Statement> parsed
        = statementObject != nullptr ? Statement::parse(*statementObject) : std::nullopt;
    if (!parsed) {
        co_return this->refuse(Refusal::BadStatement);
    }
    const StatementRequest call{.term = core::jsonInteger(request, "term"),
                                .statement = *parsed,
                                .readOnly = core::jsonBool(request, "read_only"),
                                .requestId = core::jsonString(request, "request_id"),
                                .workspace = core::jsonString(request, "workspace"),
                                .transaction = core::jsonString(request, "transaction"),
                                .minPosition = core::jsonInteger(request, "min_position"),
                                .minTerm = core::jsonInteger(request, "min_term")};
    if (!call.transaction.empty() && call.transaction != connection.transaction) {
        co_return this->refuse(Refusal::UnknownTransaction);
    }
    if (const Refusal refusal = this->state.check(call); refusal != Refusal::None) {
        co_return this->refuse(refusal);
    }
    if (this->slotsInUse >= this->options.slots) {
        this->requestLedger.recordSlotViolation(call);
        co_return net::jsonResponse(429, json::object{{"error", "slots"}});
    }
    ++this->slotsInUse;
    this->requestLedger.recordSlotsInUse(this->slotsInUse);
    co_await this->sleep(this->options.statementMs + parsed->sleepMs);
    StatementAnswer answer = this->state.execute(call);
    const std::int64_t lockDeadline = nowMs() + LockTimeoutMs;
    while (answer.refusal == Refusal::Locked && nowMs() < lockDeadline) {
        co_await this->waitForChange(lockDeadline);
        answer = this->state.execute(call);
    }
    --this->slotsInUse;
    if (answer.refusal == Refusal::Locked && !call.transaction.empty()) {
        // Resolves a deadlock: of two transactions that wait for each other's keys, the first to time out is aborted.
        this->state.abort(call.transaction);
        connection.transaction.clear();
    }
    this->notifyChange();
    if (answer.refusal != Refusal::None) {
        co_return this->refuse(answer);
    }
    this->requestLedger.recordStatement(call, answer, headers);
    co_return this->statementAnswer(answer);
}

DatabaseServer::Answer DatabaseServer::begin(const Request &request, const net::HttpHeaders &, Connection &connection)
{
    const std::string transaction = core::jsonString(request, "transaction");
    const Refusal refusal = connection.transaction.empty()
        ? this->state.begin(transaction, core::jsonInteger(request, "term"), core::jsonString(request, "workspace"))
        : Refusal::UnknownTransaction;
    if (refusal != Refusal::None) {
        co_return this->refuse(refusal);
    }
    connection.transaction = transaction;
    co_return net::jsonResponse(200, json::object{{"transaction", transaction}, {"term", this->state.term()}});
}

DatabaseServer::Answer
DatabaseServer::commit(const Request &request, const net::HttpHeaders &headers, Connection &connection)
{
    const std::string transaction = core::jsonString(request, "transaction");
    const std::string requestId = core::jsonString(request, "request_id");
    const std::string ownTransaction = transaction == connection.transaction ? transaction : std::string();
    const StatementAnswer answer = this->state.commit(ownTransaction, requestId);
    if (!ownTransaction.empty()) {
        this->state.abort(ownTransaction);
        connection.transaction.clear();
    }
    this->notifyChange();
    if (answer.refusal != Refusal::None) {
        co_return this->refuse(answer);
    }
    this->requestLedger.recordCommit(transaction, requestId, answer, headers);
    co_return this->statementAnswer(answer);
}

DatabaseServer::Answer
DatabaseServer::rollback(const Request &request, const net::HttpHeaders &, Connection &connection)
{
    const std::string transaction = core::jsonString(request, "transaction", connection.transaction);
    if (connection.transaction.empty() || transaction != connection.transaction) {
        co_return this->refuse(Refusal::UnknownTransaction);
    }
    this->state.abort(connection.transaction);
    connection.transaction.clear();
    this->notifyChange();
    co_return net::jsonResponse(200, json::object{{"rolled_back", true}});
}

DatabaseServer::Answer DatabaseServer::status(const Request &, const net::HttpHeaders &, Connection &)
{
    co_return net::jsonResponse(200,
                                json::object{{"server", this->options.id},
                                             {"database", this->options.database},
                                             {"role", this->state.isPrimary() ? "primary" : "replica"},
                                             {"term", this->state.term()},
                                             {"fenced_term", this->state.fencedTerm()},
                                             {"position", this->state.applied()},
                                             {"received", this->state.received()},
                                             {"lag_ms", this->state.lagMs(nowMs())},
                                             {"slots_in_use", this->slotsInUse},
                                             {"slots", this->options.slots},
                                             {"connections", this->connections},
                                             {"connection_limit", this->options.connectionLimit},
                                             {"follows", this->state.primaryAddress()},
                                             {"last_term", this->state.log().lastTerm()},
                                             {"term_starts", termStartsToJson(this->state.log().termStarts())}});
}

DatabaseServer::Answer DatabaseServer::wait(const Request &request, const net::HttpHeaders &, Connection &)
{
    const std::int64_t term = core::jsonInteger(request, "term");
    const std::int64_t position = core::jsonInteger(request, "position");
    const std::int64_t deadline = nowMs() + core::jsonInteger(request, "timeout_ms");
    WaitAnswer answer = this->state.checkWait(term, position);
    while (!answer.reached && !answer.final && nowMs() < deadline) {
        co_await this->waitForChange(deadline);
        answer = this->state.checkWait(term, position);
    }
    co_return net::jsonResponse(
        200, json::object{{"reached", answer.reached}, {"term", answer.term}, {"received", answer.received}});
}

DatabaseServer::Answer DatabaseServer::fence(const Request &request, const net::HttpHeaders &, Connection &)
{
    const FenceAnswer answer
        = this->state.fence(core::jsonInteger(request, "term"), core::jsonString(request, "owner"));
    this->notifyChange();
    co_return net::jsonResponse(200,
                                json::object{{"granted", answer.granted},
                                             {"fenced_term", answer.fencedTerm},
                                             {"owner", answer.owner},
                                             {"last_term", answer.lastTerm},
                                             {"received", answer.received}});
}

DatabaseServer::Answer DatabaseServer::promote(const Request &request, const net::HttpHeaders &, Connection &)
{
    const PromoteAnswer answer
        = this->state.promote(core::jsonInteger(request, "term"), core::jsonString(request, "owner"));
    this->restartPull();
    this->notifyChange();
    co_return net::jsonResponse(
        200, json::object{{"promoted", answer.promoted}, {"term", answer.term}, {"position", answer.position}});
}

DatabaseServer::Answer DatabaseServer::follow(const Request &request, const net::HttpHeaders &, Connection &)
{
    const std::int64_t term = core::jsonInteger(request, "term");
    const std::string primary = core::jsonString(request, "primary");
    if (!this->state.isPrimary() && term == this->state.term() && primary == this->state.primaryAddress()) {
        co_return net::jsonResponse(200, json::object{{"term", term}});
    }
    const Refusal refusal = this->state.follow(term, primary);
    if (refusal != Refusal::None) {
        co_return this->refuse(refusal);
    }
    this->restartPull();
    this->notifyChange();
    co_return net::jsonResponse(200, json::object{{"term", term}});
}

DatabaseServer::Answer DatabaseServer::control(const Request &request, const net::HttpHeaders &, Connection &)
{
    this->options.replicationDelayMs
        = core::jsonInteger(request, "replication_delay_ms", this->options.replicationDelayMs);
    this->options.applyDelayMs = core::jsonInteger(request, "apply_delay_ms", this->options.applyDelayMs);
    this->options.statementMs = core::jsonInteger(request, "statement_ms", this->options.statementMs);
    this->options.connectMs = core::jsonInteger(request, "connect_ms", this->options.connectMs);
    co_return net::jsonResponse(200,
                                json::object{{"replication_delay_ms", this->options.replicationDelayMs},
                                             {"apply_delay_ms", this->options.applyDelayMs},
                                             {"statement_ms", this->options.statementMs},
                                             {"connect_ms", this->options.connectMs}});
}

DatabaseServer::Answer DatabaseServer::ledger(const Request &, const net::HttpHeaders &, Connection &connection)
{
    co_return net::jsonResponse(
        200,
        this->requestLedger.toJson(queryNumber(connection.target, "from", 0),
                                   queryNumber(connection.target, "limit", DefaultLedgerLimit)));
}

net::HttpResponse DatabaseServer::refuse(Refusal refusal) const
{
    return this->refuse(
        StatementAnswer{.refusal = refusal, .term = this->state.fencedTerm(), .position = this->state.applied()});
}

net::HttpResponse DatabaseServer::refuse(const StatementAnswer &answer) const
{
    switch (answer.refusal) {
    case Refusal::BadStatement:
        return net::jsonResponse(400, json::object{{"error", "bad_statement"}});
    case Refusal::Behind:
    case Refusal::Diverged:
        return net::jsonResponse(
            425, json::object{{"error", refusalName(answer.refusal)}, {"position", this->state.applied()}});
    default:
        return net::jsonResponse(
            409, json::object{{"error", refusalName(answer.refusal)}, {"term", this->state.fencedTerm()}});
    }
}

net::HttpResponse DatabaseServer::statementAnswer(const StatementAnswer &answer) const
{
    return net::jsonResponse(200,
                             json::object{{"result", answer.result},
                                          {"term", answer.term},
                                          {"position", answer.position},
                                          {"replayed", answer.replayed},
                                          {"role", this->state.isPrimary() ? "primary" : "replica"},
                                          {"lag_ms", this->state.lagMs(nowMs())},
                                          {"term_starts", termStartsToJson(this->state.log().termStarts())}});
}

net::awaitable<void> DatabaseServer::sleep(std::int64_t milliseconds)
{
    if (milliseconds <= 0) {
        co_return;
    }
    asio::steady_timer timer(this->context, std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(UseTuple);
}

net::awaitable<void> DatabaseServer::waitForChange(std::int64_t deadlineMs)
{
    asio::steady_timer timer(this->context, std::chrono::milliseconds(std::max<std::int64_t>(1, deadlineMs - nowMs())));
    const auto registration = this->waiters.insert(this->waiters.end(), &timer);
    co_await timer.async_wait(UseTuple);
    this->waiters.erase(registration);
}

void DatabaseServer::notifyChange()
{
    for (asio::steady_timer *waiter : this->waiters) {
        waiter->cancel();
    }
}

}
