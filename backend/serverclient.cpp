#include "backend/serverclient.h"

#include "core/json.h"

namespace endiveshore::backend {

namespace json = boost::json;

namespace {

json::object parseAnswer(std::string_view body)
{
    boost::leaf::result<json::object> parsed = core::parseJsonObject(body);
    if (!parsed) {
        throw core::Error(core::ResultCode::AnswerLost, "the server's answer is not a JSON object");
    }
    return std::move(*parsed);
}

std::vector<TermStart> termStartsOf(const json::object &answer)
{
    std::vector<TermStart> termStarts;
    const json::array *array = core::jsonArray(answer, "term_starts");
    if (array == nullptr) {
        return termStarts;
    }
    for (const json::value &value : *array) {
        const json::array *pair = value.if_array();
        if (pair != nullptr && pair->size() == 2 && (*pair)[0].is_int64() && (*pair)[1].is_int64()) {
            termStarts.push_back({.term = (*pair)[0].as_int64(), .start = (*pair)[1].as_int64()});
        }
    }
    return termStarts;
}

StatementResult statementResultOf(const json::object &answer)
{
    StatementResult result;
    const std::string error = core::jsonString(answer, "error");
    result.position = core::jsonInteger(answer, "position");
    if (!error.empty()) {
        result.state = error == "diverged" ? StatementResult::State::Diverged : StatementResult::State::Behind;
        return result;
    }
    if (const json::value *value = answer.if_contains("result")) {
        result.result = *value;
    }
    result.term = core::jsonInteger(answer, "term");
    result.replayed = core::jsonBool(answer, "replayed");
    result.primary = core::jsonString(answer, "role") == "primary";
    result.lagMs = core::jsonInteger(answer, "lag_ms");
    result.termStarts = termStartsOf(answer);
    return result;
}

[[noreturn]] void throwConflict(const json::object &answer)
{
    const std::string error = core::jsonString(answer, "error");
    if (error == "wrong_term" || error == "not_primary" || error == "fenced") {
        throw TermChangedError(error, core::jsonInteger(answer, "term"));
    }
    throw core::Error(core::ResultCode::TransactionAborted, "the server refused: " + error);
}

}

ServerClient::ServerClient(const net::Executor &executor)
    : connection(executor)
{
}

net::awaitable<void> ServerClient::connect(net::TcpEndpoint endpoint, core::Duration timeout)
{
    co_await this->connection.connect(endpoint, timeout);
}

bool ServerClient::isOpen() const
{
    return this->connection.isOpen();
}

void ServerClient::close()
{
    this->connection.close();
}

net::awaitable<json::object> ServerClient::call(net::HttpRequest request, core::Duration timeout)
{
    const net::HttpResponse response = co_await this->connection.exchange(std::move(request), timeout);
    switch (response.status) {
    case 200:
    case 425:
        co_return parseAnswer(response.body);
    case 400:
        throw core::Error(core::ResultCode::BadStatement, "the server does not accept the statement");
    case 409:
        throwConflict(parseAnswer(response.body));
    case 429:
        throw core::Error(core::ResultCode::QueueFull, "the server has no free slot");
    case 503:
        // The server is above its connection limit and serves nothing on this connection.
        this->close();
        throw core::Error(core::ResultCode::BackendUnreachable, "the server refuses the connection");
    default:
        throw core::Error(core::ResultCode::AnswerLost,
                          "unexpected status " + std::to_string(response.status) + " from the server");
    }
}

net::awaitable<StatementResult> ServerClient::statement(StatementCall call, core::Duration timeout)
{
    json::object body{{"term", call.term},
                      {"statement", std::move(call.statement)},
                      {"read_only", call.readOnly},
                      {"workspace", call.workspace}};
    if (!call.requestId.empty()) {
        body["request_id"] = call.requestId;
    }
    if (!call.transaction.empty()) {
        body["transaction"] = call.transaction;
    }
    if (call.minTerm > 0) {
        body["min_position"] = call.minPosition;
        body["min_term"] = call.minTerm;
    }
    net::HttpRequest request = net::jsonRequest("/statement", body);
    const json::object answer = co_await this->call(std::move(request), timeout);
    co_return statementResultOf(answer);
}

net::awaitable<void>
ServerClient::begin(std::int64_t term, std::string workspace, std::string transaction, core::Duration timeout)
{
    const json::object body{{"term", term}, {"workspace", workspace}, {"transaction", transaction}};
    net::HttpRequest request = net::jsonRequest("/begin", body);
    co_await this->call(std::move(request), timeout);
}

net::awaitable<StatementResult>
ServerClient::commit(std::string transaction, std::string requestId, core::Duration timeout)
{
    const json::object body{{"transaction", transaction}, {"request_id", requestId}};
    net::HttpRequest request = net::jsonRequest("/commit", body);
    const json::object answer = co_await this->call(std::move(request), timeout);
    co_return statementResultOf(answer);
}

net::awaitable<void> ServerClient::rollback(std::string transaction, core::Duration timeout)
{
    const json::object body{{"transaction", transaction}};
    net::HttpRequest request = net::jsonRequest("/rollback", body);
    co_await this->call(std::move(request), timeout);
}

net::awaitable<ServerStatus> ServerClient::status(core::Duration timeout)
{
    net::HttpRequest request{.method = "GET", .target = "/status", .headers = {}, .body = {}};
    const json::object answer = co_await this->call(std::move(request), timeout);
    ServerStatus status;
    status.server = core::jsonString(answer, "server");
    status.database = core::jsonString(answer, "database");
    status.primary = core::jsonString(answer, "role") == "primary";
    status.term = core::jsonInteger(answer, "term");
    status.fencedTerm = core::jsonInteger(answer, "fenced_term");
    status.position = core::jsonInteger(answer, "position");
    status.received = core::jsonInteger(answer, "received");
    status.lagMs = core::jsonInteger(answer, "lag_ms");
    status.slotsInUse = core::jsonInteger(answer, "slots_in_use");
    status.slots = core::jsonInteger(answer, "slots");
    status.connections = core::jsonInteger(answer, "connections");
    status.connectionLimit = core::jsonInteger(answer, "connection_limit");
    status.termStarts = termStartsOf(answer);
    co_return status;
}

net::awaitable<WaitResult>
ServerClient::wait(std::int64_t term, std::int64_t position, core::Duration waitTime, core::Duration timeout)
{
    const json::object body{{"term", term}, {"position", position}, {"timeout_ms", core::toMilliseconds(waitTime)}};
    net::HttpRequest request = net::jsonRequest("/wait", body);
    const json::object answer = co_await this->call(std::move(request), timeout);
    co_return WaitResult{.reached = core::jsonBool(answer, "reached"),
                         .term = core::jsonInteger(answer, "term"),
                         .received = core::jsonInteger(answer, "received")};
}

net::awaitable<FenceResult> ServerClient::fence(std::int64_t term, std::string owner, core::Duration timeout)
{
    const json::object body{{"term", term}, {"owner", owner}};
    net::HttpRequest request = net::jsonRequest("/fence", body);
    const json::object answer = co_await this->call(std::move(request), timeout);
    co_return FenceResult{.granted = core::jsonBool(answer, "granted"),
                          .fencedTerm = core::jsonInteger(answer, "fenced_term"),
                          .owner = core::jsonString(answer, "owner"),
                          .lastTerm = core::jsonInteger(answer, "last_term"),
                          .received = core::jsonInteger(answer, "received")};
}

net::awaitable<PromoteResult> ServerClient::promote(std::int64_t term, std::string owner, core::Duration timeout)
{
    const json::object body{{"term", term}, {"owner", owner}};
    net::HttpRequest request = net::jsonRequest("/promote", body);
    const json::object answer = co_await this->call(std::move(request), timeout);
    co_return PromoteResult{.promoted = core::jsonBool(answer, "promoted"),
                            .term = core::jsonInteger(answer, "term"),
                            .position = core::jsonInteger(answer, "position")};
}

net::awaitable<void> ServerClient::follow(std::int64_t term, std::string primaryAddress, core::Duration timeout)
{
    const json::object body{{"term", term}, {"primary", primaryAddress}};
    net::HttpRequest request = net::jsonRequest("/follow", body);
    co_await this->call(std::move(request), timeout);
}

}
