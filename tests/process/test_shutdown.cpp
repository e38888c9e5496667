#include "faulttest.h"

#include "tools/blockinghttp.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <random>

namespace endiveshore::tests {

namespace json = boost::json;
using tools::CallerAnswer;
using tools::Deployment;
using tools::HistoryEvent;

namespace {

constexpr std::chrono::milliseconds DrainLimit{15'000};
constexpr std::chrono::milliseconds ReadinessInterval{100};
constexpr std::chrono::milliseconds StartLimit{10'000};
constexpr std::chrono::milliseconds ObservationTime{2'000};
constexpr std::size_t WritesBeforeFault = 20;
constexpr std::size_t Callers = 6;

}

/// Callers behind a simulated load balancer, which uses the daemons that were ready at the last check.
class ShutdownTest : public FaultTest
{
protected:
    void startCallers()
    {
        for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
            this->ready[daemon] = true;
        }
        this->threads.emplace_back([this] { this->checkReadiness(); });
        for (std::size_t caller = 0; caller < Callers; ++caller) {
            this->threads.emplace_back([this, caller] { this->call(caller); });
        }
    }

    void stopCallers()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    void TearDown() override
    {
        this->stopCallers();
        FaultTest::TearDown();
    }

    void checkReadiness()
    {
        while (!this->stopping) {
            for (std::size_t daemon = 0; daemon < this->deployment->daemonCount(); ++daemon) {
                try {
                    tools::getJson(this->deployment->callerPort(daemon), "/health/ready");
                    this->ready[daemon] = true;
                } catch (const std::exception &) {
                    this->ready[daemon] = false;
                }
            }
            std::this_thread::sleep_for(ReadinessInterval);
        }
    }

    void call(std::size_t caller)
    {
        std::mt19937_64 random(seed() * 100 + caller);
        std::uniform_int_distribution<std::size_t> daemons(0, this->deployment->daemonCount() - 1);
        const auto readyDaemon = [&] {
            std::size_t daemon = daemons(random);
            while (!this->ready[daemon]) {
                daemon = (daemon + 1) % this->deployment->daemonCount();
            }
            return daemon;
        };
        const std::string key = "caller-" + std::to_string(caller);
        for (int number = 0; !this->stopping; ++number) {
            const std::string value = key + "/" + std::to_string(number);
            const std::size_t database = static_cast<std::size_t>(number) % DatabaseCount;
            if (number % 4 != 0) {
                this->record("write", this->statement(readyDaemon(), this->appendBody(database, key, value), caller));
                continue;
            }
            // A transaction whose requests go to different daemons.
            const std::string name = this->deployment->databaseName(database);
            const CallerAnswer begun
                = this->post(readyDaemon(), "/v1/transactions", {{"database", name}, {"route", "book"}});
            this->record("begin", begun);
            if (begun.outcome != core::Outcome::Done) {
                continue;
            }
            json::object body = this->appendBody(database, key + "-transaction", value);
            body["transaction"] = begun.result;
            this->record("statement", this->statement(readyDaemon(), std::move(body)));
            this->record("commit",
                         this->post(readyDaemon(),
                                    "/v1/transactions/commit",
                                    {{"database", name}, {"transaction", begun.result}, {"request_id", value}}));
        }
    }

    void record(std::string_view request, const CallerAnswer &answer)
    {
        ++this->answered;
        if (answer.outcome == core::Outcome::Done) {
            return;
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->failures.push_back(std::string(request) + ": code " + std::to_string(answer.code) + " " + answer.message);
    }

    std::array<std::atomic<bool>, 7> ready{};
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> answered = 0;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<std::string> failures;
};

/// Requirement 12: the home of a primary and another daemon stop one after the other under load. Guards against
/// requests and transactions that fail because of a planned stop, and against a stop that does not end in time.
TEST_F(ShutdownTest, PlannedStopCutsNoRequest)
{
    this->startDeployment();
    const std::optional<std::size_t> home = this->homeOf(0, this->primary(0).first, 1);
    ASSERT_TRUE(home.has_value());
    this->startCallers();
    ASSERT_TRUE(Deployment::waitUntil([this] { return this->answered > 100; }, StartLimit));
    for (const std::size_t daemon : {*home, (*home + 1) % this->deployment->daemonCount()}) {
        this->deployment->daemon(daemon).sendSignal(SIGTERM);
        const std::optional<int> exitCode = this->deployment->daemon(daemon).waitForExit(DrainLimit);
        EXPECT_EQ(exitCode.value_or(-1), 0) << "daemon " << daemon;
    }
    const std::size_t before = this->answered;
    EXPECT_TRUE(Deployment::waitUntil([&] { return this->answered > before + 100; }, StartLimit));
    this->stopCallers();
    EXPECT_TRUE(this->failures.empty()) << this->failures.size() << " of " << this->answered
                                        << " requests failed, first: " << this->failures.front();
    std::cout << this->answered << " requests\n";
}

// Guards against a daemon that still counts as draining after its restart and so is not the home of any server.
TEST_F(ShutdownTest, RestartedDaemonBecomesHomeAgain)
{
    this->startDeployment();
    // Homes move until every daemon knows all other daemons.
    const auto converged = [this] { return this->allMembersKnown(); };
    ASSERT_TRUE(Deployment::waitUntil(converged, StartLimit));
    const std::optional<std::size_t> home = this->homeOf(0, 0, 1);
    ASSERT_TRUE(home.has_value());
    const std::size_t observer = (*home + 1) % this->deployment->daemonCount();
    this->deployment->daemon(*home).sendSignal(SIGTERM);
    ASSERT_EQ(this->deployment->daemon(*home).waitForExit(DrainLimit).value_or(-1), 0);
    EXPECT_NE(this->homeOf(0, 0, observer), home);
    this->deployment->daemon(*home).restart();
    EXPECT_TRUE(Deployment::waitUntil([&] { return this->homeOf(0, 0, observer) == home; }, StartLimit));
}

class LeavingServerTest : public FaultTest
{
protected:
    void announceLeaving(std::size_t database, std::size_t server)
    {
        const json::object document = this->deployment->serviceDocument();
        const json::object &entry
            = document.at("databases").as_array()[database].at("servers").as_array()[server].as_object();
        const json::object vm{{"id", entry.at("id")},
                              {"address", entry.at("address")},
                              {"data_centre", entry.at("data_centre")},
                              {"state", "leaving"},
                              {"kind", "backend"}};
        tools::postJson(this->deployment->vmListPort(), "/standin/set", json::object{{"vms", json::array{vm}}});
    }

    /// Marks a server as leaving under load and expects that its ledger records no new work after the bound.
    void expectNoNewWork(std::size_t server)
    {
        const std::string database = this->deployment->databaseName(0);
        RunningWorkload load(this->roamingLoad());
        ASSERT_TRUE(
            Deployment::waitUntil([&] { return load.acknowledged(database) >= WritesBeforeFault; }, StartLimit));
        const auto worked = [&] { return this->ledger(0, server, 1'000'000).at("total").to_number<std::int64_t>(); };
        ASSERT_TRUE(Deployment::waitUntil([&] { return worked() > 0; }, StartLimit)) << "the server had no work before";
        this->announceLeaving(0, server);
        std::this_thread::sleep_for(LeavingBound);
        const std::int64_t atBound = worked();
        const std::int64_t boundUs = load.nowUs();
        std::this_thread::sleep_for(ObservationTime);
        EXPECT_EQ(worked(), atBound) << "the leaving server got new work after the bound";
        EXPECT_TRUE(Deployment::waitUntil([&] { return load.acknowledged(database, boundUs) >= WritesBeforeFault; },
                                          StartLimit))
            << "writes do not go on without the leaving server";
        const std::vector<HistoryEvent> history = load.finish();
        const std::chrono::milliseconds gap = longestGap(history, database);
        std::cout << history.size() << " requests, gap " << gap.count() << " ms\n";
        EXPECT_LT(gap, FailoverBound);
        this->expectValid(history, load.keys());
    }
};

/// Requirement 11: the VM of a replica is marked as leaving. Guards against reads that still go to the replica after
/// the bound.
TEST_F(LeavingServerTest, LeavingReplicaGetsNoNewWork)
{
    this->startDeployment();
    this->expectNoNewWork((this->primary(0).first + 1) % ServerCount);
}

/// Requirement 11: the VM of a primary is marked as leaving. Guards against a primary that is not replaced within the
/// bound, and against writes or session positions that are lost by the planned change of primary.
TEST_F(LeavingServerTest, LeavingPrimaryGetsNoNewWork)
{
    this->startDeployment();
    this->expectNoNewWork(this->primary(0).first);
}

}
