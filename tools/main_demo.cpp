#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"
#include "tools/blockinghttp.h"
#include "tools/callerclient.h"
#include "tools/deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace endiveshore::tools {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds RequestTimeout{5'000};
constexpr std::chrono::milliseconds FailoverBound{6'000};
constexpr std::chrono::milliseconds ConfigurationBound{3'000};
constexpr std::chrono::milliseconds KeyPollInterval{20};

/// Runs the steps of the demo and prints one table row per step.
class Demo
{
public:
    explicit Demo(Deployment &deployment, std::string service)
        : deployment(deployment)
        , service(std::move(service))
    {
    }

    int run()
    {
        const std::pair<std::string_view, bool (Demo::*)()> steps[] = {
            {"a write through one daemon is acknowledged", &Demo::writeOnce},
            {"the session reads its write through the other daemons", &Demo::readThroughOtherDaemons},
            {"a two-statement transaction over three daemons commits", &Demo::runTransaction},
            {"requests without a key or with a wrong key are refused", &Demo::refuseWrongKeys},
            {"a repeated request id is answered without a second run", &Demo::repeatRequest},
            {"service resumes after the primary is killed", &Demo::killPrimary},
            {"all acknowledged writes survive the change of primary", &Demo::checkAcknowledgedWrites},
            {"a withdrawn key stops on an open connection", &Demo::withdrawKey},
            {"an accepted document is in force on every daemon", &Demo::acceptDocument},
            {"no backend server has seen a key", &Demo::checkLedgers},
        };
        bool allPassed = true;
        for (const auto &[name, step] : steps) {
            this->detail.clear();
            bool passed = false;
            try {
                passed = (this->*step)();
            } catch (const std::exception &error) {
                this->detail = error.what();
            }
            allPassed = allPassed && passed;
            std::cout << (passed ? "  ok    " : "  FAIL  ") << std::left << std::setw(58) << name << ' ' << this->detail
                      << std::endl;
        }
        return allPassed ? 0 : 1;
    }

private:
    template<typename Call>
    CallerAnswer runCall(Call call)
    {
        boost::asio::io_context context(1);
        CallerClient client(context.get_executor(), this->service, this->deployment.key(0));
        client.setSessionToken(this->token);
        auto answer = boost::asio::co_spawn(context, call(client), boost::asio::use_future);
        context.run();
        this->token = client.sessionToken();
        return answer.get();
    }

    CallerAnswer statement(std::size_t daemon, json::object body)
    {
        const int port = this->deployment.callerPort(daemon);
        return this->runCall([port, body](CallerClient &client) -> net::awaitable<CallerAnswer> {
            json::object copy = body;
            co_return co_await client.statement(port, std::move(copy), RequestTimeout);
        });
    }

    CallerAnswer post(std::size_t daemon, std::string target, json::object body)
    {
        const int port = this->deployment.callerPort(daemon);
        return this->runCall([port, target, body](CallerClient &client) -> net::awaitable<CallerAnswer> {
            json::object copy = body;
            std::string path = target;
            co_return co_await client.post(port, std::move(path), std::move(copy), RequestTimeout);
        });
    }

    json::object appendBody(const std::string &value, const std::string &requestId) const
    {
        return {{"database", this->deployment.databaseName(0)},
                {"route", "book"},
                {"request_id", requestId},
                {"statement", json::object{{"op", "append"}, {"key", "statue"}, {"value", value}}}};
    }

    json::object readBody(std::string_view key, std::string_view route = "own-bookings") const
    {
        return {{"database", this->deployment.databaseName(0)},
                {"route", route},
                {"statement", json::object{{"op", "get"}, {"key", key}}}};
    }

    static bool containsValue(const CallerAnswer &answer, std::string_view value)
    {
        if (!answer.result.is_array()) {
            return false;
        }
        const json::array &values = answer.result.as_array();
        return std::any_of(values.begin(), values.end(), [value](const json::value &item) {
            return item.is_string() && std::string_view(item.as_string().data(), item.as_string().size()) == value;
        });
    }

    bool writeOnce()
    {
        const CallerAnswer answer = this->statement(0, this->appendBody("coat-1", "request-1"));
        this->detail = answer.outcome == core::Outcome::Done ? "server " + answer.server : answer.message;
        this->acknowledged.push_back("coat-1");
        return answer.outcome == core::Outcome::Done && !this->token.empty();
    }

    bool readThroughOtherDaemons()
    {
        std::size_t replicas = 0;
        for (std::size_t daemon = 1; daemon < this->deployment.daemonCount(); ++daemon) {
            const CallerAnswer answer = this->statement(daemon, this->readBody("statue"));
            if (!containsValue(answer, "coat-1")) {
                this->detail = this->deployment.daemonName(daemon) + ": " + answer.message;
                return false;
            }
            replicas += answer.role == "replica" ? 1 : 0;
        }
        this->detail = std::to_string(replicas) + " of " + std::to_string(this->deployment.daemonCount() - 1)
            + " reads from replicas";
        return true;
    }

    bool runTransaction()
    {
        const json::object begin{{"database", this->deployment.databaseName(0)}, {"route", "book"}};
        const CallerAnswer opened = this->post(1, "/v1/transactions", begin);
        if (!opened.result.is_string()) {
            this->detail = "begin: " + opened.message;
            return false;
        }
        for (const std::string_view key : {"crew-a", "crew-b"}) {
            const json::object body{{"database", this->deployment.databaseName(0)},
                                    {"route", "book"},
                                    {"transaction", opened.result},
                                    {"statement", json::object{{"op", "append"}, {"key", key}, {"value", "shift-1"}}}};
            const CallerAnswer answer = this->statement(key == "crew-a" ? 2 : 3, body);
            if (answer.outcome != core::Outcome::Done) {
                this->detail = "statement: " + answer.message;
                return false;
            }
        }
        const json::object commit{
            {"database", this->deployment.databaseName(0)}, {"transaction", opened.result}, {"request_id", "commit-1"}};
        const CallerAnswer committed = this->post(4, "/v1/transactions/commit", commit);
        this->detail = committed.message;
        return committed.outcome == core::Outcome::Done
            && containsValue(this->statement(5, this->readBody("crew-a")), "shift-1")
            && containsValue(this->statement(6, this->readBody("crew-b")), "shift-1");
    }

    bool refuseWrongKeys()
    {
        const int port = this->deployment.callerPort(0);
        json::object body = this->readBody("statue");
        body["service"] = this->service;
        const net::HttpRequest without = net::jsonRequest("/v1/statements", body);
        net::HttpRequest wrong = without;
        wrong.headers.emplace_back("Authorization", "Bearer ek_wrong");
        const int first = exchangeBlocking(port, without, RequestTimeout).status;
        const int second = exchangeBlocking(port, wrong, RequestTimeout).status;
        this->detail = "status " + std::to_string(first) + " and " + std::to_string(second);
        return first == 401 && second == 401;
    }

    bool repeatRequest()
    {
        const CallerAnswer again = this->statement(2, this->appendBody("coat-1", "request-1"));
        const CallerAnswer read = this->statement(3, this->readBody("statue"));
        const std::size_t count = read.result.is_array() ? read.result.as_array().size() : 0;
        this->detail = "replayed, " + std::to_string(count) + " value";
        return again.replayed && count == 1;
    }

    bool killPrimary()
    {
        const auto start = std::chrono::steady_clock::now();
        this->deployment.server(0, 0).sendSignal(SIGKILL);
        for (int attempt = 0; std::chrono::steady_clock::now() - start < FailoverBound; ++attempt) {
            const std::string value = "coat-after-" + std::to_string(attempt);
            const CallerAnswer answer = this->statement(1, this->appendBody(value, "request-" + value));
            if (answer.outcome != core::Outcome::Done) {
                this->detail = answer.message;
                continue;
            }
            this->acknowledged.push_back(value);
            const auto gap
                = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
            this->detail = "gap " + std::to_string(gap.count()) + " ms, now " + answer.server + " in term "
                + std::to_string(answer.term);
            return gap <= FailoverBound && answer.term > 1;
        }
        return false;
    }

    bool checkAcknowledgedWrites()
    {
        const CallerAnswer answer = this->statement(4, this->readBody("statue", "exact"));
        for (const std::string &value : this->acknowledged) {
            if (!containsValue(answer, value)) {
                this->detail = "missing " + value + " " + answer.message;
                return false;
            }
        }
        this->detail = std::to_string(this->acknowledged.size()) + " writes";
        return true;
    }

    bool withdrawKey()
    {
        boost::asio::io_context context(1);
        CallerClient client(context.get_executor(), this->service, this->deployment.key(1));
        const auto read = [&]() -> CallerAnswer {
            context.restart();
            json::object body = this->readBody("statue", "availability");
            auto answer = boost::asio::co_spawn(
                context,
                client.statement(this->deployment.callerPort(2), std::move(body), RequestTimeout),
                boost::asio::use_future);
            context.run();
            return answer.get();
        };
        if (read().outcome != core::Outcome::Done) {
            this->detail = "the key was not accepted before it was revoked";
            return false;
        }
        std::string output;
        const auto start = std::chrono::steady_clock::now();
        if (this->deployment.runOperator({"revoke", core::sha256Hex(this->deployment.key(1))}, &output) != 0) {
            this->detail = "revoke: " + output;
            return false;
        }
        const bool stopped = Deployment::waitUntil(
            [&read] { return read().code == static_cast<int>(core::ResultCode::KeyRejected); }, ConfigurationBound);
        const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
        this->detail = std::to_string(elapsed.count()) + " ms after the command began";
        return stopped;
    }

    bool acceptDocument()
    {
        std::string output;
        if (this->deployment.runOperator({"--json", "show", this->service}, &output) != 0) {
            this->detail = "show: " + output;
            return false;
        }
        json::object shown = json::parse(output).as_object();
        if (const json::object *document = core::jsonObject(shown, "document")) {
            json::object inner = *document;
            if (shown.contains("revision") && !inner.contains("revision")) {
                inner["revision"] = shown["revision"];
            }
            shown = std::move(inner);
        }
        shown["workspaces"].as_array()[0].as_object()["burst"] = 210;
        const std::string file = this->deployment.workDirectory() + "/edited.json";
        std::ofstream(file) << json::serialize(shown);
        const auto start = std::chrono::steady_clock::now();
        const int exitCode = this->deployment.runOperator(
            {"--wait-ms", std::to_string(ConfigurationBound.count()), "accept", file}, &output);
        const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
        this->detail = exitCode == 0 ? std::to_string(elapsed.count()) + " ms" : output;
        return exitCode == 0 && elapsed <= ConfigurationBound;
    }

    bool checkLedgers()
    {
        std::size_t servers = 0;
        for (std::size_t database = 0; database < 3; ++database) {
            for (std::size_t server = 0; server < 3; ++server) {
                if (!this->deployment.server(database, server).isRunning()) {
                    continue;
                }
                const std::string ledger
                    = json::serialize(getJson(this->deployment.databasePort(database, server), "/ledger"));
                for (std::size_t workspace = 0; workspace < this->deployment.workspaceNames().size(); ++workspace) {
                    if (ledger.find(this->deployment.key(workspace)) != std::string::npos) {
                        this->detail = "a ledger holds the key of workspace " + std::to_string(workspace);
                        return false;
                    }
                }
                ++servers;
            }
        }
        this->detail = std::to_string(servers) + " ledgers searched";
        return servers == 8;
    }

    Deployment &deployment;
    std::string service;
    std::string token;
    std::string detail;
    std::vector<std::string> acknowledged;
};

}

}

/// Starts a deployment of the present size, exercises the interfaces of callers and operators, and prints a table of
/// the steps. Exits with 0 if all steps passed.
int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3) {
        std::cerr << "usage: demo BINARY-DIRECTORY WORK-DIRECTORY\n";
        return 2;
    }
    try {
        endiveshore::tools::DeploymentOptions options;
        options.binaryDirectory = arguments[1];
        options.workDirectory = arguments[2];
        const std::string service = options.service;
        endiveshore::tools::Deployment deployment(std::move(options));
        deployment.start();
        std::cout << "7 daemons, 9 backend servers, store, VM list and fault proxy are running\n";
        return endiveshore::tools::Demo(deployment, service).run();
    } catch (const std::exception &error) {
        std::cerr << "demo: " << error.what() << '\n';
        return 1;
    }
}
