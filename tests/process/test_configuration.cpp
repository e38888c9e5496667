#include "faulttest.h"

#include "core/hashing.h"
#include "core/json.h"
#include "net/httpmessage.h"
#include "tools/blockinghttp.h"
#include "tools/deploymentaddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <csignal>
#include <fstream>

namespace endiveshore::tests {

namespace json = boost::json;
using core::ResultCode;
using tools::CallerAnswer;
using tools::CallerClient;
using tools::ChildProcess;
using tools::Deployment;

namespace {

constexpr std::chrono::milliseconds RequestTimeout{2'000};
constexpr std::chrono::milliseconds CommandLimit{20'000};
constexpr std::chrono::milliseconds RecoveryLimit{10'000};
// Longer than the 2 s after which a daemon without contact to the store and to the members stops serving keyed routes.
constexpr std::chrono::milliseconds LongOutage{5'000};

/// Caller that keeps one open connection per daemon.
class OpenCaller
{
public:
    OpenCaller(const std::string &service, const std::string &key)
        : client(context.get_executor(), service, key)
    {
    }

    CallerAnswer statement(int port, json::object body)
    {
        this->context.restart();
        auto answer = boost::asio::co_spawn(
            this->context, this->client.statement(port, std::move(body), RequestTimeout), boost::asio::use_future);
        this->context.run();
        return answer.get();
    }

private:
    boost::asio::io_context context{1};
    CallerClient client;
};

int code(ResultCode value)
{
    return static_cast<int>(value);
}

}

class ConfigurationTest : public FaultTest
{
protected:
    void SetUp() override
    {
        this->startDeployment();
    }

    std::string writeFile(const std::string &name, const json::object &document) const
    {
        const std::string file = this->deployment->workDirectory() + "/" + name;
        std::ofstream(file) << json::serialize(document);
        return file;
    }

    /// Returns the stored document, including the revision on which the next change must be based.
    json::object storedDocument()
    {
        std::string output;
        EXPECT_EQ(this->deployment->runOperator({"--json", "show", this->service}, &output), 0) << output;
        json::object shown = json::parse(output).as_object();
        if (const json::object *document = core::jsonObject(shown, "document")) {
            return *document;
        }
        return shown;
    }

    static void setBurst(json::object &document, int burst)
    {
        document["workspaces"].as_array()[0].as_object()["burst"] = burst;
    }

    static std::int64_t burstOf(const json::object &document)
    {
        return document.at("workspaces").as_array()[0].as_object().at("burst").to_number<std::int64_t>();
    }

    std::int64_t revisionAt(std::size_t daemon) const
    {
        const std::optional<json::object> reported = this->status(daemon);
        return reported ? reported->at("revision").to_number<std::int64_t>() : 0;
    }

    void setStoreDown(bool down)
    {
        tools::postJson(this->deployment->storePort(), "/standin/control", json::object{{"down", down}});
    }

    void expectServed(std::string_view phase)
    {
        for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
            const std::string value = "statue/" + std::string(phase) + std::to_string(daemon);
            const CallerAnswer answer = this->statement(daemon, this->appendBody(0, "statue", value));
            EXPECT_EQ(answer.outcome, core::Outcome::Done) << phase << ", daemon " << daemon << ": " << answer.message;
        }
    }
};

/// Requirements 4 and 5: requests without a key, or with a wrong, foreign, hashed or shortened key. Guards against a
/// statement that runs without a valid key of its service, and against keys that are sent to backend servers.
TEST_F(ConfigurationTest, WrongKeysRunNothing)
{
    json::object other = this->deployment->serviceDocument();
    other["service"] = "cover-ledger";
    std::string output;
    ASSERT_EQ(this->deployment->runOperator({"accept", this->writeFile("other.json", other)}, &output), 0) << output;
    ASSERT_EQ(this->deployment->runOperator({"--json", "grant", "cover-ledger", "workspace-1"}, &output), 0) << output;
    const std::string foreignKey(json::parse(output).at("key").as_string().c_str());

    const std::tuple<std::string, std::string, ResultCode> cases[] = {
        {"without a key", "", ResultCode::KeyMissing},
        {"unknown key", "ek_unknown", ResultCode::KeyRejected},
        {"key of another service", foreignKey, ResultCode::KeyRejected},
        {"hash of a key", core::sha256Hex(this->deployment->key(0)), ResultCode::KeyRejected},
        {"prefix of a key", this->deployment->key(0).substr(0, 20), ResultCode::KeyRejected},
    };
    for (const auto &[name, key, expected] : cases) {
        OpenCaller caller(this->service, key);
        for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
            const CallerAnswer answer
                = caller.statement(this->deployment->callerPort(daemon), this->appendBody(0, "forged", "forged/1"));
            EXPECT_EQ(answer.code, code(expected)) << name << ", daemon " << daemon;
            EXPECT_EQ(answer.outcome, core::Outcome::NotRun) << name << ", daemon " << daemon;
        }
    }
    OpenCaller foreign("cover-ledger", foreignKey);
    // The first rate tokens of a workspace arrive up to 3 s after its service was accepted.
    EXPECT_TRUE(Deployment::waitUntil(
        [&] {
            return foreign.statement(this->deployment->callerPort(0), this->readBody(0, "statue", "exact")).outcome
                == core::Outcome::Done;
        },
        RecoveryLimit));
    this->expectServed("own key");
    EXPECT_TRUE(this->statement(0, this->readBody(0, "forged", "exact")).result.is_null());
    this->expectCleanLedgers();
    EXPECT_EQ(json::serialize(this->ledger(0, 0)).find(foreignKey), std::string::npos);
}

/// Requirement 6: a withdrawn key is refused within the bound on open connections of all daemons, including daemons cut
/// off from the store. Guards against a daemon that keeps using an old key table.
TEST_F(ConfigurationTest, WithdrawnKeyStopsOnOpenConnections)
{
    // One relay and one daemon that is not a relay lose contact with the store.
    for (const std::size_t daemon : {std::size_t{0}, std::size_t{3}}) {
        this->deployment->setStoreFault(daemon, json::object{{"cut", "both"}});
    }
    OpenCaller caller(this->service, this->deployment->key(1));
    const auto read = [&](std::size_t daemon) {
        return caller.statement(this->deployment->callerPort(daemon), this->readBody(0, "statue", "availability"));
    };
    for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
        CallerAnswer answer;
        // During the start, reads fail until the homes and the rate shares are assigned.
        ASSERT_TRUE(Deployment::waitUntil(
            [&] {
                answer = read(daemon);
                return answer.outcome == core::Outcome::Done;
            },
            RecoveryLimit))
            << "daemon " << daemon << ": " << answer.code << " " << answer.message;
    }
    std::string output;
    const core::TimePoint start = core::Clock::now();
    ASSERT_EQ(
        this->deployment->runOperator({"--wait-ms", "0", "revoke", core::sha256Hex(this->deployment->key(1))}, &output),
        0)
        << output;
    for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(start + ConfigurationBound - core::Clock::now());
        EXPECT_TRUE(
            Deployment::waitUntil([&] { return read(daemon).code == code(ResultCode::KeyRejected); }, remaining))
            << "daemon " << daemon;
    }
    std::cout << "refused by all daemons after " << core::toMilliseconds(core::Clock::now() - start) << " ms\n";
    for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
        EXPECT_EQ(read(daemon).code, code(ResultCode::KeyRejected)) << "daemon " << daemon;
    }
}

/// Section 5 of the design page: a store outage that affects all daemons does not stop the service. Guards against an
/// isolation rule that considers only the store, not the contact between the daemons.
TEST_F(ConfigurationTest, StoreOutageDoesNotStopService)
{
    this->setStoreDown(true);
    const core::TimePoint end = core::Clock::now() + LongOutage;
    for (int round = 0; core::Clock::now() < end; ++round) {
        this->expectServed("outage " + std::to_string(round) + " ");
    }
    for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
        EXPECT_NO_THROW(tools::getJson(this->deployment->callerPort(daemon), "/health/ready")) << "daemon " << daemon;
    }
    this->setStoreDown(false);
    // After the outage, changes reach the daemons again.
    json::object document = this->storedDocument();
    setBurst(document, 222);
    std::string output;
    EXPECT_EQ(this->deployment->runOperator({"--wait-ms", "8000", "accept", this->writeFile("after.json", document)},
                                            &output),
              0)
        << output;
}

/// Requirement 6: a daemon that reaches neither the store nor a majority of members cannot learn of withdrawn keys and
/// must refuse requests on keyed routes. Guards against a daemon that serves from a key table of unknown age.
TEST_F(ConfigurationTest, IsolatedDaemonStopsKeyedRoutes)
{
    ASSERT_TRUE(Deployment::waitUntil(
        [this] { return this->deployment->daemonStatus(0).at("members").as_array().size() == 7; }, RecoveryLimit));
    this->deployment->setStoreFault(0, json::object{{"cut", "both"}});
    for (std::size_t daemon = 1; daemon < this->deployment->daemonCount(); ++daemon) {
        this->deployment->daemon(daemon).sendSignal(SIGSTOP);
    }
    OpenCaller caller(this->service, this->deployment->key(0));
    const auto read = [&] {
        return caller.statement(this->deployment->callerPort(0), this->readBody(0, "statue", "availability"));
    };
    EXPECT_TRUE(Deployment::waitUntil([&] { return read().code == code(ResultCode::Isolated); }, RecoveryLimit));
    net::HttpRequest ready;
    ready.target = "/health/ready";
    EXPECT_EQ(tools::exchangeBlocking(this->deployment->callerPort(0), ready, RequestTimeout).status, 503);
    for (std::size_t daemon = 1; daemon < this->deployment->daemonCount(); ++daemon) {
        this->deployment->daemon(daemon).sendSignal(SIGCONT);
    }
    EXPECT_TRUE(Deployment::waitUntil([&] { return read().outcome == core::Outcome::Done; }, RecoveryLimit));
}

/// Requirement 13: two operators change the same document at the same time. Guards against a change that overwrites
/// the other operator's change or is refused without a reported conflict, a change that takes effect on a daemon later
/// than the bound, and a daemon whose revision decreases.
TEST_F(ConfigurationTest, RacingOperatorsDoNotOverwriteEachOther)
{
    std::vector<std::int64_t> revisions(this->deployment->daemonCount(), 0);
    const auto observe = [&](std::int64_t wanted) {
        bool reached = true;
        for (std::size_t daemon = 0; daemon < revisions.size(); ++daemon) {
            const std::int64_t revision = this->revisionAt(daemon);
            EXPECT_GE(revision, revisions[daemon]) << "daemon " << daemon;
            revisions[daemon] = std::max(revisions[daemon], revision);
            reached = reached && revision >= wanted;
        }
        return reached;
    };
    const std::string store
        = std::string(tools::DeploymentAddress) + ":" + std::to_string(this->deployment->storePort());
    for (int round = 0; round < 6; ++round) {
        const json::object base = this->storedDocument();
        std::vector<ChildProcess> commands;
        for (int operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
            json::object document = base;
            setBurst(document, 300 + 2 * round + operatorIndex);
            const std::string name = "round" + std::to_string(round) + "-" + std::to_string(operatorIndex);
            commands.emplace_back(
                std::string(ENDIVESHORE_BIN_DIR) + "/endiveshore",
                std::vector<std::string>{"--store", store, "accept", this->writeFile(name + ".json", document)},
                this->deployment->workDirectory() + "/" + name + ".out");
        }
        int successfulOperator = -1;
        for (int operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
            const std::optional<int> exitCode
                = commands[static_cast<std::size_t>(operatorIndex)].waitForExit(CommandLimit);
            if (exitCode == 0) {
                EXPECT_EQ(successfulOperator, -1) << "both operators changed the document in round " << round;
                successfulOperator = operatorIndex;
                continue;
            }
            std::ifstream stream(this->deployment->workDirectory() + "/round" + std::to_string(round) + "-"
                                 + std::to_string(operatorIndex) + ".out");
            const std::string output(std::istreambuf_iterator<char>(stream), {});
            EXPECT_NE(output.find(std::to_string(code(ResultCode::DocumentConflict))), std::string::npos) << output;
        }
        ASSERT_NE(successfulOperator, -1) << "no operator changed the document in round " << round;
        const json::object stored = this->storedDocument();
        EXPECT_EQ(burstOf(stored), 300 + 2 * round + successfulOperator);
        const auto revision = stored.at("revision").to_number<std::int64_t>();
        EXPECT_TRUE(Deployment::waitUntil([&] { return observe(revision); }, ConfigurationBound)) << "round " << round;
    }
}

/// Section 5 of the design page: the store applies a change but its answer is lost. Guards against a command that
/// reports a conflict with its own change, or a failure although the change took effect.
TEST_F(ConfigurationTest, LostStoreAnswerEndsWithATrueMessage)
{
    json::object document = this->storedDocument();
    setBurst(document, 231);
    const std::string file = this->writeFile("lost.json", document);
    tools::postJson(this->deployment->storePort(), "/standin/control", json::object{{"lose_answers", 1}});
    std::string output;
    const int exitCode = this->deployment->runOperator({"accept", file}, &output);
    EXPECT_EQ(burstOf(this->storedDocument()), 231);
    EXPECT_EQ(exitCode, 0) << output;
}

}
