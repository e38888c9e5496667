#pragma once

#include "tests/sessions/sessionfleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>

namespace endiveshore::tests {

struct StatementSoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    std::size_t daemons = SessionFleet::Daemons;
    std::size_t callersPerDaemon = 4;
    std::uint16_t firstPort = 0;
};

/// Callers write and read through real daemons while the servers lose, cut, delay and garble answers and fail in
/// Latin-1, daemons are killed, and a server leaves. Afterwards the commits of the servers are compared with what the
/// callers sent and were told.
class StatementSoak
{
public:
    explicit StatementSoak(StatementSoakOptions options);

    /// Runs the soak and returns a line for each promise that was broken.
    std::vector<std::string> run();

    /// Number of answers of each kind; successes are counted as "ok".
    const std::map<std::string, std::size_t> &answers() const;

private:
    /// A write, alone or in a transaction, whose commit is known to the server under `request`.
    struct Write
    {
        std::string request; ///< Id of the write, or of the commit of its transaction.
        std::string textRequest; ///< Id of the statement that writes.
        std::string text;
        std::string code; ///< Error code of the answer; empty on success.
    };

    void call(std::size_t daemon, std::size_t caller);
    void writeAlone(LineCaller &session, const std::string &name, std::uint64_t number);
    void writeInTransaction(LineCaller &session, const std::string &name, std::uint64_t number);
    void readOwn(LineCaller &session, const std::string &name, std::uint64_t number);
    LineAnswer query(LineCaller &session, const std::string &request, const std::string &text);
    void report(std::string broken);
    void disturb();
    void checkWrites();

    StatementSoakOptions options;
    SessionFleet fleet;
    std::mt19937_64 random;
    std::atomic<bool> ended = false;
    std::mutex mutex; ///< Guards the members below.
    std::vector<Write> writes;
    std::vector<std::string> brokenPromises;
    std::map<std::string, std::size_t> answerCounts;
};

}
