#include "tests/failover/groupsimulation.h"

namespace endiveshore::failover {

using namespace std::chrono_literals;

GroupSimulation::GroupSimulation(std::uint64_t seed)
    : random(seed)
{
    GroupDescription description{.database = "rota", .servers = {}, .initialPrimary = "s1"};
    for (const std::string_view id : GroupSimulation::ServerIds) {
        const std::string name(id);
        description.servers.push_back({.id = name, .address = name, .dataCentre = "centre-" + name});
        this->servers[name].state = std::make_unique<standins::DatabaseState>(name == "s1", "s1", 0);
    }
    for (const std::string_view id : GroupSimulation::ServerIds) {
        const std::string server(id);
        Home &home = this->homes["home-" + server];
        home.dataCentre = "centre-" + server;
        home.monitor = std::make_unique<GroupMonitor>(description, "home-" + server, home.dataCentre, this->random());
    }
    this->updatePeers();
    this->primaries[1] = "s1";
    this->schedule(core::Milliseconds(this->random() % 25), [this] { this->tickHomes(); });
    this->schedule(5ms, [this] { this->replicate(); });
    this->schedule(7ms, [this] { this->write(); });
}

void GroupSimulation::updatePeers()
{
    std::vector<std::string> alive;
    for (const auto &[name, home] : this->homes) {
        if (home.alive) {
            alive.push_back(name);
        }
    }
    if (alive.empty()) {
        return;
    }
    std::map<std::string, std::vector<std::string>> owned;
    for (const std::string_view id : GroupSimulation::ServerIds) {
        const std::string own = "home-" + std::string(id);
        owned[this->homes[own].alive ? own : alive.front()].push_back(std::string(id));
    }
    for (const std::string &name : alive) {
        std::vector<PeerHome> peers;
        for (const std::string &other : alive) {
            if (other != name) {
                peers.push_back(
                    {.daemon = other, .dataCentre = this->homes[other].dataCentre, .servers = owned[other]});
            }
        }
        this->homes[name].monitor->setHomes({owned[name].begin(), owned[name].end()}, peers);
    }
}

void GroupSimulation::schedule(core::Milliseconds delay, std::function<void()> action)
{
    this->events.push({.at = this->time + delay, .number = ++this->eventNumber, .run = std::move(action)});
}

core::TimePoint GroupSimulation::timePoint() const
{
    return core::TimePoint() + 1h + this->time;
}

core::Milliseconds GroupSimulation::now() const
{
    return this->time;
}

bool GroupSimulation::runUntil(core::Milliseconds limit, const std::function<bool()> &condition)
{
    const core::Milliseconds end = this->time + limit;
    while (!this->events.empty() && this->events.top().at <= end) {
        if (condition()) {
            return true;
        }
        const Event event = this->events.top();
        this->events.pop();
        this->time = event.at;
        event.run();
    }
    this->time = end;
    return condition();
}

void GroupSimulation::run(core::Milliseconds duration)
{
    this->runUntil(duration, [] { return false; });
}

core::Milliseconds GroupSimulation::latency(const std::string &home, const std::string &server)
{
    // s3 and its home are in the other region.
    const bool far = home.ends_with("s3") != server.ends_with("s3");
    return core::Milliseconds((far ? 10 : 1) + static_cast<int>(this->random() % 3));
}

bool GroupSimulation::drawLoss()
{
    return static_cast<int>(this->random() % 100) < this->lossPercent;
}

void GroupSimulation::setLoss(int percent)
{
    this->lossPercent = percent;
}

void GroupSimulation::setFaults(const std::string &server, Faults faults)
{
    Server &target = this->servers[server];
    target.faults = faults;
    if (!faults.paused) {
        std::vector<std::function<void()>> waiting = std::move(target.waiting);
        target.waiting.clear();
        for (const std::function<void()> &work : waiting) {
            if (!faults.down) {
                work();
            }
        }
    }
}

void GroupSimulation::call(const std::string &home,
                           const std::string &server,
                           core::Milliseconds timeout,
                           std::function<void(standins::DatabaseState &)> work,
                           std::function<void(bool ok)> answer)
{
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, home, finished, answer = std::move(answer)](bool ok) {
        if (!std::exchange(*finished, true) && this->homes[home].alive) {
            answer(ok);
        }
    };
    this->schedule(timeout, [finish] { finish(false); });
    if (this->drawLoss() || this->homes[home].unreachableServers.contains(server)) {
        return;
    }
    this->schedule(this->latency(home, server), [this, home, server, work = std::move(work), finish] {
        Server &target = this->servers[server];
        if (target.faults.cutToServer) {
            return;
        }
        const auto respond = [this, home, server, finish](bool ok) {
            if (this->drawLoss() || this->servers[server].faults.cutFromServer) {
                return;
            }
            this->schedule(this->latency(home, server), [finish, ok] { finish(ok); });
        };
        if (target.faults.down) {
            respond(false);
            return;
        }
        const auto serve = [this, server, work, respond] {
            work(*this->servers[server].state);
            respond(true);
        };
        if (target.faults.paused) {
            target.waiting.push_back(serve);
            return;
        }
        serve();
    });
}

void GroupSimulation::perform(const std::string &home, const Actions &actions)
{
    for (const Action &action : actions) {
        this->performOne(home, action);
    }
}

void GroupSimulation::performOne(const std::string &home, const Action &action)
{
    GroupMonitor &monitor = *this->homes[home].monitor;
    if (const auto *request = std::get_if<ProbeServer>(&action)) {
        this->probe(home, *request);
    } else if (const auto *request = std::get_if<QueryPeer>(&action)) {
        this->queryPeer(home, *request);
    } else if (const auto *answer = std::get_if<AnswerPeer>(&action)) {
        const auto found = this->peerAnswers.find(answer->token);
        if (found != this->peerAnswers.end()) {
            found->second(answer->suspects);
            this->peerAnswers.erase(found);
        }
    } else if (const auto *request = std::get_if<FenceServer>(&action)) {
        auto reply = std::make_shared<FenceReply>();
        this->call(
            home,
            request->server,
            300ms,
            [request = *request, reply](standins::DatabaseState &state) {
                const standins::FenceAnswer answer = state.fence(request.term, request.owner);
                *reply = {.granted = answer.granted,
                          .fencedTerm = answer.fencedTerm,
                          .lastTerm = answer.lastTerm,
                          .received = answer.received};
            },
            [this, home, &monitor, request = *request, reply](bool ok) {
                if (ok) {
                    this->perform(home, monitor.fenceAnswered(request.server, request.term, *reply, this->timePoint()));
                }
            });
    } else if (const auto *request = std::get_if<PromoteServer>(&action)) {
        auto promoted = std::make_shared<bool>(false);
        this->call(
            home,
            request->server,
            300ms,
            [this, request = *request, promoted](standins::DatabaseState &state) {
                *promoted = state.promote(request.term, request.owner).promoted;
                if (!*promoted) {
                    return;
                }
                const auto [iterator, inserted] = this->primaries.try_emplace(request.term, request.server);
                if (iterator->second != request.server) {
                    this->violations.push_back("two primaries in term " + std::to_string(request.term));
                }
            },
            [this, home, &monitor, request = *request, promoted](bool ok) {
                if (ok) {
                    this->perform(home,
                                  monitor.promoteAnswered(request.server, request.term, *promoted, this->timePoint()));
                }
            });
    } else if (const auto *request = std::get_if<FollowServer>(&action)) {
        this->call(
            home,
            request->server,
            300ms,
            [request = *request](standins::DatabaseState &state) {
                const bool same = !state.isPrimary() && state.term() == request.term
                    && state.primaryAddress() == request.primaryAddress;
                if (!same) {
                    state.follow(request.term, request.primaryAddress);
                }
            },
            [](bool) {});
    } else if (const auto *change = std::get_if<PrimaryChanged>(&action)) {
        if (!change->mustAnnounce) {
            return;
        }
        for (const auto &[other, state] : this->homes) {
            const bool cut
                = state.unreachableHomes.contains(home) || this->homes[home].unreachableHomes.contains(other);
            if (other == home || cut) {
                continue;
            }
            // Gossip reaches all daemons within a few rounds, but each daemon at a different time.
            this->schedule(core::Milliseconds(100 + this->random() % 600), [this, other = other, change = *change] {
                Home &target = this->homes[other];
                if (target.alive) {
                    this->perform(other,
                                  target.monitor->primaryAnnounced(change.term, change.server, this->timePoint()));
                }
            });
        }
    } else if (const auto *decision = std::get_if<LogDecision>(&action)) {
        this->decisions.push_back(std::to_string(this->time.count()) + " " + home + ": " + decision->decision + " ("
                                  + decision->reason + "; " + decision->alternatives + ")");
    }
}

void GroupSimulation::probe(const std::string &home, const ProbeServer &request)
{
    auto report = std::make_shared<ServerReport>();
    // A failed probe closes its connection, so the next probe opens a new one.
    std::set<std::string> &connected = this->homes[home].connected;
    const bool opened = connected.erase(request.server) == 0 || request.newConnection;
    this->call(
        home,
        request.server,
        300ms,
        [this, report](standins::DatabaseState &state) {
            *report = {.primary = state.isPrimary(),
                       .term = state.term(),
                       .fencedTerm = state.fencedTerm(),
                       .position = state.applied(),
                       .received = state.received(),
                       .lagMs = state.lagMs(this->time.count()),
                       .termStarts = {}};
        },
        [this, home, request, report, opened](bool ok) {
            GroupMonitor &monitor = *this->homes[home].monitor;
            this->perform(home,
                          ok ? monitor.probeAnswered(request.server, *report, request.newConnection, this->timePoint())
                             : monitor.probeFailed(request.server, request.newConnection, this->timePoint()));
        });
}

void GroupSimulation::queryPeer(const std::string &home, const QueryPeer &request)
{
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, home, request, finished](Verdict verdict) {
        Home &requester = this->homes[home];
        if (!std::exchange(*finished, true) && requester.alive) {
            this->perform(home,
                          requester.monitor->peerAnswered(request.daemon, request.queryId, verdict, this->timePoint()));
        }
    };
    this->schedule(350ms, [finish] { finish(Verdict::Unreachable); });
    Home &peer = this->homes[request.daemon];
    const bool cut
        = peer.unreachableHomes.contains(home) || this->homes[home].unreachableHomes.contains(request.daemon);
    if (!peer.alive || cut || this->drawLoss()) {
        return;
    }
    this->schedule(this->latency(home, request.daemon), [this, home, request, finish] {
        const std::uint64_t token = ++this->tokenNumber;
        this->peerAnswers[token] = [this, home, request, finish](bool suspects) {
            this->schedule(this->latency(home, request.daemon),
                           [finish, suspects] { finish(suspects ? Verdict::Confirms : Verdict::Denies); });
        };
        Home &target = this->homes[request.daemon];
        this->perform(request.daemon,
                      target.monitor->peerQueryReceived(token, request.server, request.term, this->timePoint()));
    });
}

void GroupSimulation::tickHomes()
{
    for (auto &[name, home] : this->homes) {
        if (home.alive) {
            this->perform(name, home.monitor->tick(this->timePoint()));
        }
    }
    this->schedule(25ms, [this] { this->tickHomes(); });
}

void GroupSimulation::replicate()
{
    for (auto &[name, replica] : this->servers) {
        const std::string &address = replica.state->primaryAddress();
        if (replica.pulling || replica.state->isPrimary() || replica.faults.down || replica.faults.paused
            || address.empty()) {
            continue;
        }
        Server &source = this->servers[address];
        if (source.faults.down || source.faults.paused || source.faults.cutFromReplicas
            || replica.faults.cutFromReplicas) {
            continue;
        }
        auto batch = std::make_shared<standins::LogBatch>();
        const standins::Refusal refusal = source.state->readLog(replica.state->term(),
                                                                replica.state->received(),
                                                                replica.state->log().termStarts(),
                                                                this->time.count(),
                                                                *batch);
        if (refusal == standins::Refusal::None) {
            // One batch at a time: an older batch that arrives late would truncate the entries of a later batch.
            replica.pulling = true;
            this->schedule(core::Milliseconds(1 + this->random() % 12), [&replica = replica, batch] {
                replica.pulling = false;
                if (!replica.faults.down) {
                    replica.state->append(*batch);
                    replica.state->apply(replica.state->received());
                }
            });
        }
    }
    this->schedule(15ms, [this] { this->replicate(); });
}

void GroupSimulation::write()
{
    // Each live home sends a write, because clients may call any home. A home sends the term and the primary that it
    // knows, which may be outdated.
    for (auto &[name, home] : this->homes) {
        if (!home.alive) {
            continue;
        }
        Write write{.term = home.monitor->term(),
                    .server = home.monitor->primary(),
                    .requestId = "w" + std::to_string(++this->writeNumber)};
        auto answer = std::make_shared<standins::StatementAnswer>();
        this->call(
            name,
            write.server,
            500ms,
            [write, answer](standins::DatabaseState &state) {
                const standins::StatementRequest request{
                    .term = write.term,
                    .statement = {.kind = standins::Statement::Kind::Add, .key = "k", .amount = 1},
                    .requestId = write.requestId};
                *answer = state.execute(request);
            },
            [this, name = name, write, answer](bool ok) mutable {
                if (ok && answer->refusal == standins::Refusal::None) {
                    write.position = answer->position;
                    this->pollWrite(name, write);
                }
            });
    }
    this->schedule(20ms, [this] { this->write(); });
}

void GroupSimulation::pollWrite(const std::string &home, Write write)
{
    if (++write.polls > 20) {
        return;
    }
    for (const std::string_view id : GroupSimulation::ServerIds) {
        const std::string replica(id);
        if (replica == write.server) {
            continue;
        }
        auto reached = std::make_shared<bool>(false);
        this->call(
            home,
            replica,
            200ms,
            [write, reached](standins::DatabaseState &state) {
                *reached = state.checkWait(write.term, write.position).reached;
            },
            [this, write, reached](bool ok) {
                if (!ok || !*reached) {
                    return;
                }
                this->acknowledged[write.requestId] = write.term;
                const auto [iterator, inserted] = this->acknowledgingServer.try_emplace(write.term, write.server);
                if (iterator->second != write.server) {
                    this->violations.push_back("two servers acknowledge in term " + std::to_string(write.term));
                }
            });
    }
    this->schedule(30ms, [this, home, write] {
        if (!this->acknowledged.contains(write.requestId) && this->homes[home].alive) {
            this->pollWrite(home, write);
        }
    });
}

std::string GroupSimulation::primary() const
{
    std::string found;
    std::int64_t term = 0;
    for (const auto &[name, server] : this->servers) {
        const bool up = !server.faults.down && !server.faults.paused && !server.faults.cutToServer
            && !server.faults.cutFromServer;
        if (up && server.state->isPrimary() && !server.state->isFenced() && server.state->term() > term) {
            found = name;
            term = server.state->term();
        }
    }
    return found;
}

bool GroupSimulation::isWritable() const
{
    const std::string name = this->primary();
    if (name.empty()) {
        return false;
    }
    const std::int64_t term = this->servers.at(name).state->term();
    bool followed = false;
    for (const auto &[other, server] : this->servers) {
        followed = followed || (other != name && server.state->log().lastTerm() == term && !server.state->isFenced());
    }
    for (const auto &[home, state] : this->homes) {
        if (followed && state.alive && state.monitor->term() == term && state.monitor->primary() == name) {
            return true;
        }
    }
    return false;
}

std::string GroupSimulation::homeOf(const std::string &server) const
{
    return "home-" + server;
}

standins::DatabaseState &GroupSimulation::state(const std::string &server)
{
    return *this->servers.at(server).state;
}

std::size_t GroupSimulation::acknowledgedWrites() const
{
    return this->acknowledged.size();
}

void GroupSimulation::checkAcknowledged()
{
    const std::string name = this->primary();
    if (name.empty()) {
        this->violations.push_back("no primary");
        return;
    }
    std::set<std::string> held;
    const standins::DatabaseLog &log = this->state(name).log();
    for (std::int64_t position = 1; position <= log.size(); ++position) {
        for (const standins::RecordedAnswer &answer : log.at(position).answers) {
            if (!held.insert(answer.requestId).second) {
                this->violations.push_back("duplicate write: " + answer.requestId);
            }
        }
    }
    for (const auto &[requestId, term] : this->acknowledged) {
        if (!held.contains(requestId)) {
            this->violations.push_back("lost acknowledged write " + requestId + " of term " + std::to_string(term));
        }
    }
}

}
