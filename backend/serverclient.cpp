#include "backend/serverclient.h"

#include "core/json.h"

namespace endiveshore::backend {

namespace json = boost::json;

namespace {

json::object parseResponse(std::string_view body)
{
    boost::leaf::result<json::object> parsed = core::parseJsonObject(body);
    if (!parsed) {
        throw core::Error(core::ResultCode::AnswerLost, "the server's response is not a JSON object");
    }
    return std::move(*parsed);
}

std::vector<TermStart> parseTermStarts(const json::object &response)
{
    std::vector<TermStart> termStarts;
    const json::array *array = core::jsonArray(response, "term_starts");
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

StatementResult parseStatementResult(const json::object &response)
{
    StatementResult result;
    const std::string error = core::jsonString(response, "error");
    result.position = core::jsonInteger(response, "position");
    if (!error.empty()) {
        result.state = error == "diverged" ? StatementResult::State::Diverged : StatementResult::State::Behind;
        return result;
    }
    if (const json::value *value = response.if_contains("result")) {
        result.result = *value;
    }
    result.term = core::jsonInteger(response, "term");
    result.replayed = core::jsonBool(response, "replayed");
    result.primary = core::jsonString(response, "role") == "primary";
    result.lagMs = core::jsonInteger(response, "lag_ms");
    result.termStarts = parseTermStarts(response);
    return result;
}

[[noreturn]] void throwConflict(const json::object &response)
{
    const std::string error = core::jsonString(response, "error");
    if (error == "wrong_term" || error == "not_primary" || error == "fenced") {
        throw TermChangedError(error, core::jsonInteger(response, "term"));
    }
    throw core::Error(core::ResultCode::TransactionAborted, "the server refused the call: " + error);
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
        co_return parseResponse(response.body);
    case 400:
        throw core::Error(core::ResultCode::BadStatement, "the server rejected the statement as invalid");
    case 409:
        throwConflict(parseResponse(response.body));
    case 429:
        throw core::Error(core::ResultCode::QueueFull, "the server has no free slot");
    case 503:
        // The server is above its connection limit and serves no request on this connection.
        this->close();
        throw core::Error(core::ResultCode::BackendUnreachable,
                          "the server refused the connection: connection limit reached");
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
    const json::object response = co_await this->call(std::move(request), timeout);
    co_return parseStatementResult(response);
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
    const json::object response = co_await this->call(std::move(request), timeout);
    co_return parseStatementResult(response);
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
    const json::object response = co_await this->call(std::move(request), timeout);
    ServerStatus status;
    status.server = core::jsonString(response, "server");
    status.database = core::jsonString(response, "database");
    status.primary = core::jsonString(response, "role") == "primary";
    status.term = core::jsonInteger(response, "term");
    status.fencedTerm = core::jsonInteger(response, "fenced_term");
    status.position = core::jsonInteger(response, "position");
    status.received = core::jsonInteger(response, "received");
    status.lagMs = core::jsonInteger(response, "lag_ms");
    status.slotsInUse = core::jsonInteger(response, "slots_in_use");
    status.slots = core::jsonInteger(response, "slots");
    status.connections = core::jsonInteger(response, "connections");
    status.connectionLimit = core::jsonInteger(response, "connection_limit");
    status.termStarts = parseTermStarts(response);
    co_return status;
}

net::awaitable<WaitResult>
ServerClient::wait(std::int64_t term, std::int64_t position, core::Duration waitTime, core::Duration timeout)
{
    const json::object body{{"term", term}, {"position", position}, {"timeout_ms", core::toMilliseconds(waitTime)}};
    net::HttpRequest request = net::jsonRequest("/wait", body);
    const json::object response = co_await this->call(std::move(request), timeout);
    co_return WaitResult{.reached = core::jsonBool(response, "reached"),
                         .term = core::jsonInteger(response, "term"),
                         .received = core::jsonInteger(response, "received")};
}

net::awaitable<FenceResult> ServerClient::fence(std::int64_t term, std::string owner, core::Duration timeout)
{
    const json::object body{{"term", term}, {"owner", owner}};
    net::HttpRequest request = net::jsonRequest("/fence", body);
    const json::object response = co_await this->call(std::move(request), timeout);
    co_return FenceResult{.granted = core::jsonBool(response, "granted"),
                          .fencedTerm = core::jsonInteger(response, "fenced_term"),
                          .owner = core::jsonString(response, "owner"),
                          .lastTerm = core::jsonInteger(response, "last_term"),
                          .received = core::jsonInteger(response, "received")};
}

net::awaitable<PromoteResult> ServerClient::promote(std::int64_t term, std::string owner, core::Duration timeout)
{
    const json::object body{{"term", term}, {"owner", owner}};
    net::HttpRequest request = net::jsonRequest("/promote", body);
    const json::object response = co_await this->call(std::move(request), timeout);
    co_return PromoteResult{.promoted = core::jsonBool(response, "promoted"),
                            .term = core::jsonInteger(response, "term"),
                            .position = core::jsonInteger(response, "position")};
}

net::awaitable<void> ServerClient::follow(std::int64_t term, std::string primaryAddress, core::Duration timeout)
{
    const json::object body{{"term", term}, {"primary", primaryAddress}};
    net::HttpRequest request = net::jsonRequest("/follow", body);
    co_await this->call(std::move(request), timeout);
}

}
