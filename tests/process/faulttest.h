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

/// Bounds of the design page, section 1.
constexpr std::chrono::milliseconds FailoverBound{6'000};
constexpr std::chrono::milliseconds ConfigurationBound{3'000};
constexpr std::chrono::milliseconds LeavingBound{3'000};

/// A workload on its own thread, next to the thread of the test that causes the faults.
class RunningWorkload
{
public:
    explicit RunningWorkload(tools::WorkloadOptions options);
    ~RunningWorkload();

    /// Runs @p call on the thread of the workload.
    template<typename Call>
    auto runOnWorkloadThread(Call call)
    {
        // post() starts the task and returns its future.
        std::packaged_task<decltype(call(*this->workload))()> task([this, call] { return call(*this->workload); });
        return boost::asio::post(this->context, std::move(task)).get();
    }

    /// Acknowledged writes and transactions of @p database that began after @p sinceUs, at @p term or a later one.
    std::size_t acknowledged(const std::string &database, std::int64_t sinceUs = 0, std::uint64_t term = 0);
    std::int64_t nowUs() const;

    /// Ends the load and returns its history, without the final state.
    std::vector<tools::HistoryEvent> finish();
    std::vector<std::string> keys() const;

private:
    boost::asio::io_context context;
    std::shared_ptr<tools::Workload> workload;
    core::TimePoint start;
    std::future<void> ended;
    std::thread thread;
};

/// A deployment of today's size and helpers to cause faults and to check histories and ledgers.
class FaultTest : public ::testing::Test
{
protected:
    static constexpr std::size_t DatabaseCount = 3;
    static constexpr std::size_t ServerCount = 3;

    void startDeployment(tools::DeploymentOptions options = {});
    void TearDown() override;

    /// Roaming sessions of three workspaces on all databases with writes, transactions and reads.
    tools::WorkloadOptions roamingLoad() const;
    static std::uint64_t seed();

    tools::CallerAnswer statement(std::size_t daemon, boost::json::object body, std::size_t workspace = 0);
    tools::CallerAnswer post(std::size_t daemon, std::string target, boost::json::object body);
    boost::json::object appendBody(std::size_t database, std::string_view key, const std::string &value) const;
    boost::json::object readBody(std::size_t database, std::string_view key, std::string_view route) const;

    /// Index of the primary of @p database with the highest term that a daemon knows, and the term.
    std::pair<std::size_t, std::uint64_t> primary(std::size_t database);
    /// Index of the home daemon of a server as @p observer sees it.
    /// True once every daemon lists all daemons as members.
    bool allMembersKnown();

    std::optional<std::size_t> homeOf(std::size_t database, std::size_t server, std::size_t observer);
    std::optional<boost::json::object> status(std::size_t daemon) const;

    /// Adds the final state, read from the primaries, and expects that nothing is lost, doubled, stale, falsely not
    /// run, crossed, split, or acknowledged in an old term.
    void expectValid(std::vector<tools::HistoryEvent> history, const std::vector<std::string> &keys);

    /// Longest time between consecutive acknowledged writes of @p database in the history.
    static std::chrono::milliseconds longestGap(const std::vector<tools::HistoryEvent> &history,
                                                const std::string &database);

    boost::json::object ledger(std::size_t database, std::size_t server, std::int64_t from = 0) const;
    /// Expects in all ledgers that slots and connections stayed within their limits and that no key was seen.
    void expectCleanLedgers();

    std::unique_ptr<tools::Deployment> deployment;
    std::string service;

private:
    std::string finalToken;
};

}
