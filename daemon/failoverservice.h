#pragma once

#include "failover/groupmonitor.h"
#include "net/asyncio.h"

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endiveshore::daemon {

/// Last known state of one server of a group.
struct MonitoredServer
{
    std::string id;
    bool answered = false; ///< A report exists.
    failover::ServerReport report;
    core::TimePoint reportedAt;
    int misses = 0; ///< Probes on new connections that failed since the last answer.
};

/// What this daemon knows about one database group.
struct GroupStatus
{
    std::string database;
    std::int64_t term = 0;
    std::string primary;
    bool primarySuspected = false;
    std::vector<MonitoredServer> servers;
};

struct FailoverCallbacks
{
    /// Sends POST /peer/suspect to another daemon and returns its answer; throws core::Error.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;

    /// A later primary is known, also once for each new group. With @p spread it must go into gossip.
    std::function<void(const std::string &database, std::int64_t term, const std::string &server, bool spread)>
        primaryChanged;

    /// A server reported its status or missed a probe.
    std::function<void(const GroupStatus &status)> statusChanged;

    std::function<void(const std::string &database, const failover::LogDecision &decision)> decisionMade;
};

/// Runs the group monitors of a daemon on its control thread: carries out their actions with at most two connections
/// per server. All calls, and all callbacks, happen on the given executor.
class FailoverService
{
public:
    FailoverService(const net::Executor &executor,
                    std::string daemon,
                    std::string dataCentre,
                    FailoverCallbacks callbacks,
                    failover::MonitorOptions options = {});
    ~FailoverService();
    FailoverService(const FailoverService &) = delete;
    FailoverService &operator=(const FailoverService &) = delete;

    /// Monitors a group, or updates its homes. A change of the servers restarts its monitor with the known primary.
    void setGroup(const failover::GroupDescription &group,
                  std::set<std::string> ownServers,
                  std::vector<failover::PeerHome> peers);

    /// Sets the servers of a monitored group whose VMs are leaving.
    void setLeaving(const std::string &database, std::set<std::string> servers);

    /// Stops monitoring, after the last home of the group left this daemon. Known primaries are kept.
    void removeGroup(const std::string &database);

    /// A primary learned from gossip; kept also for groups that are not monitored yet.
    void onPrimaryAnnounced(const std::string &database, std::int64_t term, const std::string &server);

    /// Answers POST /peer/suspect `{"database","server","term"}` with `{"known","suspects","term","primary"}`.
    net::awaitable<boost::json::object> handleSuspect(boost::json::object request);

    std::optional<GroupStatus> status(const std::string &database) const;

    /// Ends all probes; no callback is called afterwards.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
