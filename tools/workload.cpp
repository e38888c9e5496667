#include "tools/workload.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::tools {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds EndPollInterval{10};
constexpr core::Milliseconds RetryDelay{50};

}

struct Workload::Session
{
    Session(net::Executor executor, const std::string &service, const std::string &key, std::uint64_t seed)
        : client(std::move(executor), service, key)
        , random(seed)
    {
    }

    CallerClient client;
    std::mt19937_64 random;
    std::string name;
    std::string key;
    std::string secondKey;
    std::size_t workspace = 0;
    core::Duration interval{};
    std::uint64_t nextValue = 0;
    bool finished = false;
};

Workload::Workload(net::Executor executor, WorkloadOptions options)
    : executor(std::move(executor))
    , options(std::move(options))
{
    std::uint64_t number = 0;
    for (std::size_t workspace = 0; workspace < this->options.workspaces.size(); ++workspace) {
        const WorkspaceLoad &load = this->options.workspaces[workspace];
        this->workspaceTotals.push_back({.name = load.name});
        for (int index = 0; index < load.sessions; ++index) {
            const std::string &database = this->options.databases[number % this->options.databases.size()];
            auto session = std::make_shared<Session>(
                this->executor, this->options.service, load.key, this->options.seed * 1000 + number);
            session->name = this->options.sessionPrefix + std::to_string(number);
            session->key = database + ":" + session->name;
            session->secondKey = database + ":" + session->name + "-second";
            session->workspace = workspace;
            session->interval = std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(load.sessions / load.requestsPerSecond));
            this->sessions.push_back(std::move(session));
            ++number;
        }
    }
}

net::awaitable<void> Workload::run()
{
    const std::shared_ptr<Workload> self = this->shared_from_this();
    this->start = core::Clock::now();
    for (const std::shared_ptr<Session> &session : this->sessions) {
        asio::co_spawn(this->executor, this->runSession(session), asio::detached);
    }
    asio::steady_timer timer(this->executor);
    const auto running = [](const std::shared_ptr<Session> &session) { return !session->finished; };
    while (std::any_of(this->sessions.begin(), this->sessions.end(), running)) {
        timer.expires_after(EndPollInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void Workload::stop()
{
    this->stopped = true;
}

const std::vector<HistoryEvent> &Workload::history() const
{
    return this->events;
}

const std::vector<WorkspaceTotals> &Workload::totals() const
{
    return this->workspaceTotals;
}

std::vector<std::string> Workload::keys() const
{
    std::vector<std::string> result;
    for (const std::shared_ptr<Session> &session : this->sessions) {
        result.push_back(session->key);
        result.push_back(session->secondKey);
    }
    return result;
}

std::uint64_t Workload::replicaReads() const
{
    return this->readsOfReplicas;
}

std::uint64_t Workload::primaryReads() const
{
    return this->readsOfPrimaries;
}

net::awaitable<void> Workload::runSession(std::shared_ptr<Session> session)
{
    const std::shared_ptr<Workload> self = this->shared_from_this();
    asio::steady_timer timer(this->executor);
    std::uniform_real_distribution<double> phase(0, 1);
    core::TimePoint next
        = this->start + std::chrono::duration_cast<core::Duration>(session->interval * phase(session->random));
    const core::TimePoint end = this->start + this->options.duration;
    while (!this->stopped && next < end) {
        timer.expires_at(next);
        co_await timer.async_wait(UseTuple);
        co_await this->runRequest(*session);
        next = std::max(next + session->interval, core::Clock::now());
    }
    session->finished = true;
}

net::awaitable<void> Workload::runRequest(Session &session)
{
    std::uniform_real_distribution<double> share(0, 1);
    const double choice = share(session.random);
    if (choice < this->options.transactionShare) {
        co_await this->transaction(session);
    } else if (choice < this->options.transactionShare + this->options.writeShare) {
        co_await this->write(session);
    } else {
        co_await this->read(session);
    }
}

net::awaitable<void> Workload::write(Session &session)
{
    HistoryEvent event = this->newEvent(session, EventKind::Write);
    event.value = session.name + "/" + std::to_string(session.nextValue++);
    json::object body{
        {"database", databaseOfKey(session.key)},
        {"route", "book"},
        {"request_id", event.value},
        {"statement", json::object{{"op", "append"}, {"key", session.key}, {"value", event.value}}},
    };
    CallerAnswer answer;
    bool everUnknown = false;
    for (event.attempts = 1;; ++event.attempts) {
        const int port = this->choosePort(session);
        json::object copy = body;
        answer = co_await session.client.statement(port, std::move(copy), this->options.timeout);
        everUnknown = everUnknown || answer.outcome == core::Outcome::Unknown;
        if (answer.outcome != core::Outcome::Unknown || event.attempts >= this->options.attempts) {
            break;
        }
        asio::steady_timer timer(this->executor, RetryDelay);
        co_await timer.async_wait(UseTuple);
    }
    if (everUnknown && answer.outcome == core::Outcome::NotRun) {
        // NotRun in the response to a retry says nothing about an earlier attempt, which may have run.
        answer.outcome = core::Outcome::Unknown;
    }
    this->finish(session, std::move(event), answer);
}

net::awaitable<void> Workload::transaction(Session &session)
{
    HistoryEvent event = this->newEvent(session, EventKind::Transaction);
    event.secondKey = session.secondKey;
    event.value = session.name + "/" + std::to_string(session.nextValue++);
    const std::string database = databaseOfKey(session.key);
    const json::object beginBody{{"database", database}, {"route", "book"}};
    const int beginPort = this->choosePort(session);
    json::object beginCopy = beginBody;
    CallerAnswer answer
        = co_await session.client.post(beginPort, "/v1/transactions", std::move(beginCopy), this->options.timeout);
    if (answer.outcome == core::Outcome::Done && answer.result.is_string()) {
        const std::string id(answer.result.as_string().c_str());
        for (const std::string &key : {session.key, session.secondKey}) {
            json::object body{
                {"database", database},
                {"route", "book"},
                {"transaction", id},
                {"statement", json::object{{"op", "append"}, {"key", key}, {"value", event.value}}},
            };
            const int port = this->choosePort(session);
            answer = co_await session.client.statement(port, std::move(body), this->options.timeout);
            if (answer.outcome != core::Outcome::Done) {
                break;
            }
        }
        const bool complete = answer.outcome == core::Outcome::Done;
        json::object endBody{{"database", database}, {"transaction", id}};
        if (complete) {
            endBody["request_id"] = event.value;
        }
        const int endPort = this->choosePort(session);
        const std::string target = complete ? "/v1/transactions/commit" : "/v1/transactions/rollback";
        const CallerAnswer ended
            = co_await session.client.post(endPort, target, std::move(endBody), this->options.timeout);
        if (complete) {
            answer = ended;
        } else {
            // The commit was never sent, so no write of the transaction can become visible.
            answer.outcome = core::Outcome::NotRun;
        }
    } else {
        answer.outcome = core::Outcome::NotRun;
    }
    this->finish(session, std::move(event), answer);
}

net::awaitable<void> Workload::read(Session &session)
{
    std::uniform_real_distribution<double> share(0, 1);
    HistoryEvent event = this->newEvent(session, EventKind::Read);
    const bool stale = share(session.random) < this->options.staleReadShare;
    json::object body{
        {"database", databaseOfKey(session.key)},
        {"route", stale ? "availability" : "own-bookings"},
        {"statement", json::object{{"op", "get"}, {"key", session.key}}},
    };
    const int port = this->choosePort(session);
    const CallerAnswer answer = co_await session.client.statement(port, std::move(body), this->options.timeout);
    if (answer.result.is_array()) {
        for (const json::value &value : answer.result.as_array()) {
            event.seen.emplace_back(value.is_string() ? value.as_string().c_str() : json::serialize(value));
        }
    }
    if (answer.outcome == core::Outcome::Done) {
        ++(answer.role == "replica" ? this->readsOfReplicas : this->readsOfPrimaries);
    }
    this->finish(session, std::move(event), answer);
}

int Workload::choosePort(Session &session)
{
    const std::vector<int> &ports = this->options.daemonPorts;
    std::uniform_real_distribution<double> share(0, 1);
    if (share(session.random) < this->options.firstDaemonShare) {
        return ports.front();
    }
    std::uniform_int_distribution<std::size_t> index(0, ports.size() - 1);
    return ports[index(session.random)];
}

HistoryEvent Workload::newEvent(const Session &session, EventKind kind) const
{
    HistoryEvent event;
    event.kind = kind;
    event.session = session.name;
    event.workspace = this->options.workspaces[session.workspace].name;
    event.key = session.key;
    event.startUs = this->sinceStart();
    return event;
}

void Workload::finish(Session &session, HistoryEvent event, const CallerAnswer &answer)
{
    event.endUs = this->sinceStart();
    event.outcome = eventOutcome(answer.outcome);
    event.code = answer.code;
    event.server = answer.server;
    event.role = answer.role;
    event.term = answer.term;
    event.position = answer.position;
    WorkspaceTotals &totals = this->workspaceTotals[session.workspace];
    ++totals.offered;
    if (event.outcome == EventOutcome::Done) {
        ++totals.done;
    } else if (answer.code == static_cast<int>(core::ResultCode::RateExceeded)) {
        ++totals.refusedByRate;
    } else if (event.outcome == EventOutcome::NotRun) {
        ++totals.refusedOther;
    } else {
        ++totals.unknown;
    }
    this->events.push_back(std::move(event));
}

std::int64_t Workload::sinceStart() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(core::Clock::now() - this->start).count();
}

std::string databaseOfKey(const std::string &key)
{
    return key.substr(0, key.find(':'));
}

}
