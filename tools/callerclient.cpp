#include "tools/callerclient.h"

#include "core/error.h"
#include "core/json.h"
#include "tools/deploymentaddress.h"

namespace endiveshore::tools {

namespace {

// The daemon responds no later than the deadline of the request. The margin covers delays on a busy machine.
constexpr core::Milliseconds AnswerMargin{1'000};
constexpr core::Milliseconds ConnectTimeout{500};

CallerAnswer parseAnswer(const net::HttpResponse &response)
{
    const boost::json::object body = core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
    CallerAnswer answer;
    answer.outcome
        = core::outcomeFromName(core::jsonString(body, "outcome", response.status == 200 ? "done" : "unknown"));
    answer.code = static_cast<int>(core::jsonInteger(body, "code"));
    answer.message = core::jsonString(body, "message");
    if (const boost::json::value *result = body.if_contains("result")) {
        answer.result = *result;
    } else if (const boost::json::value *transaction = body.if_contains("transaction")) {
        answer.result = *transaction;
    }
    answer.server = core::jsonString(body, "server");
    answer.role = core::jsonString(body, "role");
    answer.term = static_cast<std::uint64_t>(core::jsonInteger(body, "term"));
    answer.position = static_cast<std::uint64_t>(core::jsonInteger(body, "position"));
    answer.replayed = core::jsonBool(body, "replayed");
    return answer;
}

}

CallerClient::CallerClient(net::Executor executor, std::string service, std::string key)
    : executor(std::move(executor))
    , service(std::move(service))
    , key(std::move(key))
{
}

net::awaitable<CallerAnswer> CallerClient::statement(int port, boost::json::object body, core::Duration timeout)
{
    co_return co_await this->post(port, "/v1/statements", std::move(body), timeout);
}

net::awaitable<CallerAnswer>
CallerClient::post(int port, std::string target, boost::json::object body, core::Duration timeout)
{
    body["service"] = this->service;
    body["timeout_ms"] = core::toMilliseconds(timeout);
    net::HttpRequest request = net::jsonRequest(target, body);
    if (!this->key.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + this->key);
    }
    if (!this->token.empty()) {
        request.headers.emplace_back("Endiveshore-Session", this->token);
    }
    CallerAnswer answer;
    try {
        net::HttpClientConnection &connection = this->connectionTo(port);
        if (!connection.isOpen()) {
            const net::TcpEndpoint endpoint = deploymentEndpoint(port);
            co_await connection.connect(endpoint, ConnectTimeout);
        }
        const net::HttpResponse response = co_await connection.exchange(std::move(request), timeout + AnswerMargin);
        answer = parseAnswer(response);
        const std::string_view newToken = net::headerValue(response.headers, "Endiveshore-Session");
        if (!newToken.empty()) {
            this->token = std::string(newToken);
        }
    } catch (const core::Error &error) {
        answer.outcome = error.outcome;
        answer.code = -1;
        answer.message = error.message;
    }
    co_return answer;
}

const std::string &CallerClient::sessionToken() const
{
    return this->token;
}

void CallerClient::setSessionToken(std::string newToken)
{
    this->token = std::move(newToken);
}

void CallerClient::setKey(std::string newKey)
{
    this->key = std::move(newKey);
}

net::HttpClientConnection &CallerClient::connectionTo(int port)
{
    const auto existing = this->connections.find(port);
    if (existing != this->connections.end()) {
        if (!existing->second.isOpen()) {
            existing->second = net::HttpClientConnection(this->executor);
        }
        return existing->second;
    }
    return this->connections.emplace(port, net::HttpClientConnection(this->executor)).first->second;
}

}
