#include "console/platformconfigstore.h"
#include "memorystore.h"
#include "tests/support/childprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace endiveshore::console {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t StorePort = 25310;

void waitForPort(std::uint16_t port)
{
    boost::asio::io_context context;
    for (int attempt = 0; attempt < 500; ++attempt) {
        boost::asio::ip::tcp::socket socket(context);
        boost::system::error_code connectError;
        socket.connect({boost::asio::ip::address_v4::loopback(), port}, connectError);
        if (!connectError) {
            return;
        }
        std::this_thread::sleep_for(10ms);
    }
    ADD_FAILURE() << "nothing listens on port " << port;
}

/// Runs the program `endiveshore` against a `standin-store` process.
class ProgramTest : public testing::Test
{
protected:
    ProgramTest()
        : store("standin-store", {"--listen", "127.0.0.1:" + std::to_string(StorePort)})
    {
        waitForPort(StorePort);
    }

    struct ProgramResult
    {
        int exitCode = -1;
        std::string output;
    };

    static ProgramResult run(const std::string &arguments)
    {
        const std::string command = std::string(ENDIVESHORE_BIN_DIR) + "/endiveshore --store 127.0.0.1:"
            + std::to_string(StorePort) + " --timeout-ms 2000 " + arguments + " 2>&1";
        ProgramResult finished;
        FILE *pipe = ::popen(command.c_str(), "r");
        if (pipe == nullptr) {
            return finished;
        }
        char buffer[4096];
        while (const std::size_t size = std::fread(buffer, 1, sizeof(buffer), pipe)) {
            finished.output.append(buffer, size);
        }
        finished.exitCode = WEXITSTATUS(::pclose(pipe));
        return finished;
    }

    static std::string writeFile(const std::string &text)
    {
        std::string path = testing::TempDir() + "endiveshore-program-document.json";
        std::ofstream(path) << text;
        return path;
    }

    tests::ChildProcess store;
};

}

// Guards against parts of the program that pass their own tests but do not work together with the store.
TEST_F(ProgramTest, AcceptsShowsGrantsRevokesAndWithdraws)
{
    const std::string file = writeFile(sampleDocument(5));
    const ProgramResult accepted = run("--json --operator night accept " + file);
    ASSERT_EQ(accepted.exitCode, 0) << accepted.output;
    const std::int64_t revision = json::parse(accepted.output).at("revision").as_int64();

    const ProgramResult raced = run("--json accept " + file);
    EXPECT_EQ(raced.exitCode, 15);
    EXPECT_EQ(json::parse(raced.output).at("code"), 503);
    EXPECT_EQ(json::parse(raced.output).at("revision"), revision);

    const ProgramResult shown = run("--json show rota-db");
    EXPECT_EQ(json::parse(shown.output).at("revision"), revision) << shown.output;
    writeFile(shown.output);
    EXPECT_EQ(run("accept " + file).exitCode, 0);

    const ProgramResult granted = run("--json grant rota-db plaza");
    ASSERT_EQ(granted.exitCode, 0) << granted.output;
    const std::string key(json::parse(granted.output).at("key").as_string().c_str());
    const std::string hash(json::parse(granted.output).at("hash").as_string().c_str());
    const ProgramResult listed = run("keys rota-db");
    EXPECT_NE(listed.output.find(hash + " rota-db plaza"), std::string::npos) << listed.output;
    EXPECT_EQ(listed.output.find(key), std::string::npos);
    writeFile(key + "\n");
    EXPECT_EQ(run("revoke - < " + file).exitCode, 0);
    EXPECT_EQ(run("revoke " + hash).exitCode, 15);

    EXPECT_EQ(run("withdraw rota-db").exitCode, 0);
    const ProgramResult notFound = run("show rota-db");
    EXPECT_EQ(notFound.exitCode, 15);
    EXPECT_NE(notFound.output.find("result 505 not_found"), std::string::npos) << notFound.output;
    std::remove(file.c_str());
}

// Guards against a wrong revision for a removal whose answer was lost. The revision is read from the history of the
// store, where the removal of a key with the same prefix and a later change of another key stand next to it.
TEST_F(ProgramTest, RemovalRevisionComesFromTheHistory)
{
    PlatformConfigStore client({boost::asio::ip::address_v4::loopback(), StorePort});
    const SwapResult created = client.compareAndSwap("/endiveshore/services/a", 0, "{}", 1s);
    const SwapResult longer = client.compareAndSwap("/endiveshore/services/ab", 0, "{}", 1s);
    client.remove("/endiveshore/services/ab", longer.revision, 1s);
    const SwapResult removed = client.remove("/endiveshore/services/a", created.revision, 1s);
    ASSERT_TRUE(removed.swapped);
    client.compareAndSwap("/other/key", 0, "x", 1s);
    EXPECT_EQ(client.removalRevision("/endiveshore/services/a", created.revision, 1s), removed.revision);
    EXPECT_THROW(client.removalRevision("/endiveshore/services/a", removed.revision, 1s), core::Error);
}

// Guards against a command that hangs or reports a wrong outcome: unknown while the store process is paused, not run
// after it was killed.
TEST_F(ProgramTest, PausedAndStoppedStoresGiveTheRightOutcome)
{
    const std::string file = writeFile(sampleDocument(5));
    this->store.pause();
    const ProgramResult paused = run("--json accept " + file);
    EXPECT_EQ(paused.exitCode, 15);
    EXPECT_EQ(json::parse(paused.output).at("code"), 504) << paused.output;
    EXPECT_EQ(json::parse(paused.output).at("outcome"), "unknown") << paused.output;
    EXPECT_NE(paused.output.find("--operation-id"), std::string::npos) << paused.output;

    this->store.kill();
    const ProgramResult stopped = run("--json accept " + file);
    EXPECT_EQ(stopped.exitCode, 15);
    EXPECT_EQ(json::parse(stopped.output).at("outcome"), "not_run") << stopped.output;
    std::remove(file.c_str());
}

// Guards against a changed exit code for wrong usage, and against wrong usage that is detected only after connecting to
// the store, which is stopped here.
TEST_F(ProgramTest, WrongUsageEndsWithExitCodeTwo)
{
    this->store.kill();
    EXPECT_EQ(run("--wait-ms=1s status").exitCode, 2);
    EXPECT_EQ(run("--colour status").exitCode, 2);
    EXPECT_EQ(run("").exitCode, 2);
    EXPECT_EQ(run("--check").exitCode, 0);
    EXPECT_EQ(run("--version").exitCode, 0);
}

}
