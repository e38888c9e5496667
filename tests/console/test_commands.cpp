#include "console/commands.h"

#include "memorystore.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace endiveshore::console {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

/// Simulates daemons, of which one can be unreachable and one below the revision for a number of polls.
class FakePoller : public DaemonPoller
{
public:
    std::vector<DaemonStatus> poll(core::Duration) override
    {
        ++this->rounds;
        std::vector<DaemonStatus> statuses;
        for (int index = 0; index < this->daemons; ++index) {
            DaemonStatus status{.address = "127.0.0.1:" + std::to_string(25100 + index),
                                .reachable = true,
                                .daemon = "vm-" + std::to_string(index),
                                .dataCentre = "Oviedo",
                                .revision = this->revision};
            if (index == this->outdatedDaemon && this->rounds < this->roundsUntilUpToDate) {
                status.revision = this->revision - this->revisionLag;
            }
            if (index == this->unreachableDaemon) {
                status.reachable = false;
                status.error = "connect: refused";
            }
            statuses.push_back(status);
        }
        return statuses;
    }

    int daemons = 3;
    std::int64_t revision = 100;
    int outdatedDaemon = -1;
    std::int64_t revisionLag = 100;
    int unreachableDaemon = -1;
    int roundsUntilUpToDate = 0;
    int rounds = 0;
};

class CommandsTest : public testing::Test
{
protected:
    CommandResult run(std::vector<std::string> arguments, const std::string &input = {})
    {
        std::istringstream stream(input);
        ConfigEditor editor(this->store, {.operatorName = "night", .timeout = 200ms, .retryInterval = 1ms});
        Commands commands(editor, this->poller, stream, this->options);
        return commands.run(arguments);
    }

    static json::object jsonOf(const CommandResult &result)
    {
        std::ostringstream output;
        std::ostringstream errors;
        writeResult(result, true, output, errors);
        EXPECT_EQ(errors.str(), "");
        return json::parse(output.str()).as_object();
    }

    static std::string textOf(const CommandResult &result)
    {
        std::ostringstream output;
        writeResult(result, false, output, output);
        return output.str();
    }

    MemoryStore store;
    FakePoller daemons;
    DaemonPoller *poller = &daemons;
    CommandOptions options{.inForceTimeout = 100ms, .pollTimeout = 10ms, .pollInterval = 1ms};
};

}

// Guards against success reported while one daemon is still below the accepted revision, here for the first 4 polls.
TEST_F(CommandsTest, AcceptWaitsUntilAllDaemonsHaveTheRevision)
{
    this->daemons.outdatedDaemon = 1;
    this->daemons.roundsUntilUpToDate = 5;
    const CommandResult result = this->run({"accept", "-"}, sampleDocument(5));
    EXPECT_EQ(result.code, core::ResultCode::Ok);
    EXPECT_EQ(this->daemons.rounds, 5);
    const json::object object = jsonOf(result);
    EXPECT_EQ(object.at("code"), 0);
    EXPECT_EQ(object.at("revision"), 11);
    EXPECT_EQ(object.at("in_force"), true);
    EXPECT_NE(textOf(result).find("result 0 ok"), std::string::npos);
}

// Guards against success reported while a daemon is unreachable and its revision therefore unknown.
TEST_F(CommandsTest, AcceptReportsDaemonsWithoutTheRevision)
{
    this->daemons.unreachableDaemon = 2;
    const CommandResult result = this->run({"accept", "-"}, sampleDocument(5));
    EXPECT_EQ(result.code, core::ResultCode::NotInForce);
    EXPECT_EQ(result.outcome, core::Outcome::Done);
    EXPECT_EQ(exitCode(result.code), 15);
    EXPECT_NE(result.message.find("127.0.0.1:25102"), std::string::npos) << result.message;
    EXPECT_EQ(result.message.find("127.0.0.1:25101"), std::string::npos) << result.message;
    EXPECT_EQ(jsonOf(result).at("in_force"), false);
    EXPECT_EQ(this->store.revision, 11);
}

// Guards against a change reported as in force although no daemon addresses are configured and none was polled.
TEST_F(CommandsTest, WithoutDaemonsTheResultSaysNotChecked)
{
    this->poller = nullptr;
    const CommandResult result = this->run({"accept", "-"}, sampleDocument(5));
    EXPECT_EQ(result.code, core::ResultCode::Ok);
    EXPECT_TRUE(jsonOf(result).at("in_force").is_null());
}

// Guards against output of `show --json` that `accept` refuses after an edit, and against a second accept of the same
// file that overwrites the first.
TEST_F(CommandsTest, ShownDocumentCanBeEditedAndAccepted)
{
    this->run({"accept", "-"}, sampleDocument(5));
    json::object shown = jsonOf(this->run({"show", "rota-db"}));
    EXPECT_EQ(shown.at("revision"), 11);
    shown.at("databases").at(0).at("slots") = 7;

    const std::string file = testing::TempDir() + "endiveshore-commands-document.json";
    std::ofstream(file) << json::serialize(shown);
    EXPECT_EQ(this->run({"accept", file}).code, core::ResultCode::Ok);
    const CommandResult again = this->run({"accept", file});
    std::remove(file.c_str());
    EXPECT_EQ(again.code, core::ResultCode::DocumentConflict);
    EXPECT_EQ(jsonOf(again).at("revision"), 12);
    EXPECT_EQ(jsonOf(again).at("outcome"), "not_run");
    EXPECT_EQ(jsonOf(this->run({"show", "rota-db"})).at("databases").at(0).at("slots"), 7);
}

// Guards against a refused document whose error does not name the offending field.
TEST_F(CommandsTest, InvalidDocumentIsReportedWithItsPath)
{
    const CommandResult result = this->run({"accept", "-"}, sampleDocument(0));
    EXPECT_EQ(jsonOf(result).at("code"), 502);
    EXPECT_EQ(jsonOf(result).at("path"), "databases[0].slots");
    EXPECT_EQ(textOf(result).find("result 502 invalid_document (not_run): databases[0].slots: "), 0U) << textOf(result);
}

// Guards against a granted key that is not shown because a daemon is unreachable, although the key is stored, and
// against other commands that print a key in the clear.
TEST_F(CommandsTest, GrantShowsTheKeyOnceEvenIfADaemonIsUnreachable)
{
    this->run({"accept", "-"}, sampleDocument(5));
    this->daemons.unreachableDaemon = 0;
    const CommandResult granted = this->run({"grant", "rota-db", "plaza"});
    EXPECT_EQ(granted.code, core::ResultCode::NotInForce);
    const std::string key(jsonOf(granted).at("key").as_string().c_str());
    EXPECT_EQ(key.find("ek_"), 0U);
    EXPECT_NE(textOf(granted).find(key), std::string::npos);

    const CommandResult listed = this->run({"keys"});
    EXPECT_EQ(textOf(listed).find(key), std::string::npos);
    EXPECT_NE(textOf(listed).find(access::hashKey(key)), std::string::npos);
    const CommandResult shown = this->run({"show", "rota-db"});
    EXPECT_EQ(textOf(shown).find(key), std::string::npos);

    this->daemons.unreachableDaemon = -1;
    const CommandResult revoked = this->run({"revoke", "-"}, key + "\n");
    EXPECT_EQ(revoked.code, core::ResultCode::Ok);
    EXPECT_EQ(textOf(revoked).find(key), std::string::npos);
    EXPECT_TRUE(jsonOf(this->run({"keys", "rota-db"})).at("keys").as_array().empty());
    const CommandResult unknown = this->run({"revoke", key});
    EXPECT_EQ(unknown.code, core::ResultCode::NotFound);
    EXPECT_EQ(textOf(unknown).find(key), std::string::npos);
}

// Guards against a key that cannot be revoked by the hash that `grant` and `keys` print.
TEST_F(CommandsTest, RevokeTakesTheHash)
{
    this->run({"accept", "-"}, sampleDocument(5));
    const json::object granted = jsonOf(this->run({"grant", "rota-db", "museo"}));
    EXPECT_EQ(this->run({"revoke", granted.at("hash").as_string().c_str()}).code, core::ResultCode::Ok);
    EXPECT_TRUE(jsonOf(this->run({"keys"})).at("keys").as_array().empty());
}

// Guards against `status` that shows no daemons while the store is unavailable, or that reports success while a daemon
// lacks the newest change.
TEST_F(CommandsTest, StatusShowsDaemonsAlsoWithoutTheStore)
{
    this->run({"accept", "-"}, sampleDocument(5));
    EXPECT_EQ(this->run({"status"}).code, core::ResultCode::Ok);

    // One daemon lacks a removal, which leaves no entry in the store.
    this->daemons.outdatedDaemon = 1;
    this->daemons.revisionLag = 1;
    this->daemons.roundsUntilUpToDate = 1000;
    const CommandResult behind = this->run({"status"});
    EXPECT_EQ(behind.code, core::ResultCode::NotInForce);
    EXPECT_NE(behind.message.find("127.0.0.1:25101"), std::string::npos) << behind.message;

    this->store.failingCalls = 1'000'000;
    const CommandResult down = this->run({"status"});
    EXPECT_EQ(down.code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(down.outcome, core::Outcome::NotRun);
    EXPECT_EQ(jsonOf(down).at("daemons").as_array().size(), 3U);
}

// Guards against commands that reach the store with missing, superfluous or invalid arguments.
TEST_F(CommandsTest, WrongUsageEndsWithExitCodeTwo)
{
    for (const std::vector<std::string> &arguments :
         std::vector<std::vector<std::string>>{{},
                                               {"acept", "file"},
                                               {"accept"},
                                               {"grant", "rota-db"},
                                               {"status", "now"},
                                               {"revoke", "-"},
                                               {"show", "../keys"},
                                               {"accept", "/no/such/file"}}) {
        EXPECT_EQ(exitCode(this->run(arguments).code), 2) << testing::PrintToString(arguments);
    }
    EXPECT_EQ(this->store.calls, 0);
}

// Guards against changed exit codes, which scripts rely on to distinguish the groups of result codes.
TEST(ExitCode, FollowsTheHundredsOfTheResultCode)
{
    EXPECT_EQ(exitCode(core::ResultCode::Ok), 0);
    EXPECT_EQ(exitCode(core::ResultCode::InvalidSetting), 2);
    EXPECT_EQ(exitCode(core::ResultCode::DocumentConflict), 15);
    EXPECT_EQ(exitCode(core::ResultCode::MalformedRequest), 11);
}

}
