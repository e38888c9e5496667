#pragma once

#include "failover/groupmonitor.h"
#include "standins/databasestate.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::failover {

/// Simulates a group of three servers and three monitors in virtual time. Messages are delayed, may be lost and are
/// subject to faults. As in the daemons, a write is acknowledged once a replica reports that it has received the write.
class GroupSimulation
{
public:
    static constexpr std::string_view ServerIds[] = {"s1", "s2", "s3"};

    explicit GroupSimulation(std::uint64_t seed);

    struct Faults
    {
        bool down = false; ///< Connections are refused.
        bool paused = false; ///< Messages wait until the server resumes.
        bool cutToServer = false;
        bool cutFromServer = false;
        bool cutFromReplicas = false; ///< Replication to and from the server fails.
    };

    struct Home
    {
        std::unique_ptr<GroupMonitor> monitor;
        std::string dataCentre;
        bool alive = true;
        std::set<std::string> unreachableServers;
        std::set<std::string> unreachableHomes;
        std::set<std::string> connected; ///< Servers with an open probe connection.
    };

    void run(core::Milliseconds duration);
    core::Milliseconds now() const;

    /// Runs until @p condition holds and returns true, or returns false if @p condition does not hold within @p limit.
    bool runUntil(core::Milliseconds limit, const std::function<bool()> &condition);

    void setFaults(const std::string &server, Faults faults);
    void setLoss(int percent);

    /// Unfenced primary with the highest term among the reachable servers; empty if there is none.
    std::string primary() const;
    bool isWritable() const; ///< A live home knows the primary, and a replica follows the primary in its term.
    std::string homeOf(const std::string &server) const;

    standins::DatabaseState &state(const std::string &server);
    std::map<std::string, Home> homes;
    std::vector<std::string> decisions;
    std::vector<std::string> violations;
    std::map<std::int64_t, std::string> primaries; ///< Primary of each term.
    std::size_t acknowledgedWrites() const;

    /// Records a violation for each acknowledged write that the current primary lacks or holds twice.
    void checkAcknowledged();

private:
    struct Server
    {
        std::unique_ptr<standins::DatabaseState> state;
        Faults faults;
        std::vector<std::function<void()>> waiting; ///< Work received while the server was paused.
        bool pulling = false; ///< A batch of log entries is on its way from the primary.
    };

    struct Event
    {
        core::Milliseconds at;
        std::uint64_t number; ///< Orders events of the same time.
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    struct Write
    {
        std::int64_t term = 0;
        std::int64_t position = 0;
        std::string server;
        std::string requestId;
        int polls = 0;
    };

    void schedule(core::Milliseconds delay, std::function<void()> action);
    core::TimePoint timePoint() const;
    core::Milliseconds latency(const std::string &home, const std::string &server);
    bool drawLoss();
    void perform(const std::string &home, const Actions &actions);
    void performOne(const std::string &home, const Action &action);
    void probe(const std::string &home, const ProbeServer &request);
    void queryPeer(const std::string &home, const QueryPeer &request);

    /// Runs @p work at the server and then calls @p answer at the home with true. Calls @p answer with false if the
    /// server is down or does not respond within @p timeout.
    void call(const std::string &home,
              const std::string &server,
              core::Milliseconds timeout,
              std::function<void(standins::DatabaseState &)> work,
              std::function<void(bool ok)> answer);
    void tickHomes();
    void replicate();
    void write();
    void pollWrite(const std::string &home, Write write);
    void updatePeers();

    std::mt19937_64 random;
    std::map<std::string, Server> servers;
    std::priority_queue<Event> events;
    core::Milliseconds time{0};
    std::uint64_t eventNumber = 0;
    std::uint64_t writeNumber = 0;
    std::uint64_t tokenNumber = 0;
    std::map<std::uint64_t, std::function<void(bool)>> peerAnswers;
    std::map<std::string, std::int64_t> acknowledged;
    std::map<std::int64_t, std::string> acknowledgingServer;
    int lossPercent = 0;
};

}
