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

/// Last known state of one server in a database group.
struct MonitoredServer
{
    std::string id;
    bool answered = false; ///< The server has answered at least once, so `report` is valid.
    failover::ServerReport report;
    core::TimePoint reportedAt;
    int misses = 0; ///< Failed probes on new connections since the last answer.
};

/// State of one database group as known to this daemon.
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
    /// Sends @p request to /peer/suspect of another daemon and returns the answer; throws core::Error.
    std::function<net::awaitable<boost::json::object>(std::string memberId, boost::json::object request)> exchange;

    /// Called when a primary of a higher term is known, and once for each new group. If @p mustAnnounce is set, the
    /// primary must be announced by gossip.
    std::function<void(const std::string &database, std::int64_t term, const std::string &server, bool mustAnnounce)>
        primaryChanged;

    /// Called when a server reported its status or a probe failed.
    std::function<void(const GroupStatus &status)> statusChanged;

    /// Called for each decision that is to be logged.
    std::function<void(const std::string &database, const failover::LogDecision &decision)> decisionMade;
};

/// Runs the group monitors of a daemon on its control thread and carries out their actions, with at most two
/// connections per server. All functions and all callbacks are called on the given executor.
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

    /// Starts to monitor a group, or updates the homes of a monitored group. If the servers of the group have changed,
    /// its monitor is restarted with the known primary.
    void setGroup(const failover::GroupDescription &group,
                  std::set<std::string> ownServers,
                  std::vector<failover::PeerHome> peers);

    /// Sets the servers of a monitored group whose VMs are leaving; a leaving primary is replaced.
    void setLeaving(const std::string &database, std::set<std::string> servers);

    /// Stops monitoring a group once this daemon is no longer the home of any of its servers. Known primaries are kept.
    void removeGroup(const std::string &database);

    /// Handles a primary announced by gossip. The primary is also recorded for groups that are not monitored yet.
    void onPrimaryAnnounced(const std::string &database, std::int64_t term, const std::string &server);

    /// Handles POST /peer/suspect: another daemon asks whether this daemon also suspects a primary. Returns
    /// `{"known","suspects","term","primary"}` for `{"database","server","term"}`.
    net::awaitable<boost::json::object> handleSuspect(boost::json::object request);

    std::optional<GroupStatus> status(const std::string &database) const;

    /// Stops all probes; no callback is called afterwards.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
