#pragma once

#include "tools/deployment.h"
#include "tools/workload.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace endiveshore::tests {

/// Bounds stated in section 1 of the design page.
constexpr std::chrono::milliseconds FailoverBound{6'000};
constexpr std::chrono::milliseconds ConfigurationBound{3'000};
constexpr std::chrono::milliseconds LeavingBound{3'000};

/// Runs a workload on its own thread while the thread of the test injects faults.
class RunningWorkload
{
public:
    explicit RunningWorkload(tools::WorkloadOptions options);
    ~RunningWorkload();

    /// Runs @p call on the thread of the workload and returns the result.
    template<typename Call>
    auto runOnWorkloadThread(Call call)
    {
        // Posting a packaged task runs the task on the context and returns its future.
        std::packaged_task<decltype(call(*this->workload))()> task([this, call] { return call(*this->workload); });
        return boost::asio::post(this->context, std::move(task)).get();
    }

    /// Number of acknowledged writes and transactions of @p database that started at @p sinceUs or later and ran in
    /// @p term or a later term.
    std::size_t acknowledged(const std::string &database, std::int64_t sinceUs = 0, std::uint64_t term = 0);
    std::int64_t nowUs() const;

    /// Stops the workload and returns its history, without the final state of the keys.
    std::vector<tools::HistoryEvent> finish();
    std::vector<std::string> keys() const;

private:
    boost::asio::io_context context;
    std::shared_ptr<tools::Workload> workload;
    core::TimePoint start;
    std::future<void> ended;
    std::thread thread;
};

/// Fixture with a deployment of 3 databases of 3 servers each, and helpers to inject faults and to check histories and
/// ledgers.
class FaultTest : public ::testing::Test
{
protected:
    static constexpr std::size_t DatabaseCount = 3;
    static constexpr std::size_t ServerCount = 3;

    void startDeployment(tools::DeploymentOptions options = {});
    void TearDown() override;

    /// Workload of three workspaces with writes, transactions and reads on all databases. Its sessions move between the
    /// daemons.
    tools::WorkloadOptions roamingLoad() const;
    static std::uint64_t seed();

    tools::CallerAnswer statement(std::size_t daemon, boost::json::object body, std::size_t workspace = 0);
    tools::CallerAnswer post(std::size_t daemon, std::string target, boost::json::object body);
    boost::json::object appendBody(std::size_t database, std::string_view key, const std::string &value) const;
    boost::json::object readBody(std::size_t database, std::string_view key, std::string_view route) const;

    /// Index of the primary of @p database in the highest term that any daemon knows, and that term.
    std::pair<std::size_t, std::uint64_t> primary(std::size_t database);
    /// True once every daemon lists all daemons as members.
    bool allMembersKnown();

    /// Index of the home daemon of a server according to daemon @p observer.
    std::optional<std::size_t> homeOf(std::size_t database, std::size_t server, std::size_t observer);
    std::optional<boost::json::object> status(std::size_t daemon) const;

    /// Adds the final state of @p keys, read from the primaries, to @p history and expects that the history has no lost
    /// or doubled write, no executed write reported as not run, no stale session read, no answer that belongs to
    /// another request, no partly visible transaction and no write acknowledged in an old term.
    void expectValid(std::vector<tools::HistoryEvent> history, const std::vector<std::string> &keys);

    /// Longest time between consecutive acknowledged writes of @p database in the history.
    static std::chrono::milliseconds longestGap(const std::vector<tools::HistoryEvent> &history,
                                                const std::string &database);

    boost::json::object ledger(std::size_t database, std::size_t server, std::int64_t from = 0) const;
    /// Expects in the ledgers of all running servers that slots and connections stayed within their limits and that no
    /// workspace key reached a server.
    void expectCleanLedgers();

    std::unique_ptr<tools::Deployment> deployment;
    std::string service;

private:
    std::string finalToken;
};

}
