#include "daemon/failoverservice.h"

#include "backend/connectionpool.h"
#include "core/error.h"
#include "core/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <map>

namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// Resolution of the monitors' deadlines; small compared to the probe interval.
constexpr core::Milliseconds TickInterval{25};

// Timeout of fence, promote and follow calls; the monitor repeats the calls that it needs.
constexpr core::Milliseconds CallTimeout{300};

// The queried home probes the server once on a new connection before it answers.
constexpr core::Milliseconds SuspectAnswerTimeout{380};

// One connection for regular probes, one for a check on a new connection or for a control call.
constexpr int ConnectionsPerServer = 2;

failover::ServerReport reportOf(const backend::ServerStatus &status)
{
    failover::ServerReport report{.primary = status.primary,
                                  .term = status.term,
                                  .fencedTerm = status.fencedTerm,
                                  .position = status.position,
                                  .received = status.received,
                                  .lagMs = status.lagMs,
                                  .termStarts = {}};
    for (const backend::TermStart &entry : status.termStarts) {
        report.termStarts.push_back({.term = entry.term, .start = entry.start});
    }
    return report;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

struct KnownPrimary
{
    std::int64_t term = 0;
    std::string server;
};

/// A /peer/suspect request that waits for the monitor's answer.
struct PendingQuery
{
    explicit PendingQuery(const net::Executor &executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::optional<bool> suspects;
};

}

struct FailoverService::Impl : std::enable_shared_from_this<FailoverService::Impl>
{
    struct Group
    {
        std::unique_ptr<failover::GroupMonitor> monitor;
        std::map<std::string, std::unique_ptr<backend::ConnectionPool>> pools;
        bool removed = false;
    };
    using GroupPointer = std::shared_ptr<Group>;
    using Event = std::function<failover::Actions(failover::GroupMonitor &monitor, core::TimePoint now)>;

    Impl(const net::Executor &executor,
         std::string daemon,
         std::string dataCentre,
         FailoverCallbacks callbacks,
         failover::MonitorOptions options)
        : executor(executor)
        , daemon(std::move(daemon))
        , dataCentre(std::move(dataCentre))
        , callbacks(std::move(callbacks))
        , options(options)
        , ticker(executor)
    {
    }

    net::awaitable<void> tick();
    void handleEvent(const GroupPointer &group, const Event &event);
    void perform(const GroupPointer &group, const failover::Action &action);
    void publish(const Group &group) const;
    GroupStatus statusOf(const Group &group) const;
    net::awaitable<void> probe(GroupPointer group, failover::ProbeServer request);
    net::awaitable<void> queryPeer(GroupPointer group, failover::QueryPeer request);
    net::awaitable<void> fence(GroupPointer group, failover::FenceServer request);
    net::awaitable<void> promote(GroupPointer group, failover::PromoteServer request);
    net::awaitable<void> follow(GroupPointer group, failover::FollowServer request);
    void recordPrimary(const std::string &database, std::int64_t term, const std::string &server);

    net::Executor executor;
    std::string daemon;
    std::string dataCentre;
    FailoverCallbacks callbacks;
    failover::MonitorOptions options;
    asio::steady_timer ticker;
    std::map<std::string, GroupPointer> groups;
    std::map<std::string, KnownPrimary> primaries;
    std::map<std::uint64_t, std::shared_ptr<PendingQuery>> pendingQueries;
    std::uint64_t nextToken = 1;
    bool stopped = false;
};

net::awaitable<void> FailoverService::Impl::tick()
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    while (!this->stopped) {
        // Callbacks may change the groups, so the loop runs over a copy.
        const std::map<std::string, GroupPointer> present = this->groups;
        for (const auto &[database, group] : present) {
            this->handleEvent(group,
                              [](failover::GroupMonitor &monitor, core::TimePoint now) { return monitor.tick(now); });
        }
        this->ticker.expires_after(TickInterval);
        co_await this->ticker.async_wait(UseTuple);
    }
}

void FailoverService::Impl::handleEvent(const GroupPointer &group, const Event &event)
{
    if (this->stopped || group->removed) {
        return;
    }
    const failover::Actions actions = event(*group->monitor, core::Clock::now());
    for (const failover::Action &action : actions) {
        if (!this->stopped && !group->removed) {
            this->perform(group, action);
        }
    }
}

void FailoverService::Impl::perform(const GroupPointer &group, const failover::Action &action)
{
    const std::string &database = group->monitor->description().database;
    if (const auto *probeRequest = std::get_if<failover::ProbeServer>(&action)) {
        asio::co_spawn(this->executor, this->probe(group, *probeRequest), asio::detached);
    } else if (const auto *peerQuery = std::get_if<failover::QueryPeer>(&action)) {
        asio::co_spawn(this->executor, this->queryPeer(group, *peerQuery), asio::detached);
    } else if (const auto *fenceRequest = std::get_if<failover::FenceServer>(&action)) {
        asio::co_spawn(this->executor, this->fence(group, *fenceRequest), asio::detached);
    } else if (const auto *promoteRequest = std::get_if<failover::PromoteServer>(&action)) {
        asio::co_spawn(this->executor, this->promote(group, *promoteRequest), asio::detached);
    } else if (const auto *followRequest = std::get_if<failover::FollowServer>(&action)) {
        asio::co_spawn(this->executor, this->follow(group, *followRequest), asio::detached);
    } else if (const auto *answer = std::get_if<failover::AnswerPeer>(&action)) {
        const auto found = this->pendingQueries.find(answer->token);
        if (found != this->pendingQueries.end()) {
            found->second->suspects = answer->suspects;
            found->second->timer.cancel();
        }
    } else if (const auto *change = std::get_if<failover::PrimaryChanged>(&action)) {
        this->recordPrimary(database, change->term, change->server);
        if (this->callbacks.primaryChanged) {
            this->callbacks.primaryChanged(database, change->term, change->server, change->mustAnnounce);
        }
    } else if (const auto *decision = std::get_if<failover::LogDecision>(&action)) {
        if (this->callbacks.decisionMade) {
            this->callbacks.decisionMade(database, *decision);
        }
    }
}

void FailoverService::Impl::recordPrimary(const std::string &database, std::int64_t term, const std::string &server)
{
    KnownPrimary &known = this->primaries[database];
    if (term > known.term) {
        known = {.term = term, .server = server};
    }
}

GroupStatus FailoverService::Impl::statusOf(const Group &group) const
{
    const failover::GroupMonitor &monitor = *group.monitor;
    GroupStatus status{.database = monitor.description().database,
                       .term = monitor.term(),
                       .primary = monitor.primary(),
                       .primarySuspected = monitor.suspectsPrimary(),
                       .servers = {}};
    for (const failover::GroupServer &server : monitor.description().servers) {
        const failover::GroupMonitor::KnownServer &known = monitor.server(server.id);
        status.servers.push_back({.id = server.id,
                                  .answered = known.answered,
                                  .report = known.report,
                                  .reportedAt = known.reportedAt,
                                  .misses = known.misses});
    }
    return status;
}

void FailoverService::Impl::publish(const Group &group) const
{
    if (!this->stopped && !group.removed && this->callbacks.statusChanged) {
        this->callbacks.statusChanged(this->statusOf(group));
    }
}

net::awaitable<void> FailoverService::Impl::probe(GroupPointer group, failover::ProbeServer request)
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    const core::TimePoint deadline = core::Clock::now() + this->options.probeTimeout;
    backend::ConnectionPool &pool = *group->pools.at(request.server);
    bool newConnection = request.newConnection;
    std::optional<failover::ServerReport> report;
    try {
        backend::ConnectionPool::Lease lease;
        if (request.newConnection) {
            lease = co_await pool.acquireNew(this->options.probeTimeout);
        } else {
            lease = co_await pool.acquire(this->options.probeTimeout);
        }
        newConnection = !lease.isReused();
        const core::TimePoint openedAt = lease.openedAt();
        const backend::ServerStatus status = co_await lease.client().status(deadline - core::Clock::now());
        report = reportOf(status);
        if (newConnection) {
            pool.closeIdleOlderThan(openedAt);
        }
    } catch (const core::Error &error) {
        // A refused connection counts as a probe on a new connection, even if a pooled one was requested.
        newConnection = newConnection || error.code == core::ResultCode::BackendUnreachable;
    }
    this->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
        return report ? monitor.probeAnswered(request.server, *report, newConnection, now)
                      : monitor.probeFailed(request.server, newConnection, now);
    });
    this->publish(*group);
}

net::awaitable<void> FailoverService::Impl::queryPeer(GroupPointer group, failover::QueryPeer request)
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    failover::Verdict verdict = failover::Verdict::Unreachable;
    try {
        json::object query{{"database", group->monitor->description().database},
                           {"server", request.server},
                           {"term", request.term},
                           {"daemon", this->daemon}};
        const json::object answer = co_await this->callbacks.exchange(request.daemon, std::move(query));
        if (core::jsonBool(answer, "known")) {
            verdict = core::jsonBool(answer, "suspects") ? failover::Verdict::Confirms : failover::Verdict::Denies;
        }
        const std::int64_t term = core::jsonInteger(answer, "term");
        const std::string primary = core::jsonString(answer, "primary");
        this->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
            return monitor.primaryAnnounced(term, primary, now);
        });
    } catch (const core::Error &) {
        verdict = failover::Verdict::Unreachable;
    }
    this->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
        return monitor.peerAnswered(request.daemon, request.queryId, verdict, now);
    });
}

net::awaitable<void> FailoverService::Impl::fence(GroupPointer group, failover::FenceServer request)
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    std::optional<failover::FenceReply> reply;
    try {
        backend::ConnectionPool::Lease lease = co_await group->pools.at(request.server)->acquire(CallTimeout);
        const backend::FenceResult result = co_await lease.client().fence(request.term, request.owner, CallTimeout);
        reply = failover::FenceReply{.granted = result.granted,
                                     .fencedTerm = result.fencedTerm,
                                     .lastTerm = result.lastTerm,
                                     .received = result.received};
    } catch (const core::Error &) {
        // The monitor repeats the call or gives up at its own deadline.
        co_return;
    }
    this->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
        return monitor.fenceAnswered(request.server, request.term, *reply, now);
    });
}

net::awaitable<void> FailoverService::Impl::promote(GroupPointer group, failover::PromoteServer request)
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    bool promoted = false;
    try {
        backend::ConnectionPool::Lease lease = co_await group->pools.at(request.server)->acquire(CallTimeout);
        const backend::PromoteResult result = co_await lease.client().promote(request.term, request.owner, CallTimeout);
        promoted = result.promoted;
    } catch (const core::Error &) {
        co_return;
    }
    this->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
        return monitor.promoteAnswered(request.server, request.term, promoted, now);
    });
    this->publish(*group);
}

net::awaitable<void> FailoverService::Impl::follow(GroupPointer group, failover::FollowServer request)
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    try {
        backend::ConnectionPool::Lease lease = co_await group->pools.at(request.server)->acquire(CallTimeout);
        co_await lease.client().follow(request.term, request.primaryAddress, CallTimeout);
    } catch (const core::Error &) {
        // The next probe of the server shows whether it follows the primary.
        co_return;
    }
}

FailoverService::FailoverService(const net::Executor &executor,
                                 std::string daemon,
                                 std::string dataCentre,
                                 FailoverCallbacks callbacks,
                                 failover::MonitorOptions options)
    : impl(std::make_shared<Impl>(executor, std::move(daemon), std::move(dataCentre), std::move(callbacks), options))
{
    asio::co_spawn(executor, this->impl->tick(), asio::detached);
}

FailoverService::~FailoverService()
{
    this->stop();
}

void FailoverService::setGroup(const failover::GroupDescription &description,
                               std::set<std::string> ownServers,
                               std::vector<failover::PeerHome> peers)
{
    Impl &service = *this->impl;
    const auto found = service.groups.find(description.database);
    if (found != service.groups.end() && found->second->monitor->description().servers == description.servers) {
        found->second->monitor->setHomes(std::move(ownServers), std::move(peers));
        return;
    }
    this->removeGroup(description.database);
    const auto group = std::make_shared<Impl::Group>();
    group->monitor = std::make_unique<failover::GroupMonitor>(
        description, service.daemon, service.dataCentre, randomSeed(), service.options);
    group->monitor->setHomes(std::move(ownServers), std::move(peers));
    const backend::ConnectionPoolOptions options{.limit = ConnectionsPerServer,
                                                 .connectTimeout = service.options.probeTimeout,
                                                 .pingAfterIdle = std::chrono::hours(1),
                                                 .closeAfterIdle = std::chrono::seconds(2)};
    for (const failover::GroupServer &server : description.servers) {
        group->pools[server.id]
            = std::make_unique<backend::ConnectionPool>(service.executor, net::parseEndpoint(server.address), options);
    }
    service.groups[description.database] = group;
    service.recordPrimary(description.database, group->monitor->term(), group->monitor->primary());
    const KnownPrimary known = service.primaries[description.database];
    if (known.term > group->monitor->term()) {
        service.handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
            return monitor.primaryAnnounced(known.term, known.server, now);
        });
    } else if (service.callbacks.primaryChanged) {
        service.callbacks.primaryChanged(
            description.database, group->monitor->term(), group->monitor->primary(), false);
    }
}

void FailoverService::setLeaving(const std::string &database, std::set<std::string> servers)
{
    const auto found = this->impl->groups.find(database);
    if (found != this->impl->groups.end()) {
        found->second->monitor->setLeaving(std::move(servers));
    }
}

void FailoverService::removeGroup(const std::string &database)
{
    const auto found = this->impl->groups.find(database);
    if (found == this->impl->groups.end()) {
        return;
    }
    found->second->removed = true;
    for (const auto &[server, pool] : found->second->pools) {
        pool->close();
    }
    this->impl->groups.erase(found);
}

void FailoverService::onPrimaryAnnounced(const std::string &database, std::int64_t term, const std::string &server)
{
    this->impl->recordPrimary(database, term, server);
    const auto found = this->impl->groups.find(database);
    if (found != this->impl->groups.end()) {
        this->impl->handleEvent(found->second, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
            return monitor.primaryAnnounced(term, server, now);
        });
    }
}

net::awaitable<json::object> FailoverService::handleSuspect(json::object request)
{
    const std::shared_ptr<Impl> service = this->impl;
    const std::string database = core::jsonString(request, "database");
    const auto found = service->groups.find(database);
    if (service->stopped || found == service->groups.end()) {
        co_return json::object{{"known", false}};
    }
    const Impl::GroupPointer group = found->second;
    const std::uint64_t token = service->nextToken++;
    const auto pending = std::make_shared<PendingQuery>(service->executor);
    pending->timer.expires_after(SuspectAnswerTimeout);
    service->pendingQueries[token] = pending;
    const std::string server = core::jsonString(request, "server");
    const std::int64_t term = core::jsonInteger(request, "term");
    service->handleEvent(group, [&](failover::GroupMonitor &monitor, core::TimePoint now) {
        return monitor.peerQueryReceived(token, server, term, now);
    });
    if (!pending->suspects) {
        co_await pending->timer.async_wait(UseTuple);
    }
    service->pendingQueries.erase(token);
    co_return json::object{{"known", pending->suspects.has_value()},
                           {"suspects", pending->suspects.value_or(false)},
                           {"term", group->monitor->term()},
                           {"primary", group->monitor->primary()}};
}

std::optional<GroupStatus> FailoverService::status(const std::string &database) const
{
    const auto found = this->impl->groups.find(database);
    if (found == this->impl->groups.end()) {
        return std::nullopt;
    }
    return this->impl->statusOf(*found->second);
}

void FailoverService::stop()
{
    Impl &service = *this->impl;
    service.stopped = true;
    service.ticker.cancel();
    while (!service.groups.empty()) {
        this->removeGroup(service.groups.begin()->first);
    }
    for (const auto &[token, pending] : service.pendingQueries) {
        pending->timer.cancel();
    }
}

}
